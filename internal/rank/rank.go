package rank

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job holds the properties of a job that determine its rank.
type Job struct {
	Service   bool          // its tasks run until it is canceled
	Priority  int           // 0 comes first
	Waited    time.Duration // since it was accepted or due
	Objective time.Duration // time from when it was accepted or due until it should be completed
	Remaining time.Duration // expected length of the longest chain of steps that are left
	Started   bool
	CPUTime   time.Duration // expected CPU time left, as time on one core
}

// Class is a group of jobs; jobs of a lower class go first.
type Class int

// The classes, from first to last.
const (
	ClassService Class = iota
	ClassOnTime        // can meet its objective
	ClassLate          // can be completed within lateFactor times its objective, or is postponed
	ClassExpired       // too late to be of use to its client, but accepted
)

const (
	// lateFactor is the multiple of its objective until which the completion of a job is still of some use.
	lateFactor = 3
	// chainReserve is the fraction of its remaining chain that is reserved, because estimates are inaccurate.
	chainReserve = 0.15
	// usableShare is the fraction of the cores that is used in practice: tasks don't fill targets exactly, and starts take
	// time.
	usableShare = 0.8
)

// timeLeft is the time until the job should be completed, less a reserve.
func (j *Job) timeLeft() time.Duration {
	return j.Objective - j.Waited - time.Duration(chainReserve*float64(j.Remaining))
}

func (j *Job) class() Class {
	switch {
	case j.Service:
		return ClassService
	case j.timeLeft() >= j.Remaining:
		return ClassOnTime
	case j.Waited+j.Remaining <= lateFactor*j.Objective:
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
func Sort(jobs []Job, cores float64) []Position {
	out := make([]Position, len(jobs))
	for i := range jobs {
		out[i] = Position{Index: i, Class: jobs[i].class()}
	}
	postpone(jobs, out, cores)
	slices.SortStableFunc(out, func(a, b Position) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), compare(&jobs[a.Index], &jobs[b.Index], a.Class))
	})
	return out
}

// compare orders two jobs of one class.
func compare(a, b *Job, c Class) int {
	if c == ClassService {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Waited, a.Waited))
	}
	if c == ClassOnTime {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.timeLeft()-a.Remaining, b.timeLeft()-b.Remaining))
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.CPUTime, b.CPUTime))
}

// postpone moves jobs from ClassOnTime to ClassLate until the rest can be
// completed in time. It goes through the jobs by deadline, and whenever their
// total CPU time exceeds what the cores provide until the deadline, it postpones
// the largest job so far that has not started.
func postpone(jobs []Job, positions []Position, cores float64) {
	if cores <= 0 {
		return
	}
	var byDeadline []int
	for i := range positions {
		if positions[i].Class == ClassOnTime {
			byDeadline = append(byDeadline, i)
		}
	}
	slices.SortStableFunc(byDeadline, func(a, b int) int { return cmp.Compare(jobs[a].timeLeft(), jobs[b].timeLeft()) })
	var candidates cpuTimeHeap
	total := time.Duration(0)
	for _, i := range byDeadline {
		total += jobs[i].CPUTime
		if !jobs[i].Started {
			heap.Push(&candidates, heapItem{i, jobs[i].CPUTime})
		}
		for float64(total) > usableShare*cores*float64(jobs[i].timeLeft()) && len(candidates) > 0 {
			largest := heap.Pop(&candidates).(heapItem)
			total -= largest.cpuTime
			positions[largest.index].Class = ClassLate
		}
	}
}

// cpuTimeHeap is a heap of jobs with the one that needs the most CPU time on top.
type cpuTimeHeap []heapItem

type heapItem struct {
	index   int
	cpuTime time.Duration
}

func (h cpuTimeHeap) Len() int           { return len(h) }
func (h cpuTimeHeap) Less(i, j int) bool { return h[i].cpuTime > h[j].cpuTime }
func (h cpuTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *cpuTimeHeap) Push(x any) { *h = append(*h, x.(heapItem)) }

// Pop implements heap.Interface.
func (h *cpuTimeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
