package ctrl

import "time"

// roundPhase is a part of a round.
type roundPhase string

// The parts of a round, in their order.
const (
	phaseList     roundPhase = "list"
	phaseReports  roundPhase = "reports"
	phaseCommands roundPhase = "commands"
	phaseWaves    roundPhase = "waves"
)

// slowRound is the duration from which a round is logged. Demand may rise fivefold within a second, and each round that
// takes long delays the VMs that follow it.
const slowRound = 300 * time.Millisecond

// roundTimes holds how long the parts of a round took.
type roundTimes struct {
	begin, last time.Time
	phases      []any // names and durations, as arguments of a log line
}

func (r *roundTimes) start(now time.Time) { r.begin, r.last = now, now }

// add notes the end of a part.
func (r *roundTimes) add(p roundPhase, now time.Time) {
	r.phases = append(r.phases, string(p), now.Sub(r.last))
	r.last = now
}

// logSlowRound logs the parts of a round that took long.
func (c *Controller) logSlowRound(r *roundTimes) {
	if took := r.last.Sub(r.begin); took >= slowRound {
		c.Logger.Info("slow round of the fleet controller", append([]any{"took", took}, r.phases...)...)
	}
}
