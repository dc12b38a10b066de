package shard

import (
	"slices"
	"time"
)

const (
	// measuredRounds is the number of rounds of planning of which the shortest counts: others may have been interrupted.
	measuredRounds = 3
	// longRoundParts bounds the part of the time for rounds that take longer than planPause.
	longRoundParts = 3
	// maxPlanPause bounds the time until the next round.
	maxPlanPause = 300 * time.Millisecond
)

// roundTimes holds how long the last rounds of planning took.
type roundTimes struct {
	last [measuredRounds]time.Duration
	next int
}

// note adds a round.
func (r *roundTimes) note(took time.Duration) {
	r.last[r.next] = took
	r.next = (r.next + 1) % measuredRounds
}

// pause returns the time from the start of one round to that of the next. Ordinary rounds take a small part of planPause. Accepted
// jobs may make each take several times as long, which would leave no processor time for the rest of the process.
func (r *roundTimes) pause() time.Duration {
	shortest := slices.Min(r.last[:])
	if shortest <= planPause {
		return planPause
	}
	return min(longRoundParts*shortest, maxPlanPause)
}
