package hedge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

func testPolicy() Policy {
	return Policy{After: 20 * time.Millisecond, Interval: 10 * time.Millisecond, Clock: clock.System(), Logger: hclog.NewNullLogger()}
}

func TestDo(t *testing.T) {
	failure := errors.New("refused")
	silent := func(ctx context.Context) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	for _, test := range []struct {
		name    string
		attempt func(ctx context.Context, n int) (int, error)
		want    int
		wantErr error
	}{
		{"answered at once", func(_ context.Context, n int) (int, error) { return n, nil }, 0, nil},
		{"the first two are never answered", func(ctx context.Context, n int) (int, error) {
			if n < 2 {
				return silent(ctx)
			}
			return n, nil
		}, 2, nil},
		{"the first is slower than the others fail", func(_ context.Context, n int) (int, error) {
			if n > 0 {
				return 0, failure
			}
			time.Sleep(100 * time.Millisecond)
			return 7, nil
		}, 7, nil},
		{"failed with none in flight", func(context.Context, int) (int, error) { return 0, failure }, 0, failure},
		{"a panic", func(context.Context, int) (int, error) { panic("x") }, 0, errPanicked},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Do(t.Context(), testPolicy(), test.attempt)
			if got != test.want || !errors.Is(err, test.wantErr) {
				t.Errorf("Do() = %d, %v; want %d, %v", got, err, test.want, test.wantErr)
			}
		})
	}
}

func TestDoCancelsAttempts(t *testing.T) {
	canceled := make(chan struct{})
	_, err := Do(t.Context(), testPolicy(), func(ctx context.Context, n int) (int, error) {
		if n == 0 {
			<-ctx.Done()
			close(canceled)
		}
		return n, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Error("the attempt in flight was not canceled")
	}
}

// Guards against a call that is repeated while its attempt makes progress, and one that isn't when it is hurried.
func TestRepeatsFollowProgressAndHurry(t *testing.T) {
	for _, test := range []struct {
		name         string
		moves, hurry bool
		want         int // the attempt that succeeds
	}{{"hurried", false, true, 1}, {"makes progress", true, false, 0}, {"hurried, makes progress", true, true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			p := testPolicy()
			hurry := make(chan struct{}, 1)
			p.Hurry, p.Moved = hurry, func() bool { return test.moves }
			if test.hurry {
				p.After = time.Hour
				hurry <- struct{}{}
			}
			got, err := Do(t.Context(), p, func(ctx context.Context, n int) (int, error) {
				if n == 0 {
					return n, clock.Sleep(ctx, p.Clock, 10*testPolicy().After)
				}
				return n, nil
			})
			if got != test.want || err != nil {
				t.Errorf("Do() = %d, %v; want %d without an error", got, err, test.want)
			}
		})
	}
}
