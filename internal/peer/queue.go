package peer

import "sync"

// messageQueue queues encoded messages up to maxQueue messages and maxQueueBytes bytes. A
// value in wake signals that there may be messages.
type messageQueue struct {
	wake chan struct{}

	mu    sync.Mutex
	queue [][]byte
	bytes int
}

func newMessageQueue() *messageQueue { return &messageQueue{wake: make(chan struct{}, 1)} }

// push queues a message and never blocks.
func (q *messageQueue) push(data []byte) error {
	q.mu.Lock()
	if len(q.queue) >= maxQueue || q.bytes+len(data) > maxQueueBytes {
		q.mu.Unlock()
		return ErrQueueFull
	}
	q.queue = append(q.queue, data)
	q.bytes += len(data)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

// take removes and returns messages of at most limit bytes in total, or one larger message. It reports whether more are left.
func (q *messageQueue) take(limit int) (batch [][]byte, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, n := 0, 0
	for n < len(q.queue) && (n == 0 || size+len(q.queue[n]) <= limit) {
		size += len(q.queue[n])
		n++
	}
	batch = q.queue[:n:n]
	q.queue = q.queue[n:]
	q.bytes -= size
	if len(q.queue) == 0 {
		q.queue = nil
	}
	return batch, len(q.queue) > 0
}
