package peer

import (
	"maps"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// MemNetwork connects entries within one process, for tests and benchmarks. Messages are
// encoded and decoded as on the wire.
type MemNetwork struct {
	mu      sync.Mutex
	nodes   map[ident.EntryID]*MemTransport
	blocked map[[2]ident.EntryID]bool

	// These are set by SetLatency; latency is the delay between zones.
	latency time.Duration
	zones   map[ident.EntryID]ident.ZoneID
	delayed chan delayedMessage
}

// NewMemNetwork returns a network without entries.
func NewMemNetwork() *MemNetwork {
	return &MemNetwork{nodes: map[ident.EntryID]*MemTransport{}, blocked: map[[2]ident.EntryID]bool{}}
}

// MemTransport is the Transport of one entry in a MemNetwork. Its views are set by SetState.
type MemTransport struct {
	network  *MemNetwork
	self     ident.EntryID
	inbox    chan memMessage
	mu       sync.Mutex
	view     *View
	handlers []func(ident.EntryID, wire.Message)
	onView   []func(*View)
}

type memMessage struct {
	from ident.EntryID
	data []byte
}

// memQueueSize is the capacity of each message queue of a MemNetwork.
const memQueueSize = 4096

// Join adds an entry and returns its transport. Call Run or Deliver to deliver its messages.
func (m *MemNetwork) Join(id ident.EntryID, zone ident.ZoneID) *MemTransport {
	l := &MemTransport{network: m, self: id, inbox: make(chan memMessage, memQueueSize), view: &View{Members: map[ident.EntryID]Member{}}}
	m.mu.Lock()
	m.nodes[id] = l
	all := maps.Clone(m.nodes)
	m.mu.Unlock()
	for other, ol := range all {
		l.SetState(Member{ID: other, Zone: ol.zoneOr(zone), State: Up})
		ol.SetState(Member{ID: id, Zone: zone, State: Up})
	}
	return l
}

// zoneOr returns the zone of this entry, or z if it is not yet in its own view.
func (l *MemTransport) zoneOr(z ident.ZoneID) ident.ZoneID {
	if m, ok := l.View().Members[l.self]; ok {
		return m.Zone
	}
	return z
}

// SetBlocked stops or restores the messages between two entries, in both directions.
func (m *MemNetwork) SetBlocked(a, b ident.EntryID, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked[[2]ident.EntryID{a, b}] = cut
	m.blocked[[2]ident.EntryID{b, a}] = cut
}

// SetState adds or replaces a member in this entry's view.
func (l *MemTransport) SetState(member Member) {
	l.mu.Lock()
	v := &View{Version: l.view.Version + 1, Members: maps.Clone(l.view.Members)}
	v.Members[member.ID] = member
	l.view = v
	handlers := l.onView
	l.mu.Unlock()
	for _, h := range handlers {
		h(v)
	}
}

// Run delivers messages until stop is closed.
func (l *MemTransport) Run(stop <-chan struct{}) {
	for {
		select {
		case m := <-l.inbox:
			l.deliver(m)
		case <-stop:
			return
		}
	}
}

// Deliver handles the messages that are queued now and reports how many there were.
func (l *MemTransport) Deliver() int {
	for n := 0; ; n++ {
		select {
		case m := <-l.inbox:
			l.deliver(m)
		default:
			return n
		}
	}
}

func (l *MemTransport) deliver(m memMessage) {
	msg, err := wire.Decode(m.data)
	if err != nil {
		return // a message of a later version
	}
	l.mu.Lock()
	handlers := l.handlers
	l.mu.Unlock()
	for _, h := range handlers {
		h(m.from, msg)
	}
}

// Self implements Transport.
func (l *MemTransport) Self() ident.EntryID { return l.self }

// View implements Transport.
func (l *MemTransport) View() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

// Send implements Transport.
func (l *MemTransport) Send(to ident.EntryID, msg wire.Message) error {
	data, err := wire.Encode(msg)
	if err != nil {
		return err
	}
	l.network.mu.Lock()
	dst := l.network.nodes[to]
	cut := l.network.blocked[[2]ident.EntryID{l.self, to}]
	delayed := l.network.delayed
	if l.network.zones[l.self] == l.network.zones[to] {
		delayed = nil
	}
	latency := l.network.latency
	l.network.mu.Unlock()
	if dst == nil {
		return ErrNoLink
	}
	if cut {
		return nil // the message is lost
	}
	m := memMessage{from: l.self, data: data}
	if delayed != nil {
		select {
		case delayed <- delayedMessage{due: time.Now().Add(latency), m: m, dst: dst}:
			return nil
		default:
			return ErrQueueFull
		}
	}
	select {
	case dst.inbox <- m:
		return nil
	default:
		return ErrQueueFull
	}
}

// Handle implements Transport.
func (l *MemTransport) Handle(h func(ident.EntryID, wire.Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers = append(l.handlers, h)
}

// OnView implements Transport.
func (l *MemTransport) OnView(h func(*View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onView = append(l.onView, h)
}
