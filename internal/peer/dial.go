package peer

import (
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// yieldDialTime is how long after the end of a link the entry with the higher id leaves dialing to the other one.
	yieldDialTime = time.Second
	probeTimeout  = time.Second
)

// dialState schedules the dial attempts to one address.
type dialState struct {
	dialing     bool
	nextAttempt time.Time // not before this time
	backoff     time.Duration
	linkLost    time.Time     // when the last link ended
	entry       ident.EntryID // the entry that was linked at this address, if any
}

// resetBackoff makes the next attempt due at once.
func (d *dialState) resetBackoff() { d.nextAttempt, d.backoff = time.Time{}, 0 }

// scheduleNext doubles the backoff and sets the time of the next attempt, with random jitter of up to half the backoff so that
// peers do not dial at the same time.
func (d *dialState) scheduleNext(now time.Time) {
	d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
	d.nextAttempt = now.Add(d.backoff/2 + rand.N(d.backoff/2+1))
}

// tick marks members without heartbeats as silent and starts the dial attempts that are due.
func (n *Node) tick() {
	n.checkPause()
	n.lastTick.Store(int64(n.Clock.Now().Sub(n.started)))
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	known := map[string]bool{n.Address: true} // the addresses of this entry and of the members
	for _, m := range n.members {
		if m.State == Up && now.Sub(m.lastHeard) > silenceLimit {
			if m.session != nil {
				m.session.closeWithReplaced()
				m.linkLost = now
			}
			n.setStateLocked(m, Silent, "no heartbeat")
		}
		known[m.address] = true
		n.dialMemberLocked(m, now)
	}
	for address, d := range n.seeds {
		if m := n.members[d.entry]; m != nil && m.session != nil {
			continue // already linked through another address
		}
		if !known[address] && !d.dialing && !now.Before(d.nextAttempt) {
			d.dialing = true
			go n.dialSeed(address, d)
		}
	}
}

// dialMemberLocked starts a dial attempt or a probe if one is due. The caller holds Node.mu.
func (n *Node) dialMemberLocked(m *member, now time.Time) {
	if (m.session != nil && !m.session.ended()) || m.dialing || m.address == "" || now.Before(m.nextAttempt) || n.ctx.Err() != nil {
		return
	}
	m.dialing = true
	if n.ID > m.ID && now.Sub(m.linkLost) < yieldDialTime {
		go n.probe(m, m.address)
		return
	}
	go n.dial(m, m.address)
}

// beginDial notes that a dial to an address is in progress, and returns a function that ends it.
func (n *Node) beginDial(address string) (end func()) {
	done := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials[address] = done
	return func() {
		close(done)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.dials[address] == done {
			delete(n.dials, address)
		}
	}
}

// dial tries to link with a member.
func (n *Node) dial(m *member, address string) {
	defer n.beginDial(address)()
	s, err := n.dialLink(n.ctx, address)
	if err == nil {
		n.startDialed(s)
	}
	n.dialFinished(m, err)
}

// probe finds out whether a member's process is gone. It does not establish a link, which is left to the other side.
func (n *Node) probe(m *member, address string) {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	n.dialFinished(m, err)
}

// dialFinished schedules the next attempt. A refused connection without another link means that the member is gone.
func (n *Node) dialFinished(m *member, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.dialing = false
	m.scheduleNext(n.Clock.Now())
	linked := m.session != nil && !m.session.ended()
	if errors.Is(err, syscall.ECONNREFUSED) && !linked {
		n.setStateLocked(m, Gone, "connection refused")
	}
}

func (n *Node) dialSeed(address string, d *dialState) {
	defer n.beginDial(address)()
	s, err := n.dialLink(n.ctx, address)
	n.mu.Lock()
	d.dialing = false
	d.scheduleNext(n.Clock.Now())
	var refused *refusedError
	if errors.As(err, &refused) && refused.reason == ownAddress {
		delete(n.seeds, address)
	}
	if err == nil {
		d.entry = s.remote.ID
	}
	n.mu.Unlock()
	if err == nil {
		n.startDialed(s)
	}
}

// startDialed attaches and serves a session that the other side has accepted. A session that loses to another one is
// served as well, until it has delivered what the other side has sent on it.
func (n *Node) startDialed(s *session) {
	reason := n.attach(s)
	if reason == staleIncarnation {
		// Tell the other side that it needs a new incarnation.
		if data, err := wire.Encode(handshakeResult{Refusal: reason}); err == nil {
			_ = s.writeFrame(n.ctx, [][]byte{data}) // on failure it is told at the next attempt
		}
	}
	if reason != accepted && reason != duplicateLink {
		s.close()
		return
	}
	go n.serve(s)
}

// checkPause detects that this process was paused for longer than silenceLimit. Its
// view and the data waiting in its connections may then be outdated, so every link
// is closed and every member that is up becomes silent before the view or a message is used.
func (n *Node) checkPause() {
	if n.sinceTick() <= silenceLimit {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pause := n.sinceTick()
	if pause <= silenceLimit {
		return // another goroutine has detected the pause and published the new view
	}
	n.lastTick.Store(int64(n.Clock.Now().Sub(n.started)))
	n.Logger.Warn("process was paused; peer view is outdated, reconnecting to all peers", "pause", pause.String())
	for _, m := range n.members {
		if m.session != nil {
			m.session.closeWithReplaced()
		}
		m.resetBackoff()
		if m.State == Up {
			m.State = Silent
		}
	}
	n.publishLocked()
}

// sinceTick returns the time since the last tick; zero before Run.
func (n *Node) sinceTick() time.Duration {
	last := n.lastTick.Load()
	if last == 0 {
		return 0
	}
	return n.Clock.Now().Sub(n.started) - time.Duration(last)
}

// renewIncarnation takes a new incarnation after another entry has declared the old one gone.
func (n *Node) renewIncarnation(old uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != old {
		return
	}
	n.incarnation = max(uint64(n.Clock.Now().UnixNano()), old+1)
	n.Logger.Warn("another entry declared this process gone; continuing with a new incarnation")
	for _, m := range n.members {
		if m.session != nil {
			m.session.closeWithReplaced()
		}
		m.resetBackoff()
	}
	n.publishLocked()
}

func (n *Node) currentIncarnation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// encodeKnownLocked returns the encoded knownMembers message, without members that are gone. The caller holds Node.mu.
func (n *Node) encodeKnownLocked() []byte {
	k := knownMembers{Members: []knownMember{{ID: n.ID, Zone: n.Zone, Incarnation: n.incarnation, Address: n.Address}}}
	for _, m := range n.members {
		if m.State != Gone && m.address != "" {
			k.Members = append(k.Members, knownMember{ID: m.ID, Zone: m.Zone, Incarnation: m.Incarnation, Address: m.address})
		}
	}
	data, err := wire.Encode(k)
	if err != nil {
		n.Logger.Error("cannot encode the known members; not sending them to peers", "error", err)
		return nil
	}
	return data
}
