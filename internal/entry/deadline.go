package entry

import (
	"context"
	"sync"
	"time"
)

// lazyDeadline is a context with a deadline that starts its timer only on the first call of Done.
// Most permits are granted without waiting, and then the request needs no timer.
type lazyDeadline struct {
	context.Context
	deadline time.Time
	now      func() time.Time

	mu    sync.Mutex
	inner context.Context
	stop  context.CancelFunc
}

func withLazyDeadline(ctx context.Context, deadline time.Time, now func() time.Time) (context.Context, context.CancelFunc) {
	c := &lazyDeadline{Context: ctx, deadline: deadline, now: now}
	return c, c.cancel
}

// Deadline returns the deadline.
func (c *lazyDeadline) Deadline() (time.Time, bool) { return c.deadline, true }

// Done starts the timer on its first call.
func (c *lazyDeadline) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner == nil {
		c.inner, c.stop = context.WithDeadline(c.Context, c.deadline)
	}
	return c.inner.Done()
}

// Err returns the parent's error, or DeadlineExceeded once the deadline has passed.
func (c *lazyDeadline) Err() error {
	c.mu.Lock()
	inner := c.inner
	c.mu.Unlock()
	if inner != nil {
		return inner.Err()
	}
	if err := c.Context.Err(); err != nil {
		return err
	}
	if !c.now().Before(c.deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// cancel stops the timer.
func (c *lazyDeadline) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop != nil {
		c.stop()
	}
}
