package peer

import (
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	// unlistedTimeout is how long an entry that was never on the live list may be silent before it counts as gone. The
	// live list is updated with a delay.
	unlistedTimeout = time.Minute
	// goneRetention is how long a gone incarnation is remembered, so that it is not accepted again.
	goneRetention = 30 * time.Minute
)

// member is what this process knows about another entry. It is guarded by Node.mu.
type member struct {
	Member
	dialState
	address    string
	listed     bool // on the last live list that was read
	everListed bool
	session    *session
	lastHeard  time.Time  // when the last frame arrived, or else when the entry became known
	deliveryMu sync.Mutex // see session.deliveryMu; not guarded by Node.mu
}

// publishLocked builds a new view from the members. The caller holds Node.mu, or the node is not yet shared.
func (n *Node) publishLocked() {
	v := &View{Version: 1, Members: make(map[ident.EntryID]Member, len(n.members)+1)}
	if old := n.view.Load(); old != nil {
		v.Version = old.Version + 1
	}
	for id, m := range n.members {
		v.Members[id] = m.Member
	}
	v.Members[n.ID] = Member{ID: n.ID, Zone: n.Zone, State: Up, Incarnation: n.incarnation}
	n.view.Store(v)
	n.views = append(n.views, v)
	select {
	case n.viewsChanged <- struct{}{}:
	default:
	}
}

// setStateLocked changes a member's state. The caller holds Node.mu.
func (n *Node) setStateLocked(m *member, s State, why string) {
	if m.State == s {
		return
	}
	n.Logger.Info("peer state changed", "peer", m.ID, "from", m.State, "to", s, "reason", why)
	m.State = s
	n.publishLocked()
}

// attach makes a session the link with its entry, or returns the reason for refusing it.
// Both sides apply the same rule, so that they keep the same one of two links:
// a link dialed by the entry with the lower id replaces any other, and a link dialed by the
// entry with the higher id does not replace it.
func (n *Node) attach(s *session) refusalReason {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.members[s.remote.ID]
	if m == nil {
		m = n.addMemberLocked(s.remote.ID)
	}
	if m.State == Gone && m.Incarnation == s.remote.Incarnation {
		return staleIncarnation
	}
	if old := m.session; old != nil && !old.ended() {
		if n.preferred(old) && !n.preferred(s) && old.remote.Incarnation == s.remote.Incarnation {
			if s.dialedBySelf { // the other side has accepted it before the present one
				m.attachSuperseded(s)
			}
			return duplicateLink
		}
		if old.remote.Incarnation == s.remote.Incarnation && m.State == Up {
			s.replaced = old // both sides dialed at the same time; messages queued on the old session are still delivered
			old.supersede()
		} else {
			old.closeWithReplaced()
		}
	}
	changed := m.Incarnation != s.remote.Incarnation || m.Zone != s.remote.Zone || m.State != Up
	m.session, m.lastHeard = s, n.Clock.Now()
	s.deliveryMu = &m.deliveryMu
	if !s.dialedBySelf {
		s.dial = n.dials[s.remote.Address]
	}
	m.Incarnation, m.Zone, m.State = s.remote.Incarnation, s.remote.Zone, Up
	if !m.listed {
		m.address = s.remote.Address
	}
	m.resetBackoff()
	n.membersKnown.Store(true)
	delete(n.loggedRefusals, string(m.ID))
	n.Logger.Info("peer link up", "peer", m.ID, "dialed_by_us", s.dialedBySelf)
	if changed {
		n.publishLocked()
		n.broadcastKnownLocked()
		return accepted
	}
	n.sendKnownLocked(s)
	return accepted
}

// attachSuperseded makes a session that loses to the member's present one deliver what the other side has queued on it,
// before the messages of the present one. If these are being delivered already, the session is closed, since the order
// would be lost. The caller holds Node.mu.
func (m *member) attachSuperseded(s *session) {
	if m.session.delivering {
		s.close()
		return
	}
	s.deliveryMu, s.replaced, m.session.replaced = &m.deliveryMu, m.session.replaced, s
	s.supersede()
}

// preferred reports whether the session was dialed by the entry with the lower id.
func (n *Node) preferred(s *session) bool { return s.dialedBySelf == (n.ID < s.remote.ID) }

func (n *Node) addMemberLocked(id ident.EntryID) *member {
	m := &member{Member: Member{ID: id, State: Silent}, lastHeard: n.Clock.Now()}
	n.members[id] = m
	return m
}

// detach removes a session that has ended. The member keeps its state until it
// refuses a connection or is silent for too long. The next dial attempt starts at once if it is due.
func (n *Node) detach(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[s.remote.ID]; m != nil && m.session == s {
		m.session = nil
		m.linkLost = n.Clock.Now()
		n.dialMemberLocked(m, m.linkLost)
	}
}

// recordHeard records that a frame has arrived on the session.
func (n *Node) recordHeard(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[s.remote.ID]; m != nil && m.session == s && !s.ended() {
		m.lastHeard = n.Clock.Now()
	}
}

// sendKnownLocked sends the known members to one peer. The caller holds Node.mu.
func (n *Node) sendKnownLocked(s *session) {
	if data := n.encodeKnownLocked(); data != nil {
		_ = s.push(data) // on failure the members are sent at the next change or link
	}
}

func (n *Node) broadcastKnownLocked() {
	data := n.encodeKnownLocked()
	for _, m := range n.members {
		if m.session != nil && data != nil {
			_ = m.session.push(data) // on failure the members are sent at the next change or link
		}
	}
}

// mergeKnown adds the entries that a peer knows. They start as Silent, since only a link or the live list shows whether
// they are up or gone.
func (n *Node) mergeKnown(k knownMembers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for _, o := range k.Members {
		if o.ID == n.ID || o.ID == "" {
			continue
		}
		m := n.members[o.ID]
		if m == nil {
			m = n.addMemberLocked(o.ID)
			m.Zone, m.address, changed = o.Zone, o.Address, true
		}
		if m.Incarnation < o.Incarnation && m.State != Up {
			m.Incarnation, changed = o.Incarnation, true
			if m.State == Gone {
				m.State, m.lastHeard = Silent, n.Clock.Now()
			}
		}
		if m.address == "" {
			m.address = o.Address
		}
	}
	if changed {
		n.publishLocked()
	}
}

// applyList updates the members from the entries on the platform's live list.
func (n *Node) applyList(listed []plat.ListedVM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	onList := make(map[ident.EntryID]bool, len(listed))
	changed := false
	for _, l := range listed {
		id := ident.EntryID(l.ID)
		onList[id] = true
		if id == n.ID {
			continue
		}
		m := n.members[id]
		if m == nil {
			m = n.addMemberLocked(id)
			changed = true
		}
		m.listed, m.everListed = true, true
		if l.Address != "" && l.Address != m.address {
			m.address = l.Address
			m.resetBackoff()
		}
		if m.Zone == "" {
			m.Zone = l.Zone
			changed = true
		}
	}
	for id, m := range n.members {
		m.listed = onList[id]
		changed = n.handleUnlisted(m, now) || changed
	}
	if changed {
		n.publishLocked()
	}
}

// handleUnlisted updates a member that is not on the live list just read, and reports whether it changed or was
// deleted. A new entry may not be on the list yet; one that was on it earlier has been removed.
func (n *Node) handleUnlisted(m *member, now time.Time) bool {
	if m.listed || m.State == Up {
		return false
	}
	silence := now.Sub(m.lastHeard)
	switch {
	case m.State == Gone && silence > goneRetention:
		delete(n.members, m.ID)
		return true
	case m.State == Silent && (m.everListed || silence > unlistedTimeout):
		n.Logger.Info("peer is not on the live list; marked as gone", "peer", m.ID)
		m.State = Gone
		return true
	}
	return false
}
