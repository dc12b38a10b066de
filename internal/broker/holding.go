package broker

import (
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	renewEvery   = 400 * time.Millisecond // leaves room for several lost messages within useLease
	idleRenew    = 800 * time.Millisecond // without permits; leaves room for one lost message within contactLease
	helloRepeat  = 100 * time.Millisecond
	idleTime     = 100 * time.Millisecond // after which an entry returns a permit beyond its prefetch
	firstPenalty = 20 * time.Millisecond
	maxPenalty   = time.Second
)

// holding is one entry's side of the permit protocol with the broker of one pool and zone. Like
// Core it does no I/O and reads no clock. It is not safe for concurrent use.
type holding struct {
	pool    ident.PoolID
	zone    ident.ZoneID
	process uint64
	base    time.Time // origin of the sent times

	broker     ident.EntryID // empty before the first one
	previous   string
	term       ident.Term
	session    uint64
	seq        uint64
	seen       uint64
	stamp      int64
	stampAt    time.Time // arrival of the newest stamp
	echoed     bool      // a message that repeats a stamp has been sent
	registered bool
	leaving    bool
	useBy      time.Time // end of the permits' use, unless renewed
	keep       int
	wait       time.Duration
	spare      int
	jobs       map[string]bool // quarantined

	slots    map[PermitID]*slot
	idle     []*slot // most recently used last
	busy     int
	outcomes map[outcomeKey]*Outcome
	lastSent time.Time
	invited  time.Time // when a new broker asked for a registration
	returned bool      // a permit was given back since the last message
	failed   bool      // a failure is not reported yet
}

// renewal is the time between two messages that only renew.
func (l *holding) renewal() time.Duration {
	if len(l.slots) == 0 {
		return idleRenew
	}
	return renewEvery
}

type outcomeKey struct {
	target ident.VMID
	job    string
}

// slot is one permit that the entry holds.
type slot struct {
	id        PermitID
	target    ident.VMID
	address   string
	busy      bool
	recall    bool
	trial     bool   // the broker waits for the result
	old       bool   // granted by a broker or term that is not the present one
	lostSeq   uint64 // first message that listed it as lost
	lost      bool
	idleSince time.Time
	notBefore time.Time // not used earlier, after failures on its target
}

func newHolding(pool ident.PoolID, zone ident.ZoneID, process uint64, now time.Time) *holding {
	return &holding{
		pool: pool, zone: zone, process: process, base: now.Add(-time.Nanosecond), keep: keepAll,
		slots: map[PermitID]*slot{}, outcomes: map[outcomeKey]*Outcome{},
	}
}

// follow makes want the present broker as soon as the former one no longer counts this entry as registered. It
// reports whether a message is due.
func (l *holding) follow(now time.Time, want ident.EntryID, gone func(ident.EntryID) bool) bool {
	if l.broker == want {
		due := l.leaving
		l.leaving = false
		if due {
			l.restart(want) // the former broker may have ended the registration
		}
		return due
	}
	if l.broker != "" && l.echoed && now.Before(l.stampAt.Add(commitLease)) && !gone(l.broker) {
		due := !l.leaving
		l.leaving = true
		return due
	}
	l.restart(want)
	return want != ""
}

// restart begins a registration with a broker. Permits in use go on until their requests end.
func (l *holding) restart(broker ident.EntryID) {
	if l.registered || l.echoed {
		l.previous = fmt.Sprintf("%s/%d", l.broker, l.term)
	}
	if broker != l.broker {
		l.echoed, l.term, l.stamp = false, 0, 0
	}
	l.broker, l.seen, l.registered, l.leaving = broker, 0, false, false
	l.session++
	l.keep = keepAll
	for _, s := range l.slots {
		s.old = true
	}
	l.idle = nil
	l.lastSent = time.Time{}
}

// request is what the waiting requests of a pool need.
type request struct {
	urgent, normal, prefetch int
	earliest                 time.Duration
	avoid                    []ident.VMID
}

// demand returns the next message to the broker.
func (l *holding) demand(now time.Time, r request, fleet ident.Offset) Demand {
	l.seq++
	l.lastSent = now
	l.returned, l.failed = false, false
	l.echoed = l.echoed || l.stamp > 0
	m := Demand{
		Pool: l.pool, Zone: l.zone, Process: l.process, Session: l.session, Seq: l.seq, Term: l.term,
		Previous: l.previous, SentAt: int64(now.Sub(l.base)), Stamp: l.stamp, SeenSeq: l.seen, FleetOffset: fleet, Deregister: l.leaving,
		Urgent: r.urgent, Normal: r.normal, Prefetch: r.prefetch, UntilDeadline: r.earliest, Avoid: r.avoid,
		Held: make([]HeldPermit, 0, len(l.slots)),
	}
	for _, s := range l.slots {
		if s.lost && s.lostSeq == 0 {
			s.lostSeq = l.seq
		}
		m.Held = append(m.Held, HeldPermit{ID: s.id, Target: s.target, InUse: s.busy, Abandoned: s.lost})
	}
	if l.registered {
		for k, o := range l.outcomes {
			m.Outcomes = append(m.Outcomes, *o)
			delete(l.outcomes, k)
		}
	}
	return m
}

// grant handles the broker's message and reports whether an answer is due at once.
func (l *holding) grant(now time.Time, from ident.EntryID, g Grant) bool {
	if from != l.broker || g.Session != l.session {
		return false
	}
	if g.Deregistered {
		if l.leaving {
			l.echoed = false // follow turns to the next broker
		}
		return false
	}
	if !g.Registered {
		return l.hello(now, g)
	}
	if g.Term != l.term || g.Seq <= l.seen {
		return false
	}
	if !l.registered {
		l.registered = true
		l.dropOldIdle()
	}
	l.stampTo(now, g.Stamp)
	l.useBy = l.base.Add(time.Duration(g.EchoSentAt) + useLease)
	l.keep, l.wait, l.spare = g.MaxPermits, g.ExpectedWait, g.FreeSlots
	l.jobs = map[string]bool{}
	for _, name := range g.Quarantined {
		l.jobs[name] = true
	}
	l.sync(now, g)
	l.seen = g.Seq
	return l.returnExcess()
}

// hello takes the term of a broker that asks for a registration.
func (l *holding) hello(now time.Time, g Grant) bool {
	if g.Term < l.term {
		return false // a late message
	}
	if g.SessionEnded || (l.registered && g.Term > l.term) {
		l.restart(l.broker)
	}
	if g.Term > l.term {
		l.term, l.stamp, l.echoed = g.Term, 0, false
	}
	l.stampTo(now, g.Stamp)
	return true
}

func (l *holding) stampTo(now time.Time, stamp int64) {
	if stamp > l.stamp {
		l.stamp, l.stampAt = stamp, now
	}
}

func (l *holding) dropOldIdle() {
	for id, s := range l.slots {
		if s.old && !s.busy && !s.lost {
			delete(l.slots, id)
		}
	}
}

// sync brings the permits in line with the broker's list.
func (l *holding) sync(now time.Time, g Grant) {
	listed := map[PermitID]bool{}
	for _, x := range g.Permits {
		listed[x.ID] = true
		s := l.slots[x.ID]
		if s == nil {
			if x.SinceSeq <= l.seen {
				continue // it was returned; the broker had not yet heard
			}
			s = &slot{id: x.ID, target: x.Target, address: x.Address, idleSince: now}
			l.slots[x.ID] = s
			l.idle = append(l.idle, s)
		}
		s.recall, s.trial = x.Recalled, x.Trial
	}
	for id, s := range l.slots {
		switch {
		case listed[id] || s.old && !s.lost:
		case s.lost && (s.lostSeq == 0 || g.AckedSeq < s.lostSeq):
		case s.busy:
			s.old = true
		default:
			delete(l.slots, id)
			l.removeIdle(s)
		}
	}
}

func (l *holding) removeIdle(s *slot) {
	for i, x := range l.idle {
		if x == s {
			l.idle = append(l.idle[:i], l.idle[i+1:]...)
			return
		}
	}
}

// returnExcess gives back idle permits that are recalled or beyond the number to keep.
func (l *holding) returnExcess() bool {
	due := false
	kept := l.idle[:0]
	for _, s := range l.idle {
		if s.recall || len(l.slots) > l.keep {
			delete(l.slots, s.id)
			due = true
			continue
		}
		kept = append(kept, s)
	}
	l.idle = kept
	l.returned = l.returned || due
	return due
}

// usable reports whether permits of the present broker may be used now.
func (l *holding) usable(now time.Time) bool {
	return l.registered && !l.leaving && now.Before(l.useBy)
}

// take starts the use of an idle permit whose target accept allows, or returns nil.
func (l *holding) take(now time.Time, accept func(ident.VMID) bool) *slot {
	if !l.usable(now) {
		return nil
	}
	for i := len(l.idle) - 1; i >= 0; i-- {
		s := l.idle[i]
		if s.recall || now.Before(s.notBefore) || !accept(s.target) {
			continue
		}
		l.idle = append(l.idle[:i], l.idle[i+1:]...)
		s.busy = true
		l.busy++
		return s
	}
	return nil
}

// put ends the use of a permit. A lost one stays listed until the broker has taken note.
func (l *holding) put(now time.Time, s *slot, lost bool) {
	s.busy = false
	s.idleSince = now
	l.busy--
	l.failed = l.failed || s.trial
	switch {
	case lost:
		s.lost = true
		l.returned = true
	case s.old && l.registered, s.recall, len(l.slots) > l.keep:
		delete(l.slots, s.id)
		l.returned = true
	case s.old:
	default:
		l.idle = append(l.idle, s)
	}
}

// count adds a result to the next message's outcomes.
func (l *holding) count(target ident.VMID, rep Report) {
	if rep.Result == Unused {
		return
	}
	k := outcomeKey{target, rep.Job}
	o := l.outcomes[k]
	if o == nil {
		o = &Outcome{Target: target, Job: rep.Job}
		l.outcomes[k] = o
	}
	switch rep.Result {
	case OK:
		o.OK++
		o.TotalDuration += rep.Duration
		return
	case Failed:
		o.Failed++
	case Refused:
		o.Refused++
	case Unresponsive:
		o.Unresponsive++
	}
	l.failed = true
}

// returnIdle gives back permits beyond reserve that have been idle for idleTime.
func (l *holding) returnIdle(now time.Time, reserve int) {
	for len(l.idle) > reserve && now.Sub(l.idle[0].idleSince) > idleTime {
		delete(l.slots, l.idle[0].id)
		l.idle = l.idle[1:]
		l.returned = true
	}
}

// closeTargets gives back idle permits of targets that must get no new request.
func (l *holding) closeTargets(mayUse func(ident.VMID) bool) {
	kept := l.idle[:0]
	for _, s := range l.idle {
		if mayUse(s.target) {
			kept = append(kept, s)
			continue
		}
		delete(l.slots, s.id)
		l.returned = true
	}
	l.idle = kept
}
