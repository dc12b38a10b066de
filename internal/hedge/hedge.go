package hedge

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/panics"
)

// Policy says when a call is repeated. The further attempts are free to differ from the first one.
type Policy struct {
	// After is the time from the first attempt to the second, and Interval the time between later ones.
	After, Interval time.Duration
	// Moved, if set, reports whether an attempt, or another call for the same, makes progress. No further attempt is made
	// while it does.
	Moved func() bool
	// Hurry, if set, makes the next attempt due when it receives.
	Hurry  <-chan struct{}
	Clock  clock.Clock
	Logger hclog.Logger
}

// errPanicked is the result of an attempt that ended by a panic.
var errPanicked = errors.New("the attempt ended by a panic")

type result[T any] struct {
	value T
	err   error
}

// Do calls attempt, with n = 0, and again with n = 1, 2, ... as long as no attempt has returned, and returns the first
// success. It returns an error as soon as all attempts in flight have failed, or ctx is done. The context of attempts that
// are still in flight is canceled then. Each attempt must bound its own time.
func Do[T any](ctx context.Context, p Policy, attempt func(ctx context.Context, n int) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, due := make(chan result[T]), make(chan struct{})
	start := func(n int) {
		r := result[T]{err: errPanicked}
		panics.Catch(p.Logger, "attempt of a call", func() { r.value, r.err = attempt(ctx, n) })
		select {
		case results <- r:
		case <-ctx.Done():
		}
	}
	schedule := func(d time.Duration) clock.Timer {
		return p.Clock.AfterFunc(d, func() {
			select {
			case due <- struct{}{}:
			case <-ctx.Done():
			}
		})
	}
	next := schedule(p.After)
	defer func() { next.Stop() }()
	go start(0)
	for started, inFlight := 1, 1; ; {
		select {
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		case <-p.Hurry:
			next.Stop()
			next = schedule(0)
		case <-due:
			if p.Moved == nil || !p.Moved() {
				go start(started)
				started++
				inFlight++
			}
			next = schedule(p.Interval)
		case r := <-results:
			inFlight--
			if r.err == nil || inFlight == 0 {
				return r.value, r.err
			}
		}
	}
}
