package pace

import "time"

const (
	// nearObjective is the part of the objective from which the share is lowered.
	lowerThreshold = 0.85
	// farFromObjective is the part below which the share is raised.
	raiseThreshold = 0.6
	raiseStep        = 20 // percent
	pausedShare         = 0
	fullShare        = 100
	minRunningShare    = 10 // below it the task is paused
)

// Service is the state of one serving task on the target.
type LatencySensitive struct {
	TailLatency time.Duration
	Objective   time.Duration
}

// Share returns the next share in percent for the filling tasks of a target whose present share is given.
func Share(present int, serving []LatencySensitive) int {
	worst := 0.0
	for _, s := range serving {
		if s.Objective > 0 {
			worst = max(worst, float64(s.TailLatency)/float64(s.Objective))
		}
	}
	switch {
	case worst >= 1:
		return pauseIfTooLow(present / 4)
	case worst >= lowerThreshold:
		return pauseIfTooLow(present / 2)
	case worst <= raiseThreshold:
		return min(present+raiseStep, fullShare)
	default:
		return present
	}
}

func pauseIfTooLow(share int) int {
	if share < minRunningShare {
		return pausedShare
	}
	return share
}
