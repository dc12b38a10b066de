package broker

import (
	"container/heap"
	"time"
)

// waiter is a request that waits for a permit.
type waiter struct {
	ask    AcquireRequest
	since  time.Time
	done   bool // granted, refused or canceled
	answer chan answer
}

// answer ends a wait; it carries a permit or an error.
type answer struct {
	permit Permit
	err    error
}

// queue orders waiters by class, then deadline. Cancellation marks the waiter in constant time; it is removed
// when it reaches the head or when half of the queue is canceled.
type queue struct {
	heap   waiterHeap
	live   int
	urgent int
}

func (q *queue) push(w *waiter) {
	heap.Push(&q.heap, w)
	q.live++
	q.urgent += only(w.ask.Urgent, 1)
}

// end marks a waiter as answered or canceled.
func (q *queue) end(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	q.live--
	q.urgent -= only(w.ask.Urgent, 1)
	if len(q.heap) > 2*q.live+64 {
		q.compact()
	}
}

func (q *queue) compact() {
	kept := q.heap[:0]
	for _, w := range q.heap {
		if !w.done {
			kept = append(kept, w)
		}
	}
	clear(q.heap[len(kept):])
	q.heap = kept
	heap.Init(&q.heap)
}

// head returns the first waiter without removing it, or nil.
func (q *queue) head() *waiter {
	for len(q.heap) > 0 {
		if w := q.heap[0]; !w.done {
			return w
		}
		heap.Pop(&q.heap)
	}
	return nil
}

// pop removes the first waiter without ending it; it returns nil when none waits.
func (q *queue) pop() *waiter {
	w := q.head()
	if w != nil {
		heap.Pop(&q.heap)
	}
	return w
}

// firstAfter returns the waiter that is first in order among those with a deadline after t, or nil.
func (q *queue) firstAfter(t time.Time) *waiter {
	best := -1
	for i, w := range q.heap {
		if !w.done && w.ask.Deadline.After(t) && (best < 0 || q.heap.Less(i, best)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return q.heap[best]
}

// pushBack puts a popped waiter back.
func (q *queue) pushBack(w *waiter) { heap.Push(&q.heap, w) }

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].ask.Urgent != h[j].ask.Urgent {
		return h[i].ask.Urgent
	}
	return h[i].ask.Deadline.Before(h[j].ask.Deadline)
}

func (h waiterHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *waiterHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
