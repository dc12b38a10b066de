package advise

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
)

const callTime = 300 * time.Millisecond

var errDown = errors.New("connection refused")

// counter counts calls by their outcome.
type counter struct {
	mu    sync.Mutex
	calls map[Outcome]int
}

func (c *counter) add(o Outcome, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[o]++
}

func newQueue(service agent.Adviser) (*Queue, *counter) {
	c := &counter{calls: map[Outcome]int{}}
	q := &Queue{Service: service, Clock: clock.System(), Logger: hclog.NewNullLogger(), Observe: c.add}
	q.Init()
	return q, c
}

// untilAnswered repeats a call until it is answered, as a pool does.
func untilAnswered(ctx context.Context, t *testing.T, q *Queue) {
	t.Helper()
	for ctx.Err() == nil {
		if _, err := q.Advise(ctx, jobs.AdviceRequest{Duration: callTime}); err == nil {
			return
		}
	}
	t.Error("a call is not answered, want an answer")
}

// Guards against a burst of calls that keeps the service busy with calls that were given up, so that none is answered any more.
// Load: ten pools of one process with 24 steps each.
func TestBurstIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pools, steps = 10, 24
		service := &fakes.Adviser{Duration: callTime}
		q, calls := newQueue(service)
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2*pools*steps*callTime)
		defer cancel()
		var wg sync.WaitGroup
		for range pools * steps {
			wg.Go(func() { untilAnswered(ctx, t, q) })
		}
		wg.Wait()
		if got, want := len(calls.calls), 1; got != want {
			t.Errorf("outcomes: got %v, want all answered", calls.calls)
		}
		if got, want := time.Since(begin), pools*steps*callTime; got > want {
			t.Errorf("time for all calls: got %v, want %v: the service is always busy", got, want)
		}
	})
}

// Guards against time limits below what the service needs: it is slower than configured, or handles calls of a former process first.
func TestSlowServiceIsWaitedFor(t *testing.T) {
	for name, service := range map[string]*fakes.Adviser{
		"ten times slower than configured": {Duration: 10 * callTime},
		"a full queue of other calls":      {Duration: callTime, Others: serviceQueue},
		"a full queue of a slow service":   {Duration: 3 * callTime, Others: serviceQueue},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, calls := newQueue(service)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				const steps = 40
				var wg sync.WaitGroup
				for range steps {
					wg.Go(func() { untilAnswered(ctx, t, q) })
				}
				wg.Wait()
				if got, limit := calls.calls[TimedOut]+calls.calls[Rejected], steps/4; got > limit {
					t.Errorf("calls in vain: got %d (%v), want at most %d", got, calls.calls, limit)
				}
			})
		})
	}
}

// Guards against thousands of calls to a service that rejects them or is down, and against callers that are not served soon after
// that has ended.
func TestCallsPauseAfterFailures(t *testing.T) {
	for name, failure := range map[string]error{"rejected": agent.ErrAdviceRejected, "down": errDown} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const outage = time.Minute
				service := &fakes.Adviser{Duration: callTime, Fails: failure}
				q, calls := newQueue(service)
				time.AfterFunc(outage, func() { service.SetFails(nil) })
				begin := time.Now()
				untilAnswered(t.Context(), t, q)
				if got, want := time.Since(begin), outage+maxPause+callTime; got > want {
					t.Errorf("first answer: got after %v, want within %v", got, want)
				}
				if got, limit := calls.calls[Rejected]+calls.calls[Failed], 50; got > limit {
					t.Errorf("calls in vain: got %d, want at most %d", got, limit)
				}
			})
		})
	}
}

// Guards against a caller that has left and keeps the others from their turn.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, calls := newQueue(&fakes.Adviser{Duration: callTime})
		ctx, leave := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { _, _ = q.Advise(ctx, jobs.AdviceRequest{Duration: callTime}) })
		}
		synctest.Wait()
		leave()
		wg.Wait()
		untilAnswered(t.Context(), t, q)
		if got, want := calls.calls[Abandoned], maxPassedOn; got != want {
			t.Errorf("calls at the service whose callers have left: got %d, want %d", got, want)
		}
	})
}
