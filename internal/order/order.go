package order

import "time"

// Job is what the order of jobs depends on.
type Job struct {
	Lasting   bool
	Priority  int           // 0 comes first
	Waited    time.Duration // since it was accepted or due
	Objective time.Duration // from then until it should be completed
	Remaining time.Duration // length of its longest chain of work left
	Begun     bool
	Work      time.Duration // processor time left, of one core
}

// Class groups jobs; a lower class goes first.
type Class int

// The classes, first to last.
const (
	ClassLasting Class = iota
	ClassOnTime        // can still meet its objective
	ClassLate          // can be completed within three times its objective
	ClassLost          // too late to be worth anything, but accepted
)

// lateFactor bounds how late a job still has some worth, as a multiple of its objective.
const lateFactor = 3

// Rank is a position in the order; lower ranks go first.
type Rank struct {
	Class    Class
	Priority int
	Key      time.Duration
}

// Of ranks one job.
func Of(j Job) Rank {
	if j.Lasting {
		return Rank{ClassLasting, j.Priority, -j.Waited}
	}
	slack := j.Objective - j.Waited - j.Remaining
	switch {
	case slack >= 0:
		return Rank{ClassOnTime, j.Priority, slack}
	case j.Waited+j.Remaining <= lateFactor*j.Objective:
		return Rank{ClassLate, j.Priority, j.Work}
	default:
		return Rank{ClassLost, j.Priority, j.Work}
	}
}

// Less reports whether r goes before o.
func (r Rank) Less(o Rank) bool {
	if r.Class != o.Class {
		return r.Class < o.Class
	}
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.Key < o.Key
}
