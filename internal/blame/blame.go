package blame

import "time"

const (
	// SurvivalTime is how long a task must have run, as its target reports, to be no cause of a later crash.
	SurvivalTime = 500 * time.Millisecond
	// maxOwnCrashes allows for one crash that has another cause, such as a loss of power. A task that lasts is given up
	// later, since its job doesn't get another chance.
	maxOwnCrashes        = 2
	maxOwnCrashesLasting = 3
	// maxCrashes bounds the damage of a task whose part in the crashes can't be told apart.
	maxCrashes = 5
)

// Crash is what is known about one crash with which a task may have to do.
type Crash struct {
	Sole      bool // no other task may be the cause
	Confirmed bool // the target had confirmed the start of the task; otherwise it may have been lost before
	Inherited bool // a previous owner started the task, so that it is not known for how long it had run
}

// History holds the crashes with which a task may have to do. The zero value is that of a task without any.
type History struct {
	_         struct{} `cbor:",toarray"`
	Crashes   int      // targets that crashed shortly after they had been told to start the task
	Sole      int      // those of them that had started no other task shortly before
	Confirmed int      // those of Sole that had confirmed the start
	Inherited int      // targets that crashed around a takeover while they may have run the task; not among Crashes
}

// Add notes a crash.
func (h *History) Add(c Crash) {
	if c.Inherited {
		h.Inherited++
		return
	}
	h.Crashes++
	if c.Sole {
		h.Sole++
	}
	if c.Sole && c.Confirmed {
		h.Confirmed++
	}
}

// Remove takes back a crash that was added, since something else was its cause.
func (h *History) Remove(c Crash) {
	if c.Inherited {
		h.Inherited--
		return
	}
	h.Crashes--
	if c.Sole {
		h.Sole--
	}
	if c.Sole && c.Confirmed {
		h.Confirmed--
	}
}

// OnTrial reports whether the task may start only where no other new task would share the blame. One inherited crash is not
// enough: if a zone is lost with the owner, all tasks there have one.
func (h History) OnTrial() bool { return h.Crashes > 0 || h.Inherited > 1 }

// GiveUp reports whether the task may not start again. Lasting says that it runs until its job is canceled. Where a
// start was not confirmed, one more crash is needed.
func (h History) GiveUp(lasting bool) bool {
	limit := maxOwnCrashes
	if lasting {
		limit = maxOwnCrashesLasting
	}
	return h.Confirmed >= limit || h.Sole >= limit && h.Crashes > limit || h.Crashes+h.Inherited >= maxCrashes
}
