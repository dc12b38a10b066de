package admit

import "time"

// Load is the accepted work of a pool and the capacity that it has for it.
type Load struct {
	Backlog  time.Duration // single-core CPU time of accepted work that is not done yet
	Capacity float64       // cores of the targets that accept new tasks
	Jobs     int           // active jobs
	Reserve  float64       // cores on their way to the pool, or that other pools could give it
	// CapacityUnknown means that Capacity and Reserve may be far too low: this process has just taken over the pool, or no
	// fleet controller tells it what other pools could give.
	CapacityUnknown bool
}

// Demand describes a new job.
type Demand struct {
	CPUTime      time.Duration // single-core CPU time
	LongestChain time.Duration // run time of its longest chain of dependent tasks
	Objective    time.Duration // time in which it should complete, from its first submission
	Elapsed      time.Duration // since its first submission
	Service      bool          // it runs until it is canceled
	Scheduled    bool          // it starts later
}

// Decision is the answer to one job.
type Decision struct {
	Admit      bool
	Reason     string
	Wait       time.Duration // expected time until its first task can start
	RetryAfter time.Duration // when the client should retry, if refused
}

const (
	// maxLateness is the latest expected completion that is accepted, as a multiple of
	// the objective. A result within three times the objective still has some value.
	maxLateness = 3
	// maxJobs bounds the memory of one pool's owner, which needs about 4 KB for each job.
	maxJobs = 4000
	// minRetry and maxRetry bound the retry delay that clients are told.
	minRetry = time.Second
	maxRetry = 5 * time.Second
)

// Decide admits or refuses a job.
func Decide(l Load, d Demand) Decision {
	if l.Jobs >= maxJobs {
		return Decision{Reason: "too many active jobs", RetryAfter: maxRetry}
	}
	if d.Service || d.Scheduled {
		return Decision{Admit: true}
	}
	if l.CapacityUnknown {
		return Decision{Admit: true, Reason: "the capacity that the pool can get is not known"}
	}
	capacity := l.Capacity + l.Reserve
	if capacity <= 0 {
		return Decision{Admit: true, Reason: "no target is known yet"}
	}
	wait := time.Duration(float64(l.Backlog) / capacity)
	ownTime := max(d.LongestChain, time.Duration(float64(d.CPUTime)/capacity))
	if excess := d.Elapsed + wait + ownTime - maxLateness*d.Objective; excess > 0 {
		return Decision{
			Reason: "behind the backlog, the job would complete too late", Wait: wait,
			RetryAfter: min(max(excess, minRetry), maxRetry),
		}
	}
	return Decision{Admit: true, Wait: wait}
}
