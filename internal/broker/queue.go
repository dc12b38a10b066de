package broker

import (
	"container/heap"
	"time"
)

// waiter is a request that waits for a permit.
type waiter struct {
	req      AcquireRequest
	queuedAt time.Time
	done     bool // granted, refused or canceled
	result   chan acquireResult
}

// acquireResult ends a wait; it carries a permit or an error.
type acquireResult struct {
	permit Permit
	err    error
}

// queue orders waiters by class, urgent ones first, then by deadline. Cancellation marks the waiter in constant time; it
// is removed when it reaches the head or when about half of the queue is canceled.
type queue struct {
	heap    waiterHeap
	waiting int // waiters that are not done
	urgent  int // those of the urgent class
}

func (q *queue) push(w *waiter) {
	heap.Push(&q.heap, w)
	q.waiting++
	q.urgent += countIf(w.req.Urgent, 1)
}

// finish marks a waiter as granted, refused or canceled.
func (q *queue) finish(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	q.waiting--
	q.urgent -= countIf(w.req.Urgent, 1)
	if len(q.heap) > 2*q.waiting+64 {
		q.compact()
	}
}

// compact removes the waiters that are done.
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

// pop removes the first waiter from the heap without finishing it; it returns nil when none waits.
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
		if !w.done && w.req.Deadline.After(t) && (best < 0 || q.heap.Less(i, best)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return q.heap[best]
}

// putBack puts a popped waiter back into the heap.
func (q *queue) putBack(w *waiter) { heap.Push(&q.heap, w) }

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].req.Urgent != h[j].req.Urgent {
		return h[i].req.Urgent
	}
	return h[i].req.Deadline.Before(h[j].req.Deadline)
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
