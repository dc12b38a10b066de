package advise

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
)

const (
	// maxPassedOn is the number of calls at the service: one that it handles, and one that it finds next.
	maxPassedOn = 2
	// serviceQueue is the number of calls of a process that wait at the service when it rejects another one.
	serviceQueue = 32
	// minTimeout is for the way to the service and back, and for a service that is a little late.
	minTimeout = 2 * time.Second
	// maxTimeout bounds a time limit that is doubled.
	maxTimeout = time.Minute
	// timeoutFactor is how many times longer than configured the service may take.
	timeoutFactor = 2
	// maxDoublings bounds how often the time limit is doubled for calls that have run out of time.
	maxDoublings = 5
	// minPause and maxPause bound the time without calls after a rejection or a failure.
	minPause = 100 * time.Millisecond
	maxPause = 5 * time.Second
)

// Outcome is what became of a call.
type Outcome string

// The outcomes of calls.
const (
	Answered  Outcome = "answered"
	Rejected  Outcome = "rejected"  // too many calls of the process wait at the service
	TimedOut  Outcome = "timed_out" // the service may still handle the call
	Failed    Outcome = "failed"
	Abandoned Outcome = "abandoned" // the caller has left
)

// Queue passes calls to the advice service. It implements [agent.Adviser] and is safe for concurrent use. Set its exported
// fields before Init.
type Queue struct {
	Service agent.Adviser
	Clock   clock.Clock
	Logger  hclog.Logger
	// Observe, if not nil, is called with the outcome of each call and its duration at the service.
	Observe func(o Outcome, took time.Duration)

	places *semaphore.Weighted // gives places at the service in the order of the calls

	mu          sync.Mutex
	outstanding time.Duration // that the service needs for the calls whose callers wait
	busyUntil   time.Time     // when the service has handled all calls, by the configuration
	pausedUntil time.Time     // no call is passed on before
	failures    int           // calls that have failed one after the other
	doublings   int           // how often the time limit is doubled, since the service takes longer than configured
}

// limit is the time limit of a call.
type limit struct {
	base    time.Duration // by the configuration
	doubled time.Duration // by what earlier calls have shown
}

// Init prepares the queue. It must be called before any other method.
func (q *Queue) Init() { q.places = semaphore.NewWeighted(maxPassedOn) }

// Advise implements [agent.Adviser]. It waits until the calls before it have been passed on.
func (q *Queue) Advise(ctx context.Context, req jobs.AdviceRequest) (jobs.Advice, error) {
	if err := q.places.Acquire(ctx, 1); err != nil {
		return jobs.Advice{}, err
	}
	defer q.places.Release(1)
	if err := q.awaitPause(ctx); err != nil {
		return jobs.Advice{}, err
	}
	sentAt, limit := q.begin(req.Duration)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := q.Clock.AfterFunc(limit.doubled, cancel)
	defer timer.Stop()
	response, err := q.Service.Advise(callCtx, req)
	outcome := outcomeOf(err, ctx.Err(), callCtx.Err())
	took := q.Clock.Now().Sub(sentAt)
	pause := q.end(req.Duration, outcome, took < limit.base)
	if q.Observe != nil {
		q.Observe(outcome, took)
	}
	if err != nil {
		q.Logger.Info("call for advice failed", "job", req.Job, "step", req.Step, "targets", len(req.Targets), "outcome", string(outcome), "took", took, "expected", req.Duration, "timeout", limit.doubled, "pause", pause, "error", err)
		return jobs.Advice{}, err
	}
	response.IssuedAfter = sentAt
	return response, nil
}

// outcomeOf returns the outcome of a call by its error and those of the contexts of its caller and of the call.
func outcomeOf(err, callerErr, callErr error) Outcome {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, agent.ErrAdviceRejected):
		return Rejected
	case callerErr != nil:
		return Abandoned
	case callErr != nil:
		return TimedOut
	default:
		return Failed
	}
}

// awaitPause waits until calls may be passed on.
func (q *Queue) awaitPause(ctx context.Context) error {
	for {
		q.mu.Lock()
		wait := q.pausedUntil.Sub(q.Clock.Now())
		q.mu.Unlock()
		if wait <= 0 {
			return ctx.Err()
		}
		if err := clock.Sleep(ctx, q.Clock, wait); err != nil {
			return err
		}
	}
}

// begin notes that a call is sent, and returns its time limit. Duration is what the service needs for it.
func (q *Queue) begin(duration time.Duration) (sentAt time.Time, l limit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.busyUntil = later(q.busyUntil, now).Add(duration)
	q.outstanding += duration
	l.base = minTimeout + timeoutFactor*q.busyUntil.Sub(now)
	l.doubled = min(l.base<<q.doublings, max(maxTimeout, l.base))
	return now, l
}

// end notes the outcome of a call, and returns for how long no call is passed on. The call was prompt if it took less than the
// configuration allows.
func (q *Queue) end(duration time.Duration, outcome Outcome, prompt bool) (pause time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.outstanding -= duration
	switch outcome {
	case Answered:
		q.failures = 0
		if prompt && q.doublings > 0 {
			q.doublings--
		}
		q.busyUntil = now.Add(q.outstanding) // the calls before this one have been handled
	case Rejected:
		q.busyUntil = now.Add(serviceQueue * duration)
		pause = serviceQueue / 2 * duration // the service stays busy meanwhile
	case TimedOut:
		q.doublings = min(q.doublings+1, maxDoublings)
		q.busyUntil = later(q.busyUntil, now).Add(duration)
	case Failed:
		pause = minPause << min(q.failures, maxDoublings)
		q.failures++
	case Abandoned:
	}
	if pause > 0 {
		pause = min(max(pause, minPause), maxPause)
		q.pausedUntil = later(q.pausedUntil, now.Add(pause))
	}
	return pause
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
