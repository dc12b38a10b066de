package intake

import (
	"sync"
	"time"
)

const (
	// SmallBody is the size in bytes up to which a body may use the whole budget, and takes precedence over larger ones.
	SmallBody = 16 << 10
	// smallShare is the part of the budget that is kept for small bodies.
	smallShare = 4
	// stallTime is how long nothing of a body may arrive before others take its bytes when the budget is used up. A link of
	// 10 Mbit/s that a hundred bodies of some KB share is quiet for less.
	stallTime = 500 * time.Millisecond
	// leavingShare is the part of the budget by which the bytes of bodies that are being shed may exceed it.
	leavingShare = 4
)

// Budget bounds the bytes of all bodies that a process holds.
type Budget struct {
	mu        sync.Mutex
	total     int64
	used      int64 // held by claims, without those that are being shed
	leaving   int64 // held by claims that are being shed
	large     int   // claims of more than SmallBody
	receiving map[*Claim]struct{}
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, receiving: map[*Claim]struct{}{}}
}

// Claim is what one body holds of a budget.
type Claim struct {
	budget   *Budget
	stop     func() // ends the read of the body
	held     int64
	progress time.Time // when bytes have last arrived
	shed     bool
}

// Claim returns a claim that holds nothing. If the body is shed, stop is called, which must not block.
func (b *Budget) Claim(stop func()) *Claim { return &Claim{budget: b, stop: stop} }

// Grow reserves n more bytes for a body that is being received, and sheds others if that is needed. It reports whether the
// bytes are reserved; if not, the body is to be refused.
func (c *Claim) Grow(n int64, now time.Time) bool {
	b := c.budget
	b.mu.Lock()
	ok, victims := b.grow(c, n, now)
	b.mu.Unlock()
	for _, v := range victims {
		v.stop()
	}
	return ok
}

// Progressed notes that bytes of the body have arrived.
func (c *Claim) Progressed(now time.Time) {
	c.budget.mu.Lock()
	c.progress = now
	c.budget.mu.Unlock()
}

// Completed notes that the body has arrived. It keeps its bytes and is no longer shed. It reports whether it had not been
// shed before.
func (c *Claim) Completed() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	delete(c.budget.receiving, c)
	return !c.shed
}

// Release ends the claim, and returns how many bytes it held.
func (c *Claim) Release() int64 {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, c)
	if c.shed {
		b.leaving -= c.held
	} else {
		b.used -= c.held
		if c.held > SmallBody {
			b.large--
		}
	}
	held := c.held
	c.held, c.shed = 0, false
	return held
}

// Used returns the bytes that are held, including those of bodies that are being shed.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.leaving
}

// grow decides whether a claim may hold n more bytes, and which others are shed for it.
func (b *Budget) grow(c *Claim, n int64, now time.Time) (ok bool, victims []*Claim) {
	if c.shed {
		return false, nil
	}
	small := c.held+n <= SmallBody
	others := b.large
	if c.held > SmallBody {
		others--
	}
	for !b.fits(n, small) && (small || others > 0) { // a single large body is always admitted
		v := b.victim(c, small, now)
		if v == nil {
			return false, victims
		}
		if v.held > SmallBody {
			others--
		}
		b.shed(v)
		victims = append(victims, v)
	}
	if c.held <= SmallBody && !small {
		b.large++
	}
	c.held += n
	b.used += n
	c.progress = now
	b.receiving[c] = struct{}{}
	return true, victims
}

func (b *Budget) fits(n int64, small bool) bool {
	limit := b.total
	if !small {
		limit -= b.total / smallShare
	}
	return b.used+n <= limit && b.used+b.leaving+n <= b.total+b.total/leavingShare
}

// victim returns the body to shed for another: the one of which nothing has arrived for longest, if that is longer than
// stallTime. For a small one also the largest of the large ones. It returns nil if there is none.
func (b *Budget) victim(besides *Claim, small bool, now time.Time) *Claim {
	if b.leaving > b.total/leavingShare {
		return nil // their memory is not free yet
	}
	var stalled, largest *Claim
	for c := range b.receiving {
		if c == besides {
			continue
		}
		if now.Sub(c.progress) >= stallTime && (stalled == nil || c.progress.Before(stalled.progress)) {
			stalled = c
		}
		if c.held > SmallBody && (largest == nil || c.held > largest.held) {
			largest = c
		}
	}
	if stalled == nil && small {
		return largest
	}
	return stalled
}

func (b *Budget) shed(c *Claim) {
	delete(b.receiving, c)
	c.shed = true
	b.used -= c.held
	b.leaving += c.held
	if c.held > SmallBody {
		b.large--
	}
}
