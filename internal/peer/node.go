package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	heartbeatPeriod = 300 * time.Millisecond
	silenceLimit    = 1500 * time.Millisecond
	listPeriod      = time.Second
	listTimeout     = 2 * time.Second
)

// Node implements Transport over WebSocket connections. Set its exported fields before calling Run.
type Node struct {
	ID       ident.EntryID
	Zone     ident.ZoneID
	Key      string // secret shared by all entries; never sent
	Listener net.Listener
	// Address is where other entries reach this one; the listener's address when empty.
	Address string
	Seeds   []string // addresses to dial in addition to those on the platform's live list
	// List reads the platform's live list; nil if there is none.
	List   func(context.Context) ([]plat.ListedVM, error)
	Clock  clock.Clock
	Logger hclog.Logger
	// Guard bounds what arrives, if set; Listener is one of its own.
	Guard *guard.Guard

	ctx          context.Context // the context of Run
	client       *http.Client
	handshakes   atomic.Int32
	view         atomic.Pointer[View]
	started      time.Time
	lastTick     atomic.Int64 // time of the last tick as a duration since started; 0 before Run
	selfQueue    *selfQueue
	membersKnown atomic.Bool
	refusedLinks atomic.Uint64

	mu             sync.Mutex
	incarnation    uint64
	members        map[ident.EntryID]*member
	seeds          map[string]*dialState
	dials          map[string]chan struct{} // dials in progress by address; a channel is closed when its dial has ended
	loggedRefusals map[string]bool
	handlers       []func(ident.EntryID, wire.Message)
	onView         []func(*View)
	views          []*View // not yet passed to onView
	viewsChanged   chan struct{}
}

// NewNode returns a node without links, whose view contains only this entry.
func NewNode(id ident.EntryID, zone ident.ZoneID, c clock.Clock) *Node {
	n := &Node{
		ID: id, Zone: zone, Clock: c, Logger: hclog.NewNullLogger(),
		started:        c.Now(),
		members:        map[ident.EntryID]*member{},
		seeds:          map[string]*dialState{},
		dials:          map[string]chan struct{}{},
		loggedRefusals: map[string]bool{},
		viewsChanged:   make(chan struct{}, 1),
		selfQueue:      newSelfQueue(),
	}
	n.incarnation = uint64(n.started.UnixNano())
	n.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	n.publishLocked()
	return n
}

// Self implements Transport.
func (n *Node) Self() ident.EntryID { return n.ID }

// View implements Transport. After a pause of this process, every other entry is Silent or Gone until a new
// link with it is up.
func (n *Node) View() *View {
	n.checkPause()
	return n.view.Load()
}

// MembersKnown reports whether this process has read the live list or linked with
// another entry. Before that, a view without other entries does not mean that there are none.
func (n *Node) MembersKnown() bool { return n.membersKnown.Load() }

// RefusedLinks returns how many links either side refused for a wrong key or version.
func (n *Node) RefusedLinks() uint64 { return n.refusedLinks.Load() }

// Handle implements Transport.
func (n *Node) Handle(h func(ident.EntryID, wire.Message)) { n.handlers = append(n.handlers, h) }

// OnView implements Transport.
func (n *Node) OnView(h func(*View)) { n.onView = append(n.onView, h) }

// Send implements Transport.
func (n *Node) Send(to ident.EntryID, m wire.Message) error {
	data, err := wire.Encode(m)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageSize {
		return ErrTooLarge
	}
	if to == n.ID {
		return n.selfQueue.push(data)
	}
	n.mu.Lock()
	defer n.mu.Unlock() // held while queuing, so that nothing is queued on a session after it was replaced
	remote := n.members[to]
	if remote == nil || remote.session == nil || remote.session.ended() {
		return ErrNoLink
	}
	return remote.session.push(data)
}

// Run accepts and maintains links until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.ctx = ctx
	if n.Address == "" {
		n.Address = n.Listener.Addr().String()
	}
	for _, s := range n.Seeds {
		if s != n.Address {
			n.seeds[s] = &dialState{}
		}
	}
	mux := http.NewServeMux()
	mux.Handle(peerPath, n)
	srv := n.Guard.ShortServer(mux)
	srv.ReadHeaderTimeout = headerTimeout
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	var wg sync.WaitGroup
	for _, f := range []func(){n.deliverSelf, n.notifyViews, n.pollList} {
		wg.Go(f)
	}
	n.lastTick.Store(max(1, int64(n.Clock.Now().Sub(n.started))))
	tick := n.Clock.Every(heartbeatPeriod, n.tick)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(n.Listener) }()
	n.tick()
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	tick.Stop()
	_ = srv.Close() // before the links, so that other entries that reconnect are refused and see that this one is gone
	n.closeSessions()
	wg.Wait()
	return err
}

func (n *Node) identity() identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return identity{
		Version: protocolVersion, ID: n.ID, Zone: n.Zone, Incarnation: n.incarnation, Address: n.Address, Nonce: newNonce(),
	}
}

// serve sends and receives messages on an attached session until it ends.
func (n *Node) serve(s *session) {
	defer n.detach(s)
	defer s.close()
	go func() {
		if err := s.write(n.ctx, heartbeatPeriod); err != nil {
			n.Logger.Debug("cannot write to the peer link; closing it", "peer", s.remote.ID, "error", err)
		}
		s.close()
	}()
	s.waitForDial()
	n.waitForReplaced(s)
	for !s.ended() {
		messages, err := s.readFrame(n.ctx)
		if err != nil {
			if !s.ended() {
				n.Logger.Debug("cannot read from the peer link; closing it", "peer", s.remote.ID, "error", err)
			}
			return
		}
		n.checkPause() // closes this session if its data may be outdated
		n.recordHeard(s)
		for _, m := range messages {
			if !n.deliver(s, m) {
				return
			}
		}
	}
}

// waitForReplaced waits until the messages of the replaced sessions have been delivered or are lost.
func (n *Node) waitForReplaced(s *session) {
	for {
		n.mu.Lock()
		old := s.replaced
		s.delivering = old == nil
		n.mu.Unlock()
		if old == nil {
			return
		}
		old.waitDrained(s.done)
		n.mu.Lock()
		if s.replaced == old {
			s.replaced = nil
		}
		n.mu.Unlock()
	}
}

// deliver handles one message and reports whether the session continues. The lock keeps the order between successive
// sessions with one entry.
func (n *Node) deliver(s *session, m wire.Message) bool {
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	if s.ended() {
		return false
	}
	switch m := m.(type) {
	case knownMembers:
		n.mergeKnown(m)
	case lastMessage:
		s.drainOnce.Do(func() { close(s.drained) })
	case handshakeResult:
		if m.Refusal == staleIncarnation {
			n.renewIncarnation(n.currentIncarnation())
		}
		return false
	default:
		for _, h := range n.handlers {
			h(s.remote.ID, m)
		}
	}
	return true
}

func (n *Node) deliverSelf() {
	for {
		data, ok := n.selfQueue.next(n.ctx)
		if !ok {
			return
		}
		m, err := wire.Decode(data)
		if err != nil {
			n.Logger.Error("cannot decode a message that this entry sent to itself; dropping the message", "error", err)
			continue
		}
		n.checkPause()
		for _, h := range n.handlers {
			h(n.ID, m)
		}
	}
}

func (n *Node) notifyViews() {
	for {
		select {
		case <-n.viewsChanged:
		case <-n.ctx.Done():
			return
		}
		n.mu.Lock()
		views := n.views
		n.views = nil
		n.mu.Unlock()
		for _, v := range views {
			for _, h := range n.onView {
				h(v)
			}
		}
	}
}

func (n *Node) pollList() {
	if n.List == nil {
		return
	}
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, listTimeout)
		listed, err := n.List(ctx)
		cancel()
		if err != nil && !errors.Is(err, context.Canceled) {
			n.Logger.Debug("cannot read the live list; continuing with the known members", "error", err)
		}
		if err == nil {
			n.membersKnown.Store(true)
			n.applyList(slices.DeleteFunc(listed, func(l plat.ListedVM) bool { return l.Kind != plat.KindEntry }))
		}
		_ = clock.Sleep(n.ctx, n.Clock, listPeriod) // the loop condition checks the context
	}
}

func (n *Node) closeSessions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.session != nil {
			m.session.closeWithReplaced()
		}
	}
}
