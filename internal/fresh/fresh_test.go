package fresh

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// source is a source of which a copy is kept.
type source struct {
	check       Check
	reads       atomic.Int32
	confirmedAt atomic.Int64
	fail        atomic.Bool
	took        time.Duration
}

// maxAge is how long before a call the copy must have been the newest.
const maxAge = 50 * time.Millisecond

// newest reports whether the copy was the newest at most maxAge ago.
func (s *source) newest(ctx context.Context) bool {
	return s.check.NewestSince(ctx, time.Now().Add(-maxAge))
}

func newSource() *source {
	s := &source{}
	s.check = Check{
		ConfirmedAt: func() time.Time { return time.Unix(0, s.confirmedAt.Load()) },
		Read: func(ctx context.Context) error {
			s.reads.Add(1)
			sent := time.Now()
			select {
			case <-time.After(s.took):
			case <-ctx.Done():
				return ctx.Err()
			}
			if s.fail.Load() {
				return errors.New("refused")
			}
			s.confirmedAt.Store(sent.UnixNano())
			return nil
		},
		Timeout: 100 * time.Millisecond, FailurePause: 200 * time.Millisecond, Clock: clock.System(),
	}
	return s
}

// Guards against an answer from a copy that may have missed something.
func TestNewest(t *testing.T) {
	for _, test := range []struct {
		name      string
		age       time.Duration // of the copy
		fail      bool
		took      time.Duration
		want      bool
		wantReads int32
	}{
		{"confirmed just now", 10 * time.Millisecond, false, 0, true, 0},
		{"confirmed long ago", time.Minute, false, 0, true, 1},
		{"the source refuses", time.Minute, true, 0, false, 1},
		{"the source does not answer", time.Minute, false, time.Minute, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSource()
			s.took = test.took
			s.fail.Store(test.fail)
			s.confirmedAt.Store(time.Now().Add(-test.age).UnixNano())
			if got := s.newest(t.Context()); got != test.want {
				t.Errorf("newest %v, want %v", got, test.want)
			}
			if got := s.reads.Load(); got != test.wantReads {
				t.Errorf("%d reads, want %d", got, test.wantReads)
			}
		})
	}
}

// Guards against a read for each of many callers, and against a caller that accepts a read which began too long ago.
func TestCallersShareReads(t *testing.T) {
	s := newSource()
	s.took = 80 * time.Millisecond // longer than maxAge
	var wg sync.WaitGroup
	var denied atomic.Int32
	for range 100 {
		wg.Go(func() {
			if !s.newest(t.Context()) {
				denied.Add(1)
			}
		})
	}
	time.Sleep(65 * time.Millisecond)
	late := time.Now()
	if !s.newest(t.Context()) {
		t.Error("a caller during the first read: not the newest, want the newest by a second read")
	}
	if got, want := s.check.ConfirmedAt(), late.Add(-maxAge); got.Before(want) {
		t.Errorf("confirmed at %v, want at %v or later", got, want)
	}
	wg.Wait()
	if got, want := s.reads.Load(), int32(2); got != want || denied.Load() > 0 {
		t.Errorf("%d reads, %d callers without a result; want %d and none", got, denied.Load(), want)
	}
}

// Guards against callers that wait, one after the other, for a source which does not answer.
func TestFailureIsReportedAtOnce(t *testing.T) {
	s := newSource()
	s.took = time.Minute
	if s.newest(t.Context()) {
		t.Fatal("newest, want not known")
	}
	begin := time.Now()
	for range 100 {
		if s.newest(t.Context()) {
			t.Fatal("newest, want not known")
		}
	}
	if got, limit := time.Since(begin), s.check.Timeout; got > limit {
		t.Errorf("100 calls just after a failure took %v, want less than %v", got, limit)
	}
	s.took = 0
	time.Sleep(s.check.FailurePause)
	if !s.newest(t.Context()) {
		t.Error("the source answers again: not the newest, want the newest")
	}
}
