package admit

import "time"

// Load is the accepted work of a pool and the capacity that it has for it.
type Load struct {
	Backlog  time.Duration // single-core CPU time of accepted work that is not done yet
	Capacity float64       // cores of the targets that accept new tasks
	Jobs     int           // active jobs
	Resident int           // those of them that are like [Demand.Resident]
	OfTenant int           // those of them that are of the job's tenant; 0 if it has none
	NoSpace  bool          // the memory for jobs of this kind is in use
	Reserve  float64       // cores on their way to the pool, or that other pools could give it
	// CapacityUnknown means that Capacity and Reserve may be far too low: this process has just taken over the pool, or no
	// fleet controller tells it what other pools could give.
	CapacityUnknown bool
	// Tenant is the part of the job's tenant; nil if the deployment has no tenants.
	Tenant *TenantLoad
}

// TenantLoad is the accepted work of one tenant in a pool and what the tenant may use of the pool.
type TenantLoad struct {
	Backlog time.Duration // its part of [Load.Backlog]
	// Ahead is the part of Backlog that gets resources before the new job: started jobs, and jobs that need no more CPU time.
	Ahead time.Duration
	// Share is the tenant's weight as a fraction of the weights of all tenants that have work in the pool, itself included.
	Share float64
}

// Demand describes a new job.
type Demand struct {
	CPUTime      time.Duration // single-core CPU time
	LongestChain time.Duration // run time of its longest chain of dependent tasks
	Objective    time.Duration // time in which it should complete, from its first submission
	Elapsed      time.Duration // since its first submission
	Service      bool          // it runs until it is canceled
	Scheduled    bool          // it starts later
	Resident     bool          // it is large, starts later or runs until it is canceled
}

// Decision is the answer to one job.
type Decision struct {
	Admit      bool
	Reason     string
	Wait       time.Duration // expected time until its first task can start
	RetryAfter time.Duration // when the client should retry, if refused
	Limit      Limit         // what the job is refused for; empty if it is admitted
}

// Limit is what a job is refused for.
type Limit string

// The limits.
const (
	LimitJobs  Limit = "jobs"  // the number of active jobs
	LimitSpace Limit = "space" // the memory that the partition's jobs may take
	LimitPool  Limit = "pool"  // the pool's backlog
	LimitShare Limit = "share" // the tenant's backlog, behind its share of the pool; the pool's backlog is too long as well
	LimitCap   Limit = "cap"   // the tenant's backlog, behind its cap
)

const (
	// maxLateness is the latest expected completion that is accepted, as a multiple of
	// the objective. A result within three times the objective still has some value.
	maxLateness = 3
	// maxJobs bounds the processor time of one pool's owner, which visits all active jobs in each round of planning.
	maxJobs = 4000
	// maxResident leaves a quarter of the jobs to those that run at once.
	maxResident = maxJobs * 3 / 4
	// maxTenantJobs leaves a half of the jobs to other tenants.
	maxTenantJobs = maxJobs / 2
	// minRetry and maxRetry bound the retry delay that clients are told.
	minRetry = time.Second
	maxRetry = 5 * time.Second
)

// Decide admits or refuses a job.
//
// A job of a tenant is also admitted if the work of its tenant that goes before it
// lets it complete in time on the tenant's share of the capacity. The shares of
// tenants without work are divided among the others.
func Decide(l Load, d Demand) Decision {
	if l.Jobs >= maxJobs || l.OfTenant >= maxTenantJobs || d.Resident && l.Resident >= maxResident {
		return Decision{Reason: "too many active jobs", RetryAfter: maxRetry, Limit: LimitJobs}
	}
	if l.NoSpace {
		return Decision{Reason: "the jobs of the partition take as much memory as they may", RetryAfter: maxRetry, Limit: LimitSpace}
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
	wait := saturate(float64(l.Backlog) / capacity)
	excess := d.lateness(wait, capacity)
	if excess <= 0 {
		return Decision{Admit: true, Wait: wait}
	}
	if l.Tenant == nil || l.Tenant.Share <= 0 {
		return refuse("behind the backlog, the job would complete too late", LimitPool, wait, excess)
	}
	// The job itself may use all cores: of a tenant with a small weight, one job may be more than its share.
	wait = saturate(float64(l.Tenant.Ahead) / (l.Tenant.Share * capacity))
	excess = d.lateness(wait, capacity)
	if excess <= 0 {
		return Decision{Admit: true, Wait: wait}
	}
	return refuse("behind the pool's backlog, and behind its tenant's in the tenant's share, the job would complete too late", LimitShare, wait, excess)
}

// lateness returns by how much the job would complete too late on the given cores if it has to wait.
func (d *Demand) lateness(wait time.Duration, cores float64) time.Duration {
	ownTime := max(d.LongestChain, saturate(float64(d.CPUTime)/cores))
	return d.Elapsed + wait + ownTime - maxLateness*d.Objective
}

// saturate converts nanoseconds to a duration of at most a day: a share may be so small that the time exceeds the range of
// durations.
func saturate(ns float64) time.Duration { return time.Duration(min(ns, float64(24*time.Hour))) }

func refuse(reason string, limit Limit, wait, excess time.Duration) Decision {
	return Decision{Reason: reason, Limit: limit, Wait: wait, RetryAfter: min(max(excess, minRetry), maxRetry)}
}
