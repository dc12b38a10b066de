package fresh

import (
	"context"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/stall"
)

// Check shows that a copy was the newest at a recent moment. Set its fields before the first call.
type Check struct {
	// ConfirmedAt returns the latest time at which the copy is known to have been the newest.
	ConfirmedAt func() time.Time
	// Read reads what is newer than the copy from the source and, if it succeeds, moves ConfirmedAt to its start or later.
	Read func(ctx context.Context) error
	// Timeout bounds the time for which a read makes no progress.
	Timeout time.Duration
	// FailurePause is how long after a failed read no other is made, so that callers are not kept waiting for a source that
	// doesn't answer.
	FailurePause time.Duration
	Clock        clock.Clock

	mu       sync.Mutex
	inFlight *read
	failedAt time.Time
}

// read is a read in flight.
type read struct{ done chan struct{} }

// maxReads is how many reads a caller waits for: one may have begun too long before the call.
const maxReads = 2

// NewestSince reports whether the copy is known to have been the newest at a time or later. A time that is some way before
// the call limits the number of reads.
func (c *Check) NewestSince(ctx context.Context, since time.Time) bool {
	for range maxReads {
		if !c.ConfirmedAt().Before(since) {
			return true
		}
		r := c.begin() //nolint:contextcheck // callers share the read, so that it ends with none of them
		if r == nil {
			return false
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return false
		}
	}
	return !c.ConfirmedAt().Before(since)
}

// begin returns the read in flight, or starts one; nil if the last one has failed recently.
func (c *Check) begin() *read {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight != nil {
		return c.inFlight
	}
	if !c.failedAt.IsZero() && c.Clock.Now().Sub(c.failedAt) < c.FailurePause {
		return nil
	}
	r := &read{done: make(chan struct{})}
	c.inFlight = r
	go c.run(r)
	return r
}

// run makes a read.
func (c *Check) run(r *read) {
	ctx, cancel := stall.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	err := c.Read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight, c.failedAt = nil, time.Time{}
	if err != nil {
		c.failedAt = c.Clock.Now()
	}
	close(r.done)
}
