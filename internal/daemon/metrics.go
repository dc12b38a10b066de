package daemon

import (
	"expvar"
	"runtime"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/entry"
	"github.com/toucanhatch/toucanhatch/internal/hist"
	"github.com/toucanhatch/toucanhatch/internal/usage"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// metrics holds the expvar maps of this process. They are keyed by entry id, since several entries may share a process.
var metrics = sync.OnceValue(func() (m struct{ outcomes, latency, permits *expvar.Map }) {
	m.outcomes = expvar.NewMap("outcomes")
	m.latency = expvar.NewMap("latency")
	m.permits = expvar.NewMap("permits")
	expvar.Publish("process", expvar.Func(func() any { return readProcessUsage() }))
	return m
})

// requestMetrics records the outcomes and latencies of requests for each pool.
type requestMetrics struct {
	outcomes  entry.Counters
	latencies hist.Set[ident.PoolID]
}

func newRequestMetrics(id ident.EntryID) *requestMetrics {
	r := &requestMetrics{}
	metrics().outcomes.Set(string(id), r.outcomes.Var())
	metrics().latency.Set(string(id), r.latencies.Var())
	return r
}

// Record implements entry.Recorder.
func (r *requestMetrics) Record(pool ident.PoolID, outcome entry.Outcome, status int, latency time.Duration) {
	r.outcomes.Record(pool, outcome, status, latency)
	r.latencies.Record(pool, latency)
}

// processUsage is the use of memory, processor time and goroutines by this process.
type processUsage struct {
	RSS        ident.Bytes `json:"rss_bytes"`
	CPU        int64       `json:"cpu_ms"` // user and system time since the start
	Goroutines int         `json:"goroutines"`
}

func readProcessUsage() processUsage {
	return processUsage{RSS: usage.Resident(), CPU: usage.CPU().Milliseconds(), Goroutines: runtime.NumGoroutine()}
}
