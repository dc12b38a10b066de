package blame

import "time"

const (
	// SurvivalTime is how long a task must have run, as its target reports, to be no cause of a later crash.
	SurvivalTime = 500 * time.Millisecond
	// maxSoleCrashes allows for one crash that has another cause, such as a loss of power. A task that lasts is given up
	// later, since its job doesn't get another chance.
	maxSoleCrashes        = 2
	maxSoleCrashesLasting = 3
	// maxCrashes bounds the damage of a task whose part in the crashes can't be told apart.
	maxCrashes = 5
)

// History holds the crashes with which a task may have to do. The zero value is that of a task without any.
type History struct {
	_       struct{} `cbor:",toarray"`
	Crashes int      // targets that crashed shortly after they had started the task
	Sole    int      // those of them that had started no other task shortly before
}

// Add notes a crash. Sole says that no other task may be the cause.
func (h *History) Add(sole bool) {
	h.Crashes++
	if sole {
		h.Sole++
	}
}

// OnTrial reports whether the task may start only where no other new task would share the blame.
func (h History) OnTrial() bool { return h.Crashes > 0 }

// GiveUp reports whether the task may not start again. Lasting says that it runs until its job is canceled.
func (h History) GiveUp(lasting bool) bool {
	limit := maxSoleCrashes
	if lasting {
		limit = maxSoleCrashesLasting
	}
	return h.Sole >= limit || h.Crashes >= maxCrashes
}
