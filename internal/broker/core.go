package broker

import (
	"fmt"
	"maps"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// MaxRequestDuration is the longest time that a request may run.
	MaxRequestDuration = 30 * time.Second
	// useLease is how long an entry may use a permit after it sent the message that renewed it.
	useLease = 2 * time.Second
	// reserveLease is how long the broker reserves a permit's slot after that message arrived. It exceeds useLease
	// by a quarter because the two clocks may run at different rates.
	reserveLease = 2500 * time.Millisecond
	// registrationLease is how long an entry counts as registered after the broker issued the newest stamp that the
	// entry has repeated, on the broker's clock.
	registrationLease = 2 * time.Second
	// switchDelay is how long an entry assumes that it is registered after it received the newest stamp, on its own
	// clock. Only then does it register with another broker without the present one's consent.
	switchDelay = 2500 * time.Millisecond
	// shrinkTime is the time after an entry's registration from which on other brokers grant no more than the share
	// of the entries that remain with them: one lease passes until they notice that the entry has left, and one
	// until the permits that are not renewed have expired.
	shrinkTime = 2*reserveLease + time.Second
	// settleTime is the time after which the requests that began before the end of shrinkTime have ended too.
	settleTime = shrinkTime + MaxRequestDuration
)

// Effect is an action that the caller of a Core has to carry out.
type Effect interface{ isEffect() }

// Send is the effect of sending a message.
type Send struct {
	To  ident.EntryID
	Msg wire.Message
}

// ProbeStatus is the effect of asking a target how many requests it runs; the result goes to Core.HandleStatus.
type ProbeStatus struct {
	VM      ident.VMID
	Address string
}

// ProbeHealth is the effect of asking a target for its health; the result goes to Core.HandleHealth.
type ProbeHealth struct {
	VM      ident.VMID
	Address string
}

// VMDrained is the effect of reporting that no request can run on a draining VM any more.
type VMDrained struct {
	VM    ident.VMID
	Epoch ident.Epoch
}

func (Send) isEffect()        {}
func (ProbeStatus) isEffect() {}
func (ProbeHealth) isEffect() {}
func (VMDrained) isEffect()   {}

// Target is the state of one VM of the core's pool and zone in a snapshot.
type Target struct {
	ID       ident.VMID
	Address  string
	Epoch    ident.Epoch
	Slots    ident.Slots
	Serving  bool
	Draining bool
}

// Core is the state machine of the broker of one pool in one zone. It does no I/O and reads no clock: each event
// carries its time, and Effects returns the actions to carry out. It is not safe for concurrent use.
type Core struct {
	pool        ident.PoolID
	zone        ident.ZoneID
	self        ident.EntryID
	term        ident.Term
	stampOrigin time.Time // stamps count nanoseconds since this time

	members     map[ident.EntryID]bool // entries of the zone that are not Gone
	remote      []ident.EntryID        // entries of other zones that are not Gone
	holders     map[ident.EntryID]*holder
	targets     map[ident.VMID]*target
	jobs        map[string]*job
	fleetOffset ident.Offset // fleet offset of the snapshot

	allRegistered bool // every member is registered
	// Slots that no registered entry holds may be in use; they are reserved when all members are next registered.
	reservationDue bool
	// Entries of other zones may use permits of the previous broker until they have registered here, and at most
	// until remoteDeadline.
	remoteDeadline time.Time
	remoteKnownAt  time.Time // when the use of such permits became known or impossible; zero before
	lastPermitID   uint64
	seq            uint64
	meanDuration   time.Duration
	lastRecall     time.Time
	effects        []Effect
}

// NewCore returns the core of a new term, without targets and members.
func NewCore(pool ident.PoolID, zone ident.ZoneID, self ident.EntryID, term ident.Term, now time.Time) *Core {
	return &Core{
		pool: pool, zone: zone, self: self, term: term, stampOrigin: now.Add(-time.Nanosecond), reservationDue: true,
		members: map[ident.EntryID]bool{}, holders: map[ident.EntryID]*holder{},
		targets: map[ident.VMID]*target{}, jobs: map[string]*job{}, meanDuration: 50 * time.Millisecond,
	}
}

// holder is the record of an entry that holds permits or has lately held some.
type holder struct {
	id                 ident.EntryID
	process            uint64
	session            uint64
	seq                uint64 // newest Demand.Seq
	sentAt             int64  // its Demand.SentAt
	registered         bool
	gone               bool      // its process has ended
	registeredAt       time.Time // start of the uninterrupted registration
	echoedStamp        time.Time // newest stamp that the entry repeated
	lastHeard          time.Time // arrival of the newest message
	fleetOffset        ident.Offset
	local              bool // entry of the core's zone
	demand             Demand
	inUse              int
	permits            map[PermitID]*permit
	heldAtRegistration map[ident.VMID]int // number of slots by target; nil while all members are registered
	maxPermits         int
	quota              int
	grantDue           bool // a Grant is to be sent
}

// permit is a slot that an entry uses or may use.
type permit struct {
	id        PermitID
	target    *target
	holder    *holder
	sinceSeq  uint64 // Seq of the first Grant that contained it
	otherTerm bool   // granted by a broker or term before this one; it ends with its request
	inUse     bool
	recalled  bool
	// Set once the holder's registration has ended: the permit is unusable from unusableFrom on, and its request has
	// ended by reservedUntil.
	unusableFrom, reservedUntil time.Time
}

type target struct {
	Target
	permits map[PermitID]*permit
	// unknownUse counts slots that may be in use by requests which no permit in permits accounts for, such as those
	// of dead entries. Status reports taken from unknownFrom on limit it, and it becomes 0 at unknownUntil.
	unknownUse      int
	unknownFrom     time.Time
	unknownUntil    time.Time
	lastStatusProbe time.Time
	statusPending   bool
	pausedUntil     time.Time // no request is started before this time, so that a report counts only those that occupy reserved slots
	nextPause       time.Time
	// A status report taken at withinShareAt showed no more requests than the share of the entries that are not
	// registered. It is zero while all are registered.
	withinShareAt   time.Time
	drainOffset     ident.Offset
	lastDrainReport time.Time
	health          health
}

// Effects returns the effects that arose since the last call.
func (c *Core) Effects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

// Term returns the term of the core.
func (c *Core) Term() ident.Term { return c.term }

// SetTargets replaces the list of targets; offset is the fleet offset of the snapshot it comes from.
func (c *Core) SetTargets(now time.Time, offset ident.Offset, list []Target) {
	c.fleetOffset = max(c.fleetOffset, offset)
	present := map[ident.VMID]bool{}
	for _, info := range list {
		present[info.ID] = true
		t := c.target(info.ID)
		if t.Slots == 0 && info.Slots > 0 {
			c.reserveNewTarget(now, t, int(info.Slots))
		}
		if info.Draining && !t.Draining {
			t.drainOffset = offset
		}
		t.Target = info
	}
	for id, t := range c.targets {
		if present[id] {
			continue
		}
		t.Slots, t.Serving, t.Draining = 0, false, false
		if len(t.permits) == 0 {
			delete(c.targets, id)
		}
	}
	c.step(now)
}

// reserveNewTarget reserves the slots of a target that the snapshot names for the first time, because a previous
// broker with a newer snapshot may have granted them.
func (c *Core) reserveNewTarget(now time.Time, t *target, slots int) {
	if !c.allRegistered {
		c.reservationDue = true
		return
	}
	c.reserveUnknown(t, slots-len(t.permits), now)
}

// target returns the record of a target; one that is not in the snapshot has no slots.
func (c *Core) target(id ident.VMID) *target {
	t := c.targets[id]
	if t == nil {
		t = &target{Target: Target{ID: id}, permits: map[PermitID]*permit{}, health: newHealth()}
		c.targets[id] = t
	}
	return t
}

// SetMembers replaces the lists of entries that are not Gone, those of the zone and those of other zones; gone lists
// the entries that are Gone.
func (c *Core) SetMembers(now time.Time, zone, remote, gone []ident.EntryID) {
	members := map[ident.EntryID]bool{}
	for _, id := range zone {
		members[id] = true
	}
	c.remote = remote
	for id := range c.members {
		if !members[id] {
			c.markGone(now, id)
		}
	}
	for _, id := range gone {
		if c.holders[id] != nil {
			c.markGone(now, id)
		}
	}
	c.members = members
	for id, h := range c.holders {
		h.local = members[id]
	}
	c.step(now)
}

// markGone records that an entry's process has ended. Its requests may still run on the targets.
func (c *Core) markGone(now time.Time, id ident.EntryID) {
	h := c.holders[id]
	if h != nil && h.gone {
		return
	}
	if h == nil || !h.registered {
		c.reservationDue = true // it may have been registered with another broker
	}
	if h == nil {
		return
	}
	for _, p := range h.permits {
		c.removePermit(p)
		c.reserveUnknown(p.target, 1, now)
	}
	// The record is kept for a while, so that a late message of the dead entry is recognized: it may list as idle
	// a permit that the entry used afterwards.
	h.registered, h.gone, h.heldAtRegistration, h.lastHeard = false, true, nil, now
}

// reserveUnknown reserves n slots of t for requests that may run without a permit that the core knows.
func (c *Core) reserveUnknown(t *target, n int, now time.Time) {
	if n <= 0 {
		return
	}
	t.unknownUse += n
	t.unknownFrom = latest(t.unknownFrom, now)
	t.unknownUntil = latest(t.unknownUntil, now.Add(reserveLease+MaxRequestDuration))
}

func (c *Core) removePermit(p *permit) {
	delete(p.target.permits, p.id)
	delete(p.holder.permits, p.id)
}

// HandleDemand handles a Demand message of an entry.
func (c *Core) HandleDemand(now time.Time, from ident.EntryID, m Demand) {
	c.expire(now)
	stamp := c.stampOrigin.Add(time.Duration(m.Stamp))
	fresh := m.Stamp > 0 && !stamp.After(now) && now.Before(stamp.Add(registrationLease))
	h := c.holders[from]
	if h != nil && h.process == m.Process && m.Seq <= h.seq {
		return // overtaken by a newer message
	}
	if m.Deregister {
		c.deregister(now, h, from, m)
		return
	}
	same := h != nil && h.process == m.Process
	// A session ends with its registration; the entry needs a newer session to register again.
	ended := same && (m.Session < h.session || (m.Session == h.session && !h.registered))
	if m.Term != c.term || !fresh || ended {
		c.inviteRegistration(now, from, m, ended)
		return
	}
	if !same || m.Session > h.session {
		h = c.register(now, from, m)
	}
	h.seq, h.sentAt, h.echoedStamp, h.lastHeard, h.fleetOffset, h.demand = m.Seq, m.SentAt, stamp, now, m.FleetOffset, m
	c.applyDemand(now, h, m)
	h.grantDue = true
	c.step(now)
}

// inviteRegistration asks an entry to register. It sends a stamp, which the entry repeats in the message that
// registers it.
func (c *Core) inviteRegistration(now time.Time, to ident.EntryID, m Demand, ended bool) {
	c.seq++
	c.effects = append(c.effects, Send{To: to, Msg: Grant{
		Pool: c.pool, Zone: c.zone, Term: c.term, Session: m.Session, Seq: c.seq, Stamp: c.stampAt(now), SessionEnded: ended,
	}})
}

func (c *Core) stampAt(now time.Time) int64 { return int64(now.Sub(c.stampOrigin)) }

// deregister ends a registration at the entry's request. The slots that the entry holds stay reserved, since it
// reports them to its next broker as held.
func (c *Core) deregister(now time.Time, h *holder, from ident.EntryID, m Demand) {
	if h == nil { // without a record, an older message that arrives later would register the entry
		h = &holder{id: from, process: m.Process, lastHeard: now, permits: map[PermitID]*permit{}}
		c.holders[from] = h
	}
	if h.process == m.Process {
		h.seq, h.session = m.Seq, m.Session
		c.endRegistration(h)
	}
	c.seq++
	c.effects = append(c.effects, Send{To: from, Msg: Grant{
		Pool: c.pool, Zone: c.zone, Term: c.term, Session: m.Session, Seq: c.seq, Deregistered: true,
	}})
	c.step(now)
}

// register replaces the record of an entry by one of a new session.
func (c *Core) register(now time.Time, from ident.EntryID, m Demand) *holder {
	if old := c.holders[from]; old != nil {
		if old.process != m.Process {
			c.markGone(now, from)
		} else {
			for _, p := range old.permits {
				c.removePermit(p) // the message lists what is still in use
			}
		}
	}
	if m.Previous != c.brokerTerm() {
		c.reservationDue = true
	}
	h := &holder{
		id: from, process: m.Process, session: m.Session, registered: true, registeredAt: now, local: c.members[from],
		permits: map[PermitID]*permit{}, heldAtRegistration: map[ident.VMID]int{},
	}
	c.holders[from] = h
	for _, held := range m.Held {
		if held.Abandoned {
			c.reserveUnknown(c.target(held.Target), 1, now)
		} else {
			h.heldAtRegistration[held.Target]++
		}
	}
	return h
}

// brokerTerm identifies this core among all brokers and terms.
func (c *Core) brokerTerm() string { return fmt.Sprintf("%s/%d", c.self, c.term) }

// applyDemand updates the permits of h to those that the message lists, and counts its outcomes.
func (c *Core) applyDemand(now time.Time, h *holder, m Demand) {
	listed := map[PermitID]bool{}
	h.inUse = 0
	for _, held := range m.Held {
		p := h.permits[held.ID]
		switch {
		case held.Abandoned && p != nil:
			c.removePermit(p)
			c.reserveUnknown(p.target, 1, now)
			continue
		case held.Abandoned:
			continue
		case p == nil && held.InUse:
			p = &permit{id: held.ID, target: c.target(held.Target), holder: h, otherTerm: true}
			p.target.permits[held.ID], h.permits[held.ID] = p, p
		}
		if p != nil {
			listed[held.ID] = true
			p.inUse = held.InUse
		}
		if held.InUse {
			h.inUse++
		}
	}
	for id, p := range maps.Clone(h.permits) {
		if !listed[id] && p.sinceSeq <= m.SeenSeq {
			c.removePermit(p)
		}
	}
	for _, o := range m.Outcomes {
		c.countOutcome(now, o)
	}
}

// Tick does what is due by time alone; call it a few times a second.
func (c *Core) Tick(now time.Time) { c.step(now) }

// Quiescent reports whether every entry is registered and nothing is granted, demanded, reserved, ejected or draining.
// Then only a message or a snapshot can require an action soon.
func (c *Core) Quiescent() bool {
	if !c.allRegistered {
		return false
	}
	for _, h := range c.holders {
		if len(h.permits) > 0 || h.demand.Urgent+h.demand.Normal+h.demand.Prefetch > 0 {
			return false
		}
	}
	for _, t := range c.targets {
		if t.unknownUse > 0 || t.Draining || t.health.ejected || !t.pausedUntil.IsZero() {
			return false
		}
	}
	return true
}

// step does everything that the present state and time call for; it runs after each event.
func (c *Core) step(now time.Time) {
	c.expire(now)
	c.updateAllRegistered(now)
	c.updateRemoteKnown(now)
	c.sendProbes(now)
	c.ejectFailing(now)
	c.recallExcess(now)
	c.rebalance(now)
	c.reportDrained(now)
	c.sendGrants(now)
}

// expire ends registrations and reservations whose time has passed. It runs before any grant, so that a broker
// whose process was paused does not act on outdated state.
func (c *Core) expire(now time.Time) {
	for id, h := range c.holders {
		if h.registered && !now.Before(h.echoedStamp.Add(registrationLease)) {
			c.endRegistration(h)
		}
		for _, p := range h.permits {
			if !p.reservedUntil.IsZero() && !now.Before(p.reservedUntil) {
				c.removePermit(p)
			}
		}
		if !h.registered && len(h.permits) == 0 && now.After(h.lastHeard.Add(settleTime)) {
			delete(c.holders, id)
		}
	}
	for _, t := range c.targets {
		if t.unknownUse > 0 && !now.Before(t.unknownUntil) {
			t.unknownUse = 0
		}
	}
	c.updateAllRegistered(now)
}

// endRegistration ends a registration. The entry may use its permits until they expire on its own clock.
func (c *Core) endRegistration(h *holder) {
	if !h.registered {
		return
	}
	h.registered = false
	h.heldAtRegistration = nil
	for _, p := range h.permits {
		p.unusableFrom = h.lastHeard.Add(reserveLease)
		p.reservedUntil = p.unusableFrom.Add(MaxRequestDuration)
	}
}

func (h *holder) permitsOn(t *target) int {
	n := 0
	for _, p := range h.permits {
		if p.target == t {
			n++
		}
	}
	return n
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
