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
func (o *messageQueue) push(data []byte) error {
	o.mu.Lock()
	if len(o.queue) >= maxQueue || o.bytes+len(data) > maxQueueBytes {
		o.mu.Unlock()
		return ErrQueueFull
	}
	o.queue = append(o.queue, data)
	o.bytes += len(data)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// take removes and returns messages of at most limit bytes in total, or one larger message. It reports whether more are left.
func (o *messageQueue) take(limit int) (batch [][]byte, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(o.queue) && (n == 0 || size+len(o.queue[n]) <= limit) {
		size += len(o.queue[n])
		n++
	}
	batch = o.queue[:n:n]
	o.queue = o.queue[n:]
	o.bytes -= size
	if len(o.queue) == 0 {
		o.queue = nil
	}
	return batch, len(o.queue) > 0
}
