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
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// otherSideDelay is how long the entry with the higher id leaves dialing to the other one.
	otherSideDelay = time.Second
	probeTimeout   = time.Second
)

// dialState schedules the attempts to reach one address.
type dialState struct {
	dialing bool
	due     time.Time // earliest time of the next attempt
	backoff time.Duration
	lost    time.Time     // when the last link ended
	entry   ident.EntryID // who answered there, if known
}

func (d *dialState) reset() { d.due, d.backoff = time.Time{}, 0 }

// delay sets the time of the next attempt, at random within half the backoff so that peers spread out.
func (d *dialState) delay(now time.Time) {
	d.backoff = min(max(2*d.backoff, firstBackoff), maxBackoff)
	d.due = now.Add(d.backoff/2 + rand.N(d.backoff/2+1))
}

// tick finds silent members and starts the attempts that are due.
func (n *Node) tick() {
	n.checkPause()
	n.lastTick.Store(int64(n.Clock.Now().Sub(n.started)))
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	linked := map[string]bool{n.Address: true}
	for _, m := range n.members {
		if m.State == Up && now.Sub(m.heard) > silenceLimit {
			if m.session != nil {
				m.session.closeAll()
				m.lost = now
			}
			n.setState(m, Silent, "no heartbeat")
		}
		linked[m.address] = true
		n.dialMember(m, now)
	}
	for address, d := range n.seeds {
		if m := n.members[d.entry]; m != nil && m.session != nil {
			continue // linked under another address
		}
		if !linked[address] && !d.dialing && !now.Before(d.due) {
			d.dialing = true
			go n.dialSeed(address, d)
		}
	}
}

func (n *Node) dialMember(m *member, now time.Time) {
	if (m.session != nil && !m.session.ended()) || m.dialing || m.address == "" || now.Before(m.due) || n.ctx.Err() != nil {
		return
	}
	m.dialing = true
	if n.ID > m.ID && now.Sub(m.lost) < otherSideDelay {
		go n.probe(m, m.address)
		return
	}
	go n.dial(m, m.address)
}

// dial tries to link with a member, and again at once after a link has ended.
func (n *Node) dial(m *member, address string) {
	s, err := n.dialLink(n.ctx, address)
	if err == nil {
		n.dialed(s)
	}
	n.attempted(m, err)
}

// probe finds out whether a member's process is gone, without making a link that the other side is to make.
func (n *Node) probe(m *member, address string) {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	n.attempted(m, err)
}

func (n *Node) attempted(m *member, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.dialing = false
	m.delay(n.Clock.Now())
	linked := m.session != nil && !m.session.ended()
	if errors.Is(err, syscall.ECONNREFUSED) && !linked {
		n.setState(m, Gone, "connection refused")
	}
}

func (n *Node) dialSeed(address string, d *dialState) {
	s, err := n.dialLink(n.ctx, address)
	n.mu.Lock()
	d.dialing = false
	d.delay(n.Clock.Now())
	var refused *refusedError
	if errors.As(err, &refused) && refused.reason == ownAddress {
		delete(n.seeds, address)
	}
	if err == nil {
		d.entry = s.remote.ID
	}
	n.mu.Unlock()
	if err == nil {
		n.dialed(s)
	}
}

// dialed takes a session into use that the other side has accepted.
func (n *Node) dialed(s *session) {
	reason := n.attach(s)
	if reason == staleProcess {
		// The other side has to learn that it needs a new incarnation.
		if data, err := wire.Encode(verdict{Refusal: reason}); err == nil {
			_ = s.writeFrame(n.ctx, [][]byte{data}) // it is told again at the next attempt
		}
	}
	if reason != accepted {
		s.close()
		return
	}
	go n.serve(s)
}

// checkPause finds out whether this process did not run for longer than the
// silence limit. Then whatever it believes and whatever waits in its
// connections may be old: every link is replaced before anything is acted on.
func (n *Node) checkPause() {
	if n.sinceTick() <= silenceLimit {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pause := n.sinceTick()
	if pause <= silenceLimit {
		return // found by another goroutine, which has published the new view by now
	}
	n.lastTick.Store(int64(n.Clock.Now().Sub(n.started)))
	n.Logger.Warn("this process was paused; its view is stale", "pause", pause.String())
	for _, m := range n.members {
		if m.session != nil {
			m.session.closeAll()
		}
		m.reset()
		if m.State == Up {
			m.State = Silent
		}
	}
	n.publish()
}

// sinceTick returns how long ago the last tick was; zero before Run.
func (n *Node) sinceTick() time.Duration {
	last := n.lastTick.Load()
	if last == 0 {
		return 0
	}
	return n.Clock.Now().Sub(n.started) - time.Duration(last)
}

// renew takes a new incarnation after another entry has declared the given one gone.
func (n *Node) renew(old uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != old {
		return
	}
	n.incarnation = max(uint64(n.Clock.Now().UnixNano()), old+1)
	n.Logger.Warn("another entry had declared this process gone; it continues under a new incarnation")
	for _, m := range n.members {
		if m.session != nil {
			m.session.closeAll()
		}
		m.reset()
	}
	n.publish()
}

func (n *Node) presentIncarnation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// encodeKnown returns the message with all members that are not gone. The caller holds Node.mu.
func (n *Node) encodeKnown() []byte {
	k := known{Members: []knownMember{{ID: n.ID, Zone: n.Zone, Incarnation: n.incarnation, Address: n.Address}}}
	for _, m := range n.members {
		if m.State != Gone && m.address != "" {
			k.Members = append(k.Members, knownMember{ID: m.ID, Zone: m.Zone, Incarnation: m.Incarnation, Address: m.address})
		}
	}
	data, err := wire.Encode(k)
	if err != nil {
		n.Logger.Error("encode the known members", "error", err)
		return nil
	}
	return data
}
