package peer

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// delayedMessage is a message that is delivered when it is due.
type delayedMessage struct {
	due time.Time
	m   memMessage
	dst *MemTransport
}

// SetLatency delays messages between entries of different zones by d. It must be called once, before messages are
// sent between zones. When stop is closed, delayed messages are no longer delivered.
func (m *MemNetwork) SetLatency(d time.Duration, zones map[ident.EntryID]ident.ZoneID, stop <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency, m.zones = d, zones
	m.delayed = make(chan delayedMessage, memQueueSize)
	go deliverDelayed(m.delayed, stop)
}

// deliverDelayed delivers messages in the order in which they were sent. As all delays are equal, they are due in this order.
func deliverDelayed(queue <-chan delayedMessage, stop <-chan struct{}) {
	for {
		select {
		case d := <-queue:
			time.Sleep(time.Until(d.due))
			select {
			case d.dst.inbox <- d.m:
			default: // the receiver's queue is full; the message is lost
			}
		case <-stop:
			return
		}
	}
}
