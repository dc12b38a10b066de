package jobd

import (
	"expvar"
	"net/http"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/advise"
	"github.com/toucanhatch/toucanhatch/internal/hist"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// metricsHandler serves all counters and histograms as JSON text.
func metricsHandler() http.Handler { return expvar.Handler() }

// The metrics of docs/metrics.md. Daemons that run in the same process share them.
var (
	events            = expvar.NewMap("events")                // by kind
	requests          = expvar.NewMap("requests")              // by method and outcome
	logCalls          = expvar.NewMap("log_calls")             // by call and outcome
	jobsInTime        = expvar.NewMap("jobs_in_time")          // by queue
	jobsLate          = expvar.NewMap("jobs_late")             // by queue
	reservationGained = expvar.NewInt("reservation_gained_ms") // waiting time that reservations have saved large tasks, estimated
	configVersion     = expvar.NewInt("config_version")
	configAge         = expvar.NewInt("config_unconfirmed_ms") // since the configuration was known to be the newest
	configTransfers   = expvar.NewMap("config_transfers")      // by source and outcome
	configBytes       = expvar.NewMap("config_transfer_bytes") // of whole versions, by source and outcome
	adviceCalls       = expvar.NewMap("advice_calls")          // by outcome
	spaceInUse        = expvar.NewMap("space_bytes")           // by use
	requestLatencies  hist.Set[link.Method]
	logLatencies      hist.Set[string]
	writeLatencies    hist.Set[string]
	adviceLatencies   hist.Set[advise.Outcome]
	takeoverLatencies hist.Set[string]
)

// latencyKeyAll is the key of latencies that are not broken down further.
const latencyKeyAll = "all"

func init() {
	expvar.Publish("request_latency", requestLatencies.Var())
	expvar.Publish("log_latency", logLatencies.Var())
	expvar.Publish("write_latency", writeLatencies.Var())
	expvar.Publish("advice_latency", adviceLatencies.Var())
	expvar.Publish("takeover_latency", takeoverLatencies.Var())
}

// CountLogCall counts one call to the platform's log and records its duration.
func CountLogCall(call, outcome string, took time.Duration) {
	logCalls.Add(call+" "+outcome, 1)
	logLatencies.Record(call, took)
}

func countRequest(m link.Method, o outcome, took time.Duration) {
	requests.Add(string(m)+" "+string(o), 1)
	requestLatencies.Record(m, took)
}

// countAdvice counts one call to the advice service and records its duration.
func countAdvice(o advise.Outcome, took time.Duration) {
	adviceCalls.Add(string(o), 1)
	adviceLatencies.Record(o, took)
}

func countSpace(u space.Use, n ident.Bytes) { spaceInUse.Add(string(u), int64(n)) }

// transferOutcome is what became of a transfer of the configuration.
type transferOutcome string

const (
	transferNewer    transferOutcome = "newer"    // the version is in force
	transferKnown    transferOutcome = "known"    // that version, or a newer one, was in force
	transferUnusable transferOutcome = "unusable" // it can't be decoded
	transferGivenUp  transferOutcome = "given_up" // it didn't end
)

func countTransfer(from configSource, o transferOutcome, size int) {
	key := string(from) + " " + string(o)
	configTransfers.Add(key, 1)
	configBytes.Add(key, int64(size))
}

func countEvent(e jobs.Event) {
	events.Add(string(e.Kind), 1)
	countTenantJob(&e)
	if e.Kind == jobs.EventReservationKept {
		reservationGained.Add(e.Delay.Milliseconds())
	}
	if e.Kind != jobs.EventCompleted || e.Objective == 0 {
		return
	}
	if e.Delay <= e.Objective {
		jobsInTime.Add(string(e.Queue), 1)
	} else {
		jobsLate.Add(string(e.Queue), 1)
	}
}
