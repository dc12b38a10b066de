package pace

import "time"

const (
	// lowerThreshold is the ratio of latency to objective from which the share is halved.
	lowerThreshold = 0.85
	// raiseThreshold is the ratio up to which the share is raised.
	raiseThreshold  = 0.6
	raiseStep       = 20 // percent
	pausedShare     = 0
	fullShare       = 100
	minRunningShare = 10 // with less, the task is paused
)

// LatencySensitive is the state of one latency-sensitive task on the target.
type LatencySensitive struct {
	TailLatency time.Duration
	Objective   time.Duration
}

// Share returns the next share, in percent, of the best-effort tasks on a target. It depends on their current share and
// on the worst ratio of latency to objective among the latency-sensitive tasks there.
func Share(current int, tasks []LatencySensitive) int {
	worst := 0.0
	for _, t := range tasks {
		if t.Objective > 0 {
			worst = max(worst, float64(t.TailLatency)/float64(t.Objective))
		}
	}
	switch {
	case worst >= 1:
		return pauseIfTooLow(current / 4)
	case worst >= lowerThreshold:
		return pauseIfTooLow(current / 2)
	case worst <= raiseThreshold:
		return min(current+raiseStep, fullShare)
	default:
		return current
	}
}

// pauseIfTooLow returns the share, or pausedShare if it is too low for a task to run with.
func pauseIfTooLow(share int) int {
	if share < minRunningShare {
		return pausedShare
	}
	return share
}
