package entry

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Recorder receives the outcome of each request. Record must not block.
type Recorder interface {
	// Record is called once per request. The pool is empty if no pool serves the path, and the status is 499 if
	// the caller disconnected before its response.
	Record(pool ident.PoolID, outcome Outcome, status int, latency time.Duration)
}

// Counters is a Recorder that counts requests by pool and outcome for expvar.
type Counters struct {
	pools sync.Map // ident.PoolID to *poolCounters
}

type poolCounters struct {
	complete, notRun, unknown expvar.Int
	status                    [6]expvar.Int // requests by the first digit of the status
	latency                   expvar.Int    // sum in microseconds
}

// Record counts one request.
func (c *Counters) Record(pool ident.PoolID, outcome Outcome, status int, latency time.Duration) {
	v, ok := c.pools.Load(pool)
	if !ok {
		v, _ = c.pools.LoadOrStore(pool, &poolCounters{})
	}
	p := v.(*poolCounters)
	switch outcome {
	case Complete:
		p.complete.Add(1)
	case NotRun:
		p.notRun.Add(1)
	case Unknown:
		p.unknown.Add(1)
	}
	if class := status / 100; class > 0 && class < len(p.status) {
		p.status[class].Add(1)
	}
	p.latency.Add(latency.Microseconds())
}

// Var returns the counters as an expvar variable.
func (c *Counters) Var() expvar.Var {
	return expvar.Func(func() any {
		out := map[ident.PoolID]map[string]int64{}
		c.pools.Range(func(k, v any) bool {
			p := v.(*poolCounters)
			m := map[string]int64{
				"complete": p.complete.Value(), "not_run": p.notRun.Value(), "unknown": p.unknown.Value(),
				"latency_us_sum": p.latency.Value(),
			}
			for class := 1; class < len(p.status); class++ {
				m["status_"+strconv.Itoa(class)+"xx"] = p.status[class].Value()
			}
			out[k.(ident.PoolID)] = m
			return true
		})
		return out
	})
}
