package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// adviserQueue is the number of calls that wait at the service when it rejects another one.
const adviserQueue = 32

// Adviser is an advice service for one process: it handles one call after the other, also those whose callers have left, and
// grants all targets. Set its exported fields before the first call.
type Adviser struct {
	Duration time.Duration // of each call
	Others   int           // calls that are waiting before the first one
	Validity time.Duration // of the tickets
	Fails    error         // of each call, if not nil

	mu        sync.Mutex
	busyUntil time.Time
	calls     int
}

// Advise implements agent.Adviser.
func (a *Adviser) Advise(ctx context.Context, req jobs.AdviceRequest) (jobs.Advice, error) {
	handled, err := a.enter()
	if err != nil {
		return jobs.Advice{}, err
	}
	select {
	case <-time.After(time.Until(handled)):
	case <-ctx.Done():
		return jobs.Advice{}, ctx.Err()
	}
	granted := map[work.TargetID]string{}
	for _, id := range req.Targets {
		granted[id] = "ticket"
	}
	return jobs.Advice{Granted: granted, Validity: a.Validity}, nil
}

// enter adds a call to those that wait, and returns when the service will have handled it.
func (a *Adviser) enter() (time.Time, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.busyUntil.Before(now) {
		a.busyUntil = now
	}
	if a.calls == 0 {
		a.busyUntil = a.busyUntil.Add(time.Duration(a.Others) * a.Duration)
	}
	a.calls++
	switch {
	case a.Fails != nil:
		return time.Time{}, a.Fails
	case a.busyUntil.Sub(now) > adviserQueue*a.Duration:
		return time.Time{}, agent.ErrAdviceRejected
	}
	a.busyUntil = a.busyUntil.Add(a.Duration)
	return a.busyUntil, nil
}

// SetFails sets the error of each further call.
func (a *Adviser) SetFails(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Fails = err
}
