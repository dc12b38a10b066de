package broker

import (
	"fmt"
	"maps"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// MaxRequest is the longest time that a request may run.
	MaxRequest = 30 * time.Second
	// useLease is how long an entry may use a permit after it sent the message that renewed it.
	useLease = 2 * time.Second
	// keepLease is how long the broker keeps a permit's slot after that message arrived. It exceeds useLease
	// by a quarter, for clocks that run at different rates.
	keepLease = 2500 * time.Millisecond
	// contactLease is how long a stamp shows that an entry is registered, on the broker's clock.
	contactLease = 2 * time.Second
	// commitLease is how long the entry assumes so after it received the stamp.
	commitLease = 2500 * time.Millisecond
	// shrinkTime is the time after which other brokers grant no more than their share: one lease until they notice
	// that the entry has left, one for permits that are not renewed.
	shrinkTime = 2*keepLease + time.Second
	// settleTime is the time after which the requests that began before have ended too.
	settleTime = shrinkTime + MaxRequest
)

// Effect is something that the host of a Core has to do.
type Effect interface{ isEffect() }

// Send is the effect of sending a message.
type Send struct {
	To  ident.EntryID
	Msg wire.Message
}

// ProbeStatus is the effect of asking a target how many requests it runs; the answer goes to Core.HandleStatus.
type ProbeStatus struct {
	VM      ident.VMID
	Address string
}

// ProbeHealth is the effect of asking a target for its health; the answer goes to Core.HandleHealth.
type ProbeHealth struct {
	VM      ident.VMID
	Address string
}

// VMDrained is the effect of reporting that no work is left on a draining VM.
type VMDrained struct {
	VM    ident.VMID
	Epoch ident.Epoch
}

func (Send) isEffect()        {}
func (ProbeStatus) isEffect() {}
func (ProbeHealth) isEffect() {}
func (VMDrained) isEffect()   {}

// Target is what a snapshot says about a VM of the core's pool and zone.
type Target struct {
	ID       ident.VMID
	Address  string
	Epoch    ident.Epoch
	Slots    ident.Slots
	Serving  bool
	Draining bool
}

// Core is the broker of one pool in one zone. It does no I/O and reads no clock; each event carries its time,
// and Effects returns what is to be done. It is not safe for concurrent use.
type Core struct {
	pool ident.PoolID
	zone ident.ZoneID
	self ident.EntryID
	term ident.Term
	base time.Time // origin of the stamps

	members map[ident.EntryID]bool // entries of the zone that are not Gone
	foreign []ident.EntryID        // entries of other zones that are not Gone
	holders map[ident.EntryID]*holder
	targets map[ident.VMID]*target
	jobs    map[string]*job
	offset  ident.Offset // fleet offset of the snapshot

	full        bool      // every member is registered
	fullSince   time.Time // start of the present full period
	unaccounted bool      // the next full period starts with slots whose use is not known
	// Entries of other zones may use permits of the previous broker until they have registered here or foreignUntil.
	foreignUntil time.Time
	foreignKnown time.Time // when that ended; zero before
	lastID       uint64
	seq          uint64
	meanRun      time.Duration
	lastRecall   time.Time
	out          []Effect
}

// NewCore returns the core of a new term, without targets and members.
func NewCore(pool ident.PoolID, zone ident.ZoneID, self ident.EntryID, term ident.Term, now time.Time) *Core {
	return &Core{
		pool: pool, zone: zone, self: self, term: term, base: now.Add(-time.Nanosecond), unaccounted: true,
		members: map[ident.EntryID]bool{}, holders: map[ident.EntryID]*holder{},
		targets: map[ident.VMID]*target{}, jobs: map[string]*job{}, meanRun: 50 * time.Millisecond,
	}
}

// holder is an entry that holds permits or did so lately.
type holder struct {
	id         ident.EntryID
	process    uint64
	session    uint64
	seq        uint64 // newest Demand.Seq
	sent       int64  // its Demand.SentAt
	registered bool
	killed     bool      // its process has ended
	since      time.Time // registered without interruption since
	stamp      time.Time // newest stamp that the entry repeated
	heard      time.Time // arrival of the newest message
	fleet      ident.Offset
	local      bool // entry of the core's zone
	demand     Demand
	busy       int
	permits    map[PermitID]*permit
	allow      map[ident.VMID]int // slots held at registration
	keep       int
	quota      int
	changed    bool // a Grant is due
}

// permit is a slot that an entry uses or may use.
type permit struct {
	id     PermitID
	target *target
	holder *holder
	since  uint64 // Seq of the first Grant that contained it
	old    bool   // granted by another term; ends with its request
	busy   bool
	recall bool
	// The holder has lost its registration: the permit is not usable from lostFrom on, and its request has ended by lostUntil.
	lostFrom, lostUntil time.Time
}

type target struct {
	Target
	permits map[PermitID]*permit
	// unknown counts slots that may be used by requests of dead entries.
	// Reports taken after residualFrom limit it; it ends at residualUntil.
	unknown       int
	residualFrom  time.Time
	residualUntil time.Time
	lastProbe     time.Time
	probing       bool
	quiet         time.Time // until then no request is started, so that a report shows the residual alone
	nextQuiet     time.Time
	// A report taken then showed no more requests than the share of the entries that are not registered.
	// It is zero while all are.
	shrunk      time.Time
	drainOffset ident.Offset
	lastDrained time.Time
	health      health
}

// Effects returns the effects since the last call.
func (c *Core) Effects() []Effect {
	out := c.out
	c.out = nil
	return out
}

// Term returns the term of the core.
func (c *Core) Term() ident.Term { return c.term }

// SetTargets replaces what is known of the targets; offset is the fleet offset of the snapshot.
func (c *Core) SetTargets(now time.Time, offset ident.Offset, list []Target) {
	c.offset = max(c.offset, offset)
	present := map[ident.VMID]bool{}
	for _, info := range list {
		present[info.ID] = true
		t := c.target(info.ID)
		if t.Slots == 0 && info.Slots > 0 {
			c.newTarget(now, t, int(info.Slots))
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

// newTarget reserves the slots of a target that the snapshot names for the first time: a previous broker with
// a later snapshot may have granted them.
func (c *Core) newTarget(now time.Time, t *target, slots int) {
	if !c.full {
		c.unaccounted = true
		return
	}
	c.addUnknown(t, slots-len(t.permits), now)
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

// SetMembers replaces the entries of the zone and of other zones that are not Gone; gone lists those that are.
func (c *Core) SetMembers(now time.Time, zone, foreign, gone []ident.EntryID) {
	members := map[ident.EntryID]bool{}
	for _, id := range zone {
		members[id] = true
	}
	c.foreign = foreign
	for id := range c.members {
		if !members[id] {
			c.kill(now, id)
		}
	}
	for _, id := range gone {
		if c.holders[id] != nil {
			c.kill(now, id)
		}
	}
	c.members = members
	for id, h := range c.holders {
		h.local = members[id]
	}
	c.step(now)
}

// kill records that an entry has ended. Its requests may still run.
func (c *Core) kill(now time.Time, id ident.EntryID) {
	h := c.holders[id]
	if h != nil && h.killed {
		return
	}
	if h == nil || !h.registered {
		c.unaccounted = true // it may have been registered with another broker
	}
	if h == nil {
		return
	}
	for _, p := range h.permits {
		c.drop(p)
		c.addUnknown(p.target, 1, now)
	}
	// The record stays for a while: a late message of the dead entry lists as idle what it used in the end.
	h.registered, h.killed, h.allow, h.heard = false, true, nil, now
}

func (c *Core) addUnknown(t *target, n int, now time.Time) {
	if n <= 0 {
		return
	}
	t.unknown += n
	t.residualFrom = later(t.residualFrom, now)
	t.residualUntil = later(t.residualUntil, now.Add(keepLease+MaxRequest))
}

// drop takes a permit out of the tables.
func (c *Core) drop(p *permit) {
	delete(p.target.permits, p.id)
	delete(p.holder.permits, p.id)
}

// HandleDemand handles a message of an entry.
func (c *Core) HandleDemand(now time.Time, from ident.EntryID, m Demand) {
	c.expire(now)
	stamp := c.base.Add(time.Duration(m.Stamp))
	fresh := m.Stamp > 0 && !stamp.After(now) && now.Before(stamp.Add(contactLease))
	h := c.holders[from]
	if h != nil && h.process == m.Process && m.Seq <= h.seq {
		return // a late message
	}
	if m.Deregister {
		c.leave(now, h, from, m)
		return
	}
	same := h != nil && h.process == m.Process
	// A session ends with its registration; the entry needs a later one to register again.
	ended := same && (m.Session < h.session || (m.Session == h.session && !h.registered))
	if m.Term != c.term || !fresh || ended {
		c.hello(now, from, m, ended)
		return
	}
	if !same || m.Session > h.session {
		h = c.register(now, from, m)
	}
	h.seq, h.sent, h.stamp, h.heard, h.fleet, h.demand = m.Seq, m.SentAt, stamp, now, m.FleetOffset, m
	c.update(now, h, m)
	h.changed = true
	c.step(now)
}

// hello asks an entry to register; its stamp makes the next message count.
func (c *Core) hello(now time.Time, to ident.EntryID, m Demand, ended bool) {
	c.seq++
	c.out = append(c.out, Send{To: to, Msg: Grant{
		Pool: c.pool, Zone: c.zone, Term: c.term, Session: m.Session, Seq: c.seq, Stamp: c.stampAt(now), SessionEnded: ended,
	}})
}

func (c *Core) stampAt(now time.Time) int64 { return int64(now.Sub(c.base)) }

// leave ends a registration; the entry's slots stay its own, since it takes them along to the next broker.
func (c *Core) leave(now time.Time, h *holder, from ident.EntryID, m Demand) {
	if h == nil { // the record makes earlier messages that arrive later count as late
		h = &holder{id: from, process: m.Process, heard: now, permits: map[PermitID]*permit{}}
		c.holders[from] = h
	}
	if h.process == m.Process {
		h.seq, h.session = m.Seq, m.Session
		c.lapse(h)
	}
	c.seq++
	c.out = append(c.out, Send{To: from, Msg: Grant{
		Pool: c.pool, Zone: c.zone, Term: c.term, Session: m.Session, Seq: c.seq, Deregistered: true,
	}})
	c.step(now)
}

func (c *Core) register(now time.Time, from ident.EntryID, m Demand) *holder {
	if old := c.holders[from]; old != nil {
		if old.process != m.Process {
			c.kill(now, from)
		} else {
			for _, p := range old.permits {
				c.drop(p) // the message lists what is still in use
			}
		}
	}
	if m.Previous != c.name() {
		c.unaccounted = true
	}
	h := &holder{
		id: from, process: m.Process, session: m.Session, registered: true, since: now, local: c.members[from],
		permits: map[PermitID]*permit{}, allow: map[ident.VMID]int{},
	}
	c.holders[from] = h
	for _, x := range m.Held {
		if x.Abandoned {
			c.addUnknown(c.target(x.Target), 1, now)
		} else {
			h.allow[x.Target]++
		}
	}
	return h
}

// name identifies this core among all brokers and terms.
func (c *Core) name() string { return fmt.Sprintf("%s/%d", c.self, c.term) }

// update brings the table in line with what the entry holds.
func (c *Core) update(now time.Time, h *holder, m Demand) {
	listed := map[PermitID]bool{}
	h.busy = 0
	for _, x := range m.Held {
		p := h.permits[x.ID]
		switch {
		case x.Abandoned && p != nil:
			c.drop(p)
			c.addUnknown(p.target, 1, now)
			continue
		case x.Abandoned:
			continue
		case p == nil && x.InUse:
			p = &permit{id: x.ID, target: c.target(x.Target), holder: h, old: true}
			p.target.permits[x.ID], h.permits[x.ID] = p, p
		}
		if p != nil {
			listed[x.ID] = true
			p.busy = x.InUse
		}
		if x.InUse {
			h.busy++
		}
	}
	for id, p := range maps.Clone(h.permits) {
		if !listed[id] && p.since <= m.SeenSeq {
			c.drop(p)
		}
	}
	for _, o := range m.Outcomes {
		c.outcome(now, o)
	}
}

// Tick lets time pass; call it a few times a second.
func (c *Core) Tick(now time.Time) { c.step(now) }

// step applies what follows from the time and the present state.
func (c *Core) step(now time.Time) {
	c.expire(now)
	c.refreshFull(now)
	c.refreshForeign(now)
	c.probe(now)
	c.judge(now)
	c.recallTargets(now)
	c.rebalance(now)
	c.reportDrained(now)
	c.flush(now)
}

// expire ends registrations and reservations whose time has passed. It runs before any grant, so that a
// broker that was paused does not act on what it knew before.
func (c *Core) expire(now time.Time) {
	for id, h := range c.holders {
		if h.registered && !now.Before(h.stamp.Add(contactLease)) {
			c.lapse(h)
		}
		for _, p := range h.permits {
			if !p.lostUntil.IsZero() && !now.Before(p.lostUntil) {
				c.drop(p)
			}
		}
		if !h.registered && len(h.permits) == 0 && now.After(h.heard.Add(settleTime)) {
			delete(c.holders, id)
		}
	}
	for _, t := range c.targets {
		if t.unknown > 0 && !now.Before(t.residualUntil) {
			t.unknown = 0
		}
	}
	c.refreshFull(now)
}

// lapse ends a registration. The entry may use its permits until they expire on its clock.
func (c *Core) lapse(h *holder) {
	if !h.registered {
		return
	}
	h.registered = false
	h.allow = nil
	for _, p := range h.permits {
		p.lostFrom = h.heard.Add(keepLease)
		p.lostUntil = p.lostFrom.Add(MaxRequest)
	}
}

func (h *holder) heldOn(t *target) int {
	n := 0
	for _, p := range h.permits {
		if p.target == t {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
