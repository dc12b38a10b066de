package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Cause classifies a request for the error budget: good, or the reason why it is not.
type Cause string

// The causes. Requests that are [Good] or [CallerError] do not spend the error budget.
const (
	Good        Cause = "good"
	CallerError Cause = "caller"  // refused because of an error in the caller's request
	Slow        Cause = "slow"    // complete, but later than the objective's latency
	Failed      Cause = "failed"  // complete, with a server error of the target
	NotRun      Cause = "not_run" // refused for lack of capacity or targets
	Unknown     Cause = "unknown" // the request may have run
)

// causes lists every cause; its position here is its index in bucket.counts.
var causes = [...]Cause{Good, CallerError, Slow, Failed, NotRun, Unknown}

// SpendsBudget reports whether requests with this cause count as bad and so spend the error budget.
func (c Cause) SpendsBudget() bool { return c != Good && c != CallerError }

func (c Cause) index() int {
	for i, x := range causes {
		if x == c {
			return i
		}
	}
	return len(causes) - 1 // unexpected causes count as Unknown
}

// The windows of a report. The long window uses wider buckets, which keeps a
// pool's counters near 5 KiB.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = 6 * time.Hour

	shortBucket = 10 * time.Second
	longBucket  = 5 * time.Minute
)

// Meter counts requests per pool. Set its fields before the first call.
type Meter struct {
	Clock clock.Clock

	mu    sync.Mutex                                 // held while a pool is added
	pools atomic.Pointer[map[ident.PoolID]*counters] // the map is replaced, never modified
	start time.Time                                  // when counting began
}

// NewMeter returns a meter that starts counting now.
func NewMeter(c clock.Clock) *Meter {
	m := &Meter{Clock: c, start: c.Now()}
	m.pools.Store(&map[ident.PoolID]*counters{})
	return m
}

// counters holds the counts of one pool for both windows.
type counters struct{ short, long ring }

// Count adds one request of a pool.
func (m *Meter) Count(pool ident.PoolID, cause Cause) {
	c := (*m.pools.Load())[pool]
	if c == nil {
		c = m.addPool(pool)
	}
	now, i := m.Clock.Now(), cause.index()
	c.short.add(now, i)
	c.long.add(now, i)
}

func (m *Meter) addPool(pool ident.PoolID) *counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.pools.Load()
	if c := old[pool]; c != nil {
		return c
	}
	next := make(map[ident.PoolID]*counters, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	c := &counters{short: newRing(ShortWindow, shortBucket), long: newRing(LongWindow, longBucket)}
	next[pool] = c
	m.pools.Store(&next)
	return c
}

// ring is a ring buffer of time buckets. It has one bucket more than its window needs,
// so that starting a new bucket never overwrites one that still lies in the window.
type ring struct {
	width   time.Duration
	mu      sync.Mutex // held while a bucket is reset
	buckets []bucket
}

type bucket struct {
	number atomic.Int64 // start time divided by the ring's width; 0 if unused
	counts [len(causes)]atomic.Uint32
}

func newRing(window, width time.Duration) ring {
	return ring{width: width, buckets: make([]bucket, int(window/width)+1)}
}

func (r *ring) add(now time.Time, causeIndex int) {
	number := now.UnixNano() / int64(r.width)
	b := &r.buckets[number%int64(len(r.buckets))]
	if b.number.Load() != number {
		r.reset(b, number)
	}
	b.counts[causeIndex].Add(1)
}

// reset clears b and assigns it to the time of the given number, unless another goroutine has done so.
func (r *ring) reset(b *bucket, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.number.Load() >= number {
		return
	}
	for i := range b.counts {
		b.counts[i].Store(0)
	}
	b.number.Store(number)
}

// sum adds up the buckets that lie within the window that ends now.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	last := now.UnixNano() / int64(r.width)
	first := last - int64(window/r.width) + 1
	total := Counts{}
	for i := range r.buckets {
		b := &r.buckets[i]
		if number := b.number.Load(); number < first || number > last {
			continue
		}
		for j, cause := range causes {
			if n := b.counts[j].Load(); n > 0 {
				total[cause] += uint64(n)
			}
		}
	}
	return total
}
