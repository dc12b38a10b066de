package daemon

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/burn"
	"github.com/toucanhatch/toucanhatch/internal/entry"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// burnRecorder counts each request against the error budget of its pool and passes it on to next.
type burnRecorder struct {
	meter  *burn.Meter
	state  interface{ Snapshot() *fold.State }
	next   entry.Recorder
	limits atomic.Pointer[latencyLimits]
}

// latencyLimits caches the latency objectives of one fleet file, so that a request needs a single map lookup.
type latencyLimits struct {
	file   *fleet.File
	byPool map[ident.PoolID]time.Duration
}

// Record implements entry.Recorder.
func (b *burnRecorder) Record(pool ident.PoolID, outcome entry.Outcome, status int, latency time.Duration) {
	b.next.Record(pool, outcome, status, latency)
	if pool != "" {
		b.meter.Count(pool, classify(outcome, status, latency, b.latencyLimit(pool)))
	}
}

// latencyLimit returns the latency objective of a pool, 0 if it has none.
func (b *burnRecorder) latencyLimit(pool ident.PoolID) time.Duration {
	file := b.state.Snapshot().File
	l := b.limits.Load()
	if l == nil || l.file != file {
		l = &latencyLimits{file: file, byPool: make(map[ident.PoolID]time.Duration, len(file.Pools))}
		for i := range file.Pools {
			l.byPool[file.Pools[i].ID] = file.Pools[i].Objective.Latency
		}
		b.limits.Store(l)
	}
	return l.byPool[pool]
}

// classify returns the cause under which a request is counted; a limit of 0 sets no bound on the latency.
func classify(outcome entry.Outcome, status int, latency, limit time.Duration) burn.Cause {
	switch {
	case outcome == entry.Unknown:
		return burn.Unknown
	case outcome == entry.NotRun && status >= http.StatusInternalServerError:
		return burn.NotRun
	case outcome == entry.NotRun:
		return burn.CallerError
	case status >= http.StatusInternalServerError:
		return burn.Failed
	case limit > 0 && latency > limit:
		return burn.Slow
	default:
		return burn.Good
	}
}

// serveBurn writes this entry's counts for the pools of the current fleet file as JSON.
func (b *burnRecorder) serveBurn(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	samples := b.meter.Sample(b.state.Snapshot().File.Pools)
	if samples == nil {
		samples = []burn.Sample{}
	}
	_ = json.NewEncoder(w).Encode(samples) // the client notices a failed write
}
