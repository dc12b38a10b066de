package rank

import "time"

// Job holds the properties of a job that determine its rank.
type Job struct {
	Service   bool          // its tasks run until it is canceled
	Priority  int           // 0 comes first
	Waited    time.Duration // since it was accepted or due
	Objective time.Duration // time from when it was accepted or due until it should be completed
	Remaining time.Duration // expected length of the longest chain of steps that are left
	Started   bool
	CPUTime   time.Duration // expected CPU time left, as time on one core
	Tenant    int           // index of its tenant, from 0; the same for all jobs if there are no tenants
	Weight    float64       // of its tenant: the tenant's share relative to the others
}

// Class is a group of jobs; jobs of a lower class go first, except that late jobs may go among those on time.
type Class int

// The classes, from first to last.
const (
	ClassService Class = iota
	ClassOnTime        // can meet its objective
	ClassLate          // can still be of use to its client, or is postponed
	ClassExpired       // accepted, but can't be completed while it is of use to its client
)

const (
	// lateFactor is the multiple of its objective until which the completion of a job is still of some use.
	lateFactor = 3
	// chainReserve is the fraction of its remaining chain that is reserved, because estimates are inaccurate.
	chainReserve = 0.15
	// usableShare is the fraction of the cores that is used in practice: tasks don't fill targets exactly, and starts take
	// time.
	usableShare = 0.8
	// maxDelayedPerRescue is how many jobs may be late so that one more job is completed while it is of use.
	maxDelayedPerRescue = 2
)

// timeLeft is the time until the job should be completed if it belongs to class c, less a reserve.
func (j *Job) timeLeft(c Class) time.Duration {
	limit := j.Objective
	if c > ClassOnTime {
		limit *= lateFactor
	}
	return limit - j.Waited - time.Duration(chainReserve*float64(j.Remaining))
}

// slack is how long the job may wait and still be completed in the time of class c.
func (j *Job) slack(c Class) time.Duration { return j.timeLeft(c) - j.Remaining }

// class returns the best class that the job can reach on cores of its own.
func (j *Job) class() Class {
	switch {
	case j.Service:
		return ClassService
	case j.slack(ClassOnTime) >= 0:
		return ClassOnTime
	case j.slack(ClassLate) >= 0:
		return ClassLate
	default:
		return ClassExpired
	}
}

// Position is the position of a job in the order.
type Position struct {
	Index int // in the jobs passed to Sort
	Class Class
}

// Sort returns the order in which the jobs get resources on the given number of cores.
//
// If the cores can't complete all jobs in time, as few jobs as possible are
// postponed, namely those that need the most CPU time and have not started:
// working on more jobs than can be completed in time would make all of them late.
// With several tenants, each is the largest job of the tenant whose planned work
// is the most relative to its weight, and the jobs of tenants that are over their
// shares go behind the others of their class and priority.
// Postponed jobs go behind the others. Where they would then expire, they go
// among the others by their own last useful times instead, unless that makes more
// than maxDelayedPerRescue jobs late for each job that it rescues.
func Sort(jobs []Job, cores float64) []Position {
	own := make([]Class, len(jobs))
	for i := range jobs {
		own[i] = jobs[i].class()
	}
	planned := newPlan(jobs, own, cores)
	planned.fitOnTime()
	planned.fitLate()
	if lost := planned.count(ClassExpired); lost > count(own, ClassExpired) {
		rescuing := newPlan(jobs, own, cores)
		rescuing.fitTogether()
		rescued := lost - rescuing.count(ClassExpired)
		delayed := planned.count(ClassOnTime) - rescuing.count(ClassOnTime)
		if rescued > 0 && delayed <= maxDelayedPerRescue*rescued {
			planned = rescuing
		}
	}
	planned.over = findOver(jobs, own, cores)
	return planned.order()
}
