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
	t := &MemTransport{network: m, self: id, inbox: make(chan memMessage, memQueueSize), view: &View{Members: map[ident.EntryID]Member{}}}
	m.mu.Lock()
	m.nodes[id] = t
	all := maps.Clone(m.nodes)
	m.mu.Unlock()
	for other, o := range all {
		t.SetState(Member{ID: other, Zone: o.zoneOr(zone), State: Up})
		o.SetState(Member{ID: id, Zone: zone, State: Up})
	}
	return t
}

// zoneOr returns the zone of this entry, or z if it is not yet in its own view.
func (t *MemTransport) zoneOr(z ident.ZoneID) ident.ZoneID {
	if m, ok := t.View().Members[t.self]; ok {
		return m.Zone
	}
	return z
}

// SetBlocked stops or restores the messages between two entries, in both directions.
func (m *MemNetwork) SetBlocked(a, b ident.EntryID, blocked bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked[[2]ident.EntryID{a, b}] = blocked
	m.blocked[[2]ident.EntryID{b, a}] = blocked
}

// SetState adds or replaces a member in this entry's view.
func (t *MemTransport) SetState(member Member) {
	t.mu.Lock()
	v := &View{Version: t.view.Version + 1, Members: maps.Clone(t.view.Members)}
	v.Members[member.ID] = member
	t.view = v
	handlers := t.onView
	t.mu.Unlock()
	for _, h := range handlers {
		h(v)
	}
}

// Run delivers messages until stop is closed.
func (t *MemTransport) Run(stop <-chan struct{}) {
	for {
		select {
		case m := <-t.inbox:
			t.deliver(m)
		case <-stop:
			return
		}
	}
}

// Deliver handles the messages that are queued now and reports how many there were.
func (t *MemTransport) Deliver() int {
	for n := 0; ; n++ {
		select {
		case m := <-t.inbox:
			t.deliver(m)
		default:
			return n
		}
	}
}

func (t *MemTransport) deliver(m memMessage) {
	msg, err := wire.Decode(m.data)
	if err != nil {
		return // a message of a later version
	}
	t.mu.Lock()
	handlers := t.handlers
	t.mu.Unlock()
	for _, h := range handlers {
		h(m.from, msg)
	}
}

// Self implements Transport.
func (t *MemTransport) Self() ident.EntryID { return t.self }

// View implements Transport.
func (t *MemTransport) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Send implements Transport.
func (t *MemTransport) Send(to ident.EntryID, msg wire.Message) error {
	data, err := wire.Encode(msg)
	if err != nil {
		return err
	}
	t.network.mu.Lock()
	dst := t.network.nodes[to]
	blocked := t.network.blocked[[2]ident.EntryID{t.self, to}]
	delayed := t.network.delayed
	if t.network.zones[t.self] == t.network.zones[to] {
		delayed = nil
	}
	latency := t.network.latency
	t.network.mu.Unlock()
	if dst == nil {
		return ErrNoLink
	}
	if blocked {
		return nil // the message is lost
	}
	m := memMessage{from: t.self, data: data}
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
func (t *MemTransport) Handle(h func(ident.EntryID, wire.Message)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers = append(t.handlers, h)
}

// OnView implements Transport.
func (t *MemTransport) OnView(h func(*View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onView = append(t.onView, h)
}
