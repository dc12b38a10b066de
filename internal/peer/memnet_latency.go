package peer

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// delayedMessage waits in the queue of a pair of entries until it is due.
type delayedMessage struct {
	due time.Time
	m   meshMessage
	dst *MemTransport
}

// SetLatency delays messages between entries of different zones by d from now on. It is called once, before messages are sent
// between zones, and the delays end when stop is closed.
func (m *MemNetwork) SetLatency(d time.Duration, zones map[ident.EntryID]ident.ZoneID, stop <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency, m.zones = d, zones
	m.delayed = make(chan delayedMessage, meshQueue)
	go deliverDelayed(m.delayed, stop)
}

// deliverDelayed passes messages on in order; every delay is the same, so that order is also that of their times.
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
