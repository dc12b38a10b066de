package peer

import "context"

// selfQueue is the queue of messages that an entry sends to itself.
type selfQueue struct{ *messageQueue }

func newSelfQueue() *selfQueue { return &selfQueue{newMessageQueue()} }

// next waits for a message and returns it. It returns false when ctx is done.
func (q *selfQueue) next(ctx context.Context) ([]byte, bool) {
	for {
		if batch, _ := q.take(1); len(batch) > 0 {
			return batch[0], true
		}
		select {
		case <-q.wake:
		case <-ctx.Done():
			return nil, false
		}
	}
}
