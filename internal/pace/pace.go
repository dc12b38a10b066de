package pace

import "time"

const (
	// nearObjective is the part of the objective from which the share is lowered.
	nearObjective = 0.85
	// farFromObjective is the part below which the share is raised.
	farFromObjective = 0.6
	raiseStep        = 20 // percent
	minShare         = 0
	fullShare        = 100
	smallestShare    = 10 // below it the task is paused
)

// Service is the state of one serving task on the target.
type Service struct {
	TailLatency time.Duration
	Objective   time.Duration
}

// Share returns the next share in percent for the filling tasks of a target whose present share is given.
func Share(present int, serving []Service) int {
	worst := 0.0
	for _, s := range serving {
		if s.Objective > 0 {
			worst = max(worst, float64(s.TailLatency)/float64(s.Objective))
		}
	}
	switch {
	case worst >= 1:
		return lower(present / 4)
	case worst >= nearObjective:
		return lower(present / 2)
	case worst <= farFromObjective:
		return min(present+raiseStep, fullShare)
	default:
		return present
	}
}

func lower(share int) int {
	if share < smallestShare {
		return minShare
	}
	return share
}
