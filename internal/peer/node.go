package peer

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	heartbeat    = 300 * time.Millisecond
	silenceLimit = 1500 * time.Millisecond
	listPeriod   = time.Second
	listTimeout  = 2 * time.Second
)

// Node implements Links over WebSocket connections. Set its exported fields before Run.
type Node struct {
	ID       ident.EntryID
	Zone     ident.ZoneID
	Key      string // shared by all entries; it is never sent
	Listener net.Listener
	// Address is where others reach this entry; the listener's address when empty.
	Address string
	Seeds   []string // addresses to try besides those on the platform's list
	// List reads the platform's live list; nil if there is none.
	List   func(context.Context) ([]plat.ListedVM, error)
	Clock  clock.Clock
	Logger hclog.Logger

	ctx        context.Context // the context of Run
	client     *http.Client
	handshakes atomic.Int32
	view       atomic.Pointer[View]
	started    time.Time
	lastTick   atomic.Int64 // time of the last tick, since started
	self       *loop
	informed   atomic.Bool
	refused    atomic.Uint64

	mu          sync.Mutex
	incarnation uint64
	members     map[ident.EntryID]*member
	seeds       map[string]*dialState
	complaints  map[string]bool
	handlers    []func(ident.EntryID, wire.Message)
	onView      []func(*View)
	views       []*View // not yet passed to onView
	viewsWake   chan struct{}
}

// NewNode returns a node without links, whose view holds only this entry.
func NewNode(id ident.EntryID, zone ident.ZoneID, c clock.Clock) *Node {
	n := &Node{
		ID: id, Zone: zone, Clock: c, Logger: hclog.NewNullLogger(),
		started:    c.Now(),
		members:    map[ident.EntryID]*member{},
		seeds:      map[string]*dialState{},
		complaints: map[string]bool{},
		viewsWake:  make(chan struct{}, 1),
		self:       newLoop(),
	}
	n.incarnation = uint64(n.started.UnixNano())
	n.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	n.publish()
	return n
}

// Self implements Links.
func (n *Node) Self() ident.EntryID { return n.ID }

// View implements Links. After a pause of this process the view is stale, and every other entry is Silent in it.
func (n *Node) View() *View {
	n.checkPause()
	return n.view.Load()
}

// Informed reports whether this process has read the live list or linked with
// another entry. Before that, an empty view says nothing about the fleet.
func (n *Node) Informed() bool { return n.informed.Load() }

// Refused returns how many links were refused for a wrong key or version, by either side.
func (n *Node) Refused() uint64 { return n.refused.Load() }

// Handle implements Links.
func (n *Node) Handle(h func(ident.EntryID, wire.Message)) { n.handlers = append(n.handlers, h) }

// OnView implements Links.
func (n *Node) OnView(h func(*View)) { n.onView = append(n.onView, h) }

// Send implements Links.
func (n *Node) Send(to ident.EntryID, m wire.Message) error {
	data, err := wire.Encode(m)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return ErrTooLarge
	}
	if to == n.ID {
		return n.self.push(data)
	}
	n.mu.Lock()
	defer n.mu.Unlock() // so that nothing is queued on a session after it was replaced
	remote := n.members[to]
	if remote == nil || remote.session == nil || remote.session.ended() {
		return ErrNoLink
	}
	return remote.session.push(data)
}

// Run serves and keeps links until ctx is done.
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
	mux.Handle(linkPath, n)
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: peerHeaderTimeout, ErrorLog: log.New(io.Discard, "", 0), // scans are no news
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	var wg sync.WaitGroup
	for _, f := range []func(){n.deliverSelf, n.deliverViews, n.followList} {
		wg.Go(f)
	}
	n.lastTick.Store(max(1, int64(n.Clock.Now().Sub(n.started))))
	tick := n.Clock.Every(heartbeat, n.tick)
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
	_ = srv.Close() // first, so that the others find the connection refused
	n.closeAll()
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

// serve carries messages over an attached session until it ends.
func (n *Node) serve(s *session) {
	defer n.detach(s)
	defer s.close()
	go func() {
		if err := s.write(n.ctx, heartbeat); err != nil {
			n.Logger.Debug("peer link broke", "peer", s.remote.ID, "error", err)
		}
		s.close()
	}()
	n.awaitPredecessor(s)
	for !s.ended() {
		messages, err := s.readFrame(n.ctx)
		if err != nil {
			if !s.ended() {
				n.Logger.Debug("peer link broke", "peer", s.remote.ID, "error", err)
			}
			return
		}
		n.checkPause() // ends this session when what it carries may be old
		n.heard(s)
		for _, m := range messages {
			if !n.deliver(s, m) {
				return
			}
		}
	}
}

// awaitPredecessor waits until what the replaced session carries has been delivered or is lost.
func (n *Node) awaitPredecessor(s *session) {
	n.mu.Lock()
	old := s.after
	n.mu.Unlock()
	if old == nil {
		return
	}
	old.awaitLast(s.done)
	n.mu.Lock()
	s.after = nil
	n.mu.Unlock()
}

// deliver passes one message on; the lock keeps the order between successive sessions with one entry.
func (n *Node) deliver(s *session, m wire.Message) bool {
	s.deliveredMu.Lock()
	defer s.deliveredMu.Unlock()
	if s.ended() {
		return false
	}
	switch m := m.(type) {
	case known:
		n.learn(m)
	case last:
		s.drainOnce.Do(func() { close(s.drained) })
	case verdict:
		if m.Refusal == staleProcess {
			n.renew(n.presentIncarnation())
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
		data, ok := n.self.next(n.ctx)
		if !ok {
			return
		}
		m, err := wire.Decode(data)
		if err != nil {
			n.Logger.Error("own message cannot be decoded", "error", err)
			continue
		}
		n.checkPause()
		for _, h := range n.handlers {
			h(n.ID, m)
		}
	}
}

func (n *Node) deliverViews() {
	for {
		select {
		case <-n.viewsWake:
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

func (n *Node) followList() {
	if n.List == nil {
		return
	}
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, listTimeout)
		listed, err := n.List(ctx)
		cancel()
		if err != nil && !errors.Is(err, context.Canceled) {
			n.Logger.Debug("the live list is out of reach; links are kept from what is known", "error", err)
		}
		if err == nil {
			n.informed.Store(true)
			n.applyList(slices.DeleteFunc(listed, func(l plat.ListedVM) bool { return l.Kind != plat.KindEntry }))
		}
		_ = clock.Sleep(n.ctx, n.Clock, listPeriod) // the loop checks the context
	}
}

func (n *Node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.session != nil {
			m.session.closeAll()
		}
	}
}
