package admit

import "time"

// Load is what a pool has to do and what it can do.
type Load struct {
	Backlog        time.Duration // processor time of accepted work that has not been done, of one core
	Capacity       float64       // cores of the targets that may be given tasks
	Jobs           int           // active jobs
	Reserve        float64       // cores on their way to the pool, or that can be lent to it
	RecentTakeover bool          // the pool has just been taken over, so that Capacity and Reserve may be far too low
}

// Demand is what a new job asks for.
type Demand struct {
	CPUTime      time.Duration // processor time, of one core
	LongestChain time.Duration // its longest chain of tasks
	Objective    time.Duration // from acceptance to completion
	Service      bool          // it runs until canceled
	Scheduled    bool          // it starts later
}

// Decision is the decision on one job.
type Decision struct {
	Admit      bool
	Reason     string
	Wait       time.Duration // expected time until its work can begin
	RetryAfter time.Duration // when to come back, if refused
}

const (
	// maxLateness is how late a job may be expected to be done, as a multiple
	// of its objective; up to three times the objective it still has some worth.
	maxLateness = 3
	// maxJobs bounds the memory of one pool's owner: some 4 KB a job.
	maxJobs = 4000
	// Clients come back within these bounds.
	minRetry = time.Second
	maxRetry = 5 * time.Second
)

// Decide admits or refuses one job.
func Decide(l Load, d Demand) Decision {
	if l.Jobs >= maxJobs {
		return Decision{Reason: "too many active jobs", RetryAfter: maxRetry}
	}
	if d.Service || d.Scheduled {
		return Decision{Admit: true}
	}
	if l.RecentTakeover {
		return Decision{Admit: true, Reason: "the pool has just been taken over"}
	}
	capacity := l.Capacity + l.Reserve
	if capacity <= 0 {
		return Decision{Admit: true, Reason: "no target is known yet"}
	}
	wait := time.Duration(float64(l.Backlog) / capacity)
	own := max(d.LongestChain, time.Duration(float64(d.CPUTime)/capacity))
	if wait+own > maxLateness*d.Objective {
		return Decision{
			Reason: "the work ahead takes too long", Wait: wait,
			RetryAfter: min(max(wait+own-maxLateness*d.Objective, minRetry), maxRetry),
		}
	}
	return Decision{Admit: true, Wait: wait}
}
