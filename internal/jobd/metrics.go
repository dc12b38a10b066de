package jobd

import (
	"expvar"
	"net/http"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/hist"
)

// metricsHandler serves all counters and histograms as JSON text.
func metricsHandler() http.Handler { return expvar.Handler() }

var (
	logCalls     = expvar.NewMap("log_calls") // by call and outcome
	logLatencies hist.Set[string]             // by call
)

func init() { expvar.Publish("log_latency", logLatencies.Var()) }

// CountLogCall counts one call to the log.
func CountLogCall(call, outcome string, took time.Duration) {
	logCalls.Add(call+" "+outcome, 1)
	logLatencies.Record(call, took)
}
