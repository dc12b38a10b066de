package rank

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is what the order of jobs depends on.
type Job struct {
	Service   bool
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
	ClassService Class = iota
	ClassOnTime        // is to meet its objective
	ClassLate          // can be completed within three times its objective
	ClassExpired       // too late to be worth anything, but accepted
)

const (
	// lateFactor bounds how late a job still has some worth, as a multiple of its objective.
	lateFactor = 3
	// chainReserve is the part of its chain by which a job should be done early: estimates are off.
	chainReserve = 0.15
	// usableShare is the part of the cores that is filled in practice: tasks leave gaps, and starts take their time.
	usableShare = 0.8
)

// left is the time until the job should be completed, with a reserve.
func (j *Job) left() time.Duration {
	return j.Objective - j.Waited - time.Duration(chainReserve*float64(j.Remaining))
}

func (j *Job) class() Class {
	switch {
	case j.Service:
		return ClassService
	case j.left() >= j.Remaining:
		return ClassOnTime
	case j.Waited+j.Remaining <= lateFactor*j.Objective:
		return ClassLate
	default:
		return ClassExpired
	}
}

// Position is a job's place in the order.
type Position struct {
	Index int // in the jobs that were given
	Class Class
}

// Sort returns the order in which the jobs get room on the given number of cores.
//
// Where the cores can't bring all jobs to completion in time, those that take
// the most work and have not begun are put behind, as few as possible: work on
// more jobs than can be completed would make all of them late.
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
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.left()-a.Remaining, b.left()-b.Remaining))
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Work, b.Work))
}

// postpone moves jobs from ClassOnTime to ClassLate until the rest can be
// completed in time: jobs are taken by deadline, and whenever the work so far
// exceeds what the cores do until then, the largest one that has not begun goes.
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
	slices.SortStableFunc(byDeadline, func(a, b int) int { return cmp.Compare(jobs[a].left(), jobs[b].left()) })
	var taken largest
	total := time.Duration(0)
	for _, i := range byDeadline {
		total += jobs[i].Work
		if !jobs[i].Begun {
			heap.Push(&taken, item{i, jobs[i].Work})
		}
		for float64(total) > usableShare*cores*float64(jobs[i].left()) && len(taken) > 0 {
			x := heap.Pop(&taken).(item)
			total -= x.work
			positions[x.index].Class = ClassLate
		}
	}
}

// largest is a heap of jobs with the one that takes the most work on top.
type largest []item

type item struct {
	index int
	work  time.Duration
}

func (h largest) Len() int           { return len(h) }
func (h largest) Less(i, j int) bool { return h[i].work > h[j].work }
func (h largest) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *largest) Push(x any) { *h = append(*h, x.(item)) }

// Pop implements heap.Interface.
func (h *largest) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
