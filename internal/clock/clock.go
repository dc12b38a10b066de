package clock

import (
	"context"
	"time"
)

// Clock tells the time and runs timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls f once, in its own goroutine, after d.
	AfterFunc(d time.Duration, f func()) Timer
	// Every calls f at intervals of d, one call at a time, until the timer is stopped.
	Every(d time.Duration, f func()) Timer
}

// Timer is a pending call of AfterFunc or Every.
type Timer interface {
	// Stop cancels the timer and reports whether it was still active.
	Stop() bool
}

// Sleep waits for d and returns nil, or returns the error of ctx once ctx is done.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	done := make(chan struct{})
	t := c.AfterFunc(d, func() { close(done) })
	defer t.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// System returns the clock of package time.
func System() Clock { return systemClock{} }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

func (systemClock) Every(d time.Duration, f func()) Timer {
	t := &ticker{stop: make(chan struct{})}
	go t.run(d, f)
	return t
}

type ticker struct{ stop chan struct{} }

func (t *ticker) run(d time.Duration, f func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f()
		case <-t.stop:
			return
		}
	}
}

// Stop ends the ticker; a call that has begun still completes.
func (t *ticker) Stop() bool {
	select {
	case <-t.stop:
		return false
	default:
		close(t.stop)
		return true
	}
}
