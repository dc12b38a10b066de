package peer

import (
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	// unlistedLimit is how long an entry that was never on the live list may be silent; the list lags.
	unlistedLimit = time.Minute
	// forgetAfter is how long a gone incarnation is remembered and not accepted again.
	forgetAfter = 30 * time.Minute
)

// member is what this process knows of another entry; Node.mu guards it.
type member struct {
	Member
	dialState
	address    string
	listed     bool // on the newest live list
	wasListed  bool
	session    *session
	heard      time.Time // when the last frame arrived, or when the entry became known
	deliveries sync.Mutex
}

// publish builds the view from the table. The caller holds Node.mu, or the node is not yet shared.
func (n *Node) publish() {
	v := &View{Number: 1, Members: make(map[ident.EntryID]Member, len(n.members)+1)}
	if old := n.view.Load(); old != nil {
		v.Number = old.Number + 1
	}
	for id, m := range n.members {
		v.Members[id] = m.Member
	}
	v.Members[n.ID] = Member{ID: n.ID, Zone: n.Zone, State: Up, Incarnation: n.incarnation}
	n.view.Store(v)
	n.views = append(n.views, v)
	select {
	case n.viewsWake <- struct{}{}:
	default:
	}
}

// setState changes a member's state. The caller holds Node.mu.
func (n *Node) setState(m *member, s State, why string) {
	if m.State == s {
		return
	}
	n.Logger.Info("peer state changed", "peer", m.ID, "from", m.State, "to", s, "reason", why)
	m.State = s
	n.publish()
}

// attach makes a session the link with its entry, or returns why it may not.
// Both sides apply the same rule, so that they keep the same one of two links:
// a link dialed by the entry with the lower id replaces any other, and no other link replaces it.
func (n *Node) attach(s *session) refusal {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.members[s.remote.ID]
	if m == nil {
		m = n.addMember(s.remote.ID)
	}
	if m.State == Gone && m.Incarnation == s.remote.Incarnation {
		return staleProcess
	}
	if old := m.session; old != nil && !old.ended() {
		if n.designated(old) && !n.designated(s) && old.remote.Incarnation == s.remote.Incarnation {
			return duplicateLink
		}
		if old.remote.Incarnation == s.remote.Incarnation && m.State == Up {
			s.after = old // both were made at once; what is queued on the old one is not lost
			old.retire()
		} else {
			old.closeAll()
		}
	}
	changed := m.Incarnation != s.remote.Incarnation || m.Zone != s.remote.Zone || m.State != Up
	m.session, m.heard = s, n.Clock.Now()
	s.deliveredMu = &m.deliveries
	m.Incarnation, m.Zone, m.State = s.remote.Incarnation, s.remote.Zone, Up
	if !m.listed {
		m.address = s.remote.Address
	}
	m.reset()
	n.informed.Store(true)
	delete(n.complaints, string(m.ID))
	n.Logger.Info("peer link up", "peer", m.ID, "dialed_by_us", s.dialedByUs)
	if changed {
		n.publish()
		n.broadcastKnown()
		return accepted
	}
	n.sendKnown(s)
	return accepted
}

// designated reports whether the session was dialed by the entry with the lower id.
func (n *Node) designated(s *session) bool { return s.dialedByUs == (n.ID < s.remote.ID) }

func (n *Node) addMember(id ident.EntryID) *member {
	m := &member{Member: Member{ID: id, State: Silent}, heard: n.Clock.Now()}
	n.members[id] = m
	return m
}

// detach removes a session that has ended. The member stays as it is until it
// refuses a connection or is silent for too long.
func (n *Node) detach(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[s.remote.ID]; m != nil && m.session == s {
		m.session = nil
		m.lost = n.Clock.Now()
		n.dialMember(m, m.lost)
	}
}

func (n *Node) heard(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[s.remote.ID]; m != nil && m.session == s && !s.ended() {
		m.heard = n.Clock.Now()
	}
}

// sendKnown tells one peer which entries this process knows. The caller holds Node.mu.
func (n *Node) sendKnown(s *session) {
	if data := n.encodeKnown(); data != nil {
		_ = s.push(data) // the next change or link repeats it
	}
}

func (n *Node) broadcastKnown() {
	data := n.encodeKnown()
	for _, m := range n.members {
		if m.session != nil && data != nil {
			_ = m.session.push(data) // the next change or link repeats it
		}
	}
}

// learn adds the entries that a peer knows; only a link or the live list says more about them.
func (n *Node) learn(k known) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for _, o := range k.Members {
		if o.ID == n.ID || o.ID == "" {
			continue
		}
		m := n.members[o.ID]
		if m == nil {
			m = n.addMember(o.ID)
			m.Zone, m.address, changed = o.Zone, o.Address, true
		}
		if m.Incarnation < o.Incarnation && m.State != Up {
			m.Incarnation, changed = o.Incarnation, true
			if m.State == Gone {
				m.State, m.heard = Silent, n.Clock.Now()
			}
		}
		if m.address == "" {
			m.address = o.Address
		}
	}
	if changed {
		n.publish()
	}
}

// applyList takes over the platform's list of entries.
func (n *Node) applyList(listed []plat.ListedVM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	on := make(map[ident.EntryID]bool, len(listed))
	changed := false
	for _, l := range listed {
		id := ident.EntryID(l.ID)
		on[id] = true
		if id == n.ID {
			continue
		}
		m := n.members[id]
		if m == nil {
			m = n.addMember(id)
			changed = true
		}
		m.listed, m.wasListed = true, true
		if l.Address != "" && l.Address != m.address {
			m.address = l.Address
			m.reset()
		}
		if m.Zone == "" {
			m.Zone = l.Zone
			changed = true
		}
	}
	for id, m := range n.members {
		m.listed = on[id]
		changed = n.delist(m, now) || changed
	}
	if changed {
		n.publish()
	}
}

// delist handles a member that is not on a list which was read just now: a new entry is not yet on it, a
// former one is no longer.
func (n *Node) delist(m *member, now time.Time) bool {
	if m.listed || m.State == Up {
		return false
	}
	unheard := now.Sub(m.heard)
	switch {
	case m.State == Gone && unheard > forgetAfter:
		delete(n.members, m.ID)
		return true
	case m.State == Silent && (m.wasListed || unheard > unlistedLimit):
		n.Logger.Info("peer has left the live list", "peer", m.ID)
		m.State = Gone
		return true
	}
	return false
}
