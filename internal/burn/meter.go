package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Cause says what a request was for the service level.
type Cause string

// The causes. Good and Caller spend no budget.
const (
	Good        Cause = "good"
	CallerError Cause = "caller"  // refused for a fault of the caller's request
	Slow        Cause = "slow"    // complete, but later than the objective's latency
	Failed      Cause = "failed"  // complete, with a server error of the target
	NotRun      Cause = "not_run" // refused for lack of capacity or targets
	Unknown     Cause = "unknown" // the request may have run
)

// causes fixes the place of each cause in a bucket.
var causes = [...]Cause{Good, CallerError, Slow, Failed, NotRun, Unknown}

// SpendsBudget reports whether requests with this cause count as bad.
func (c Cause) SpendsBudget() bool { return c != Good && c != CallerError }

func (c Cause) index() int {
	for i, x := range causes {
		if x == c {
			return i
		}
	}
	return len(causes) - 1 // an unexpected cause counts as unknown
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

	mu    sync.Mutex // serializes the addition of pools
	pools atomic.Pointer[map[ident.PoolID]*counters]
	start time.Time
}

// NewMeter returns a meter that starts counting now.
func NewMeter(c clock.Clock) *Meter {
	m := &Meter{Clock: c, start: c.Now()}
	m.pools.Store(&map[ident.PoolID]*counters{})
	return m
}

type counters struct{ short, long ring }

// Count adds one request of a pool.
func (m *Meter) Count(pool ident.PoolID, cause Cause) {
	c := (*m.pools.Load())[pool]
	if c == nil {
		c = m.add(pool)
	}
	now, i := m.Clock.Now(), cause.index()
	c.short.add(now, i)
	c.long.add(now, i)
}

func (m *Meter) add(pool ident.PoolID) *counters {
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

// ring holds one bucket more than its window needs, so that the bucket being
// filled and the full window never share a place.
type ring struct {
	width   time.Duration
	mu      sync.Mutex // serializes the reuse of buckets
	buckets []bucket
}

type bucket struct {
	index  atomic.Int64 // start time in bucket widths; 0 when unused
	counts [len(causes)]atomic.Uint32
}

func newRing(window, width time.Duration) ring {
	return ring{width: width, buckets: make([]bucket, int(window/width)+1)}
}

func (r *ring) add(now time.Time, cause int) {
	index := now.UnixNano() / int64(r.width)
	b := &r.buckets[index%int64(len(r.buckets))]
	if b.index.Load() != index {
		r.reuse(b, index)
	}
	b.counts[cause].Add(1)
}

func (r *ring) reuse(b *bucket, index int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.index.Load() >= index {
		return
	}
	for i := range b.counts {
		b.counts[i].Store(0)
	}
	b.index.Store(index)
}

// sum adds up the buckets that lie within the window before now.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	last := now.UnixNano() / int64(r.width)
	first := last - int64(window/r.width) + 1
	out := Counts{}
	for i := range r.buckets {
		b := &r.buckets[i]
		if x := b.index.Load(); x < first || x > last {
			continue
		}
		for c, cause := range causes {
			if n := b.counts[c].Load(); n > 0 {
				out[cause] += uint64(n)
			}
		}
	}
	return out
}
