package broker

import (
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	renewInterval     = 400 * time.Millisecond // allows for several lost messages within useLease
	idleRenewInterval = 800 * time.Millisecond // without permits; allows for one lost message within registrationLease
	registerInterval  = 100 * time.Millisecond // between messages until the entry is registered
	maxIdleTime       = 100 * time.Millisecond // after this time an entry returns an idle permit beyond its prefetch
	firstBackoff      = 20 * time.Millisecond  // how long a permit is not used after the second failure in a row on its target
	maxBackoff        = time.Second
)

// zoneClient is one entry's side of the permit protocol with the broker of one pool and zone. Like Core it is a state
// machine that does no I/O and reads no clock. It is not safe for concurrent use.
type zoneClient struct {
	pool       ident.PoolID
	zone       ident.ZoneID
	process    uint64
	sentOrigin time.Time // Demand.SentAt counts nanoseconds since this time

	broker          ident.EntryID // empty until there is one
	previousBroker  string        // see Demand.Previous
	term            ident.Term
	session         uint64
	seq             uint64
	seenSeq         uint64    // newest Grant.Seq that was processed
	brokerStamp     int64     // newest Grant.Stamp
	stampReceivedAt time.Time // arrival of brokerStamp
	stampEchoed     bool      // a message that repeats a stamp has been sent, so the broker may count this entry as registered
	registered      bool
	deregistering   bool
	validUntil      time.Time // no permit is used from this time on, unless it is renewed
	maxPermits      int
	expectedWait    time.Duration
	freeSlots       int
	quarantinedJobs map[string]bool

	permits       map[PermitID]*clientPermit
	idle          []*clientPermit // of the present registration; most recently used last
	inUse         int
	outcomes      map[outcomeKey]*Outcome
	lastSent      time.Time
	invitedAt     time.Time // when a broker of another zone last asked this entry to register
	returnPending bool      // a permit was returned since the last message
	resultPending bool      // a failure or the result of a trial is not reported yet
}

// renewPeriod is the time between two messages that only renew the permits or the registration.
func (z *zoneClient) renewPeriod() time.Duration {
	if len(z.permits) == 0 {
		return idleRenewInterval
	}
	return renewInterval
}

type outcomeKey struct {
	target ident.VMID
	job    string
}

// clientPermit is a permit that the entry holds.
type clientPermit struct {
	id           PermitID
	target       ident.VMID
	address      string
	inUse        bool
	recalled     bool
	trial        bool   // the broker waits for the result
	otherTerm    bool   // not granted by the present broker in its present term and session
	abandonedSeq uint64 // Seq of the first Demand that listed it as abandoned
	abandoned    bool   // its request was given up and may still run
	idleSince    time.Time
	notBefore    time.Time // not used before this time, after failures on its target
}

func newZoneClient(pool ident.PoolID, zone ident.ZoneID, process uint64, now time.Time) *zoneClient {
	return &zoneClient{
		pool: pool, zone: zone, process: process, sentOrigin: now.Add(-time.Nanosecond), maxPermits: noPermitLimit,
		permits: map[PermitID]*clientPermit{}, outcomes: map[outcomeKey]*Outcome{},
	}
}

// switchBroker makes want the present broker as soon as the previous one no longer counts this entry as registered. It
// reports whether a message is to be sent at once.
func (z *zoneClient) switchBroker(now time.Time, want ident.EntryID, gone func(ident.EntryID) bool) bool {
	if z.broker == want {
		due := z.deregistering
		z.deregistering = false
		if due {
			z.startSession(want) // the broker may have ended the registration
		}
		return due
	}
	if z.broker != "" && z.stampEchoed && now.Before(z.stampReceivedAt.Add(switchDelay)) && !gone(z.broker) {
		due := !z.deregistering
		z.deregistering = true
		return due
	}
	z.startSession(want)
	return want != ""
}

// startSession begins a registration with a broker. Permits in use remain until their requests end.
func (z *zoneClient) startSession(broker ident.EntryID) {
	if z.registered || z.stampEchoed {
		z.previousBroker = fmt.Sprintf("%s/%d", z.broker, z.term)
	}
	if broker != z.broker {
		z.stampEchoed, z.term, z.brokerStamp = false, 0, 0
	}
	z.broker, z.seenSeq, z.registered, z.deregistering = broker, 0, false, false
	z.session++
	z.maxPermits = noPermitLimit
	for _, p := range z.permits {
		p.otherTerm = true
	}
	z.idle = nil
	z.lastSent = time.Time{}
}

// poolDemand summarizes what the waiting requests of a pool need; see the fields of Demand.
type poolDemand struct {
	urgent, normal, prefetch int
	untilDeadline            time.Duration
	avoid                    []ident.VMID
}

// nextDemand returns the next message to the broker.
func (z *zoneClient) nextDemand(now time.Time, demand poolDemand, fleet ident.Offset) Demand {
	z.seq++
	z.lastSent = now
	z.returnPending, z.resultPending = false, false
	z.stampEchoed = z.stampEchoed || z.brokerStamp > 0
	m := Demand{
		Pool: z.pool, Zone: z.zone, Process: z.process, Session: z.session, Seq: z.seq, Term: z.term,
		Previous: z.previousBroker, SentAt: int64(now.Sub(z.sentOrigin)), Stamp: z.brokerStamp, SeenSeq: z.seenSeq,
		FleetOffset: fleet, Deregister: z.deregistering,
		Urgent: demand.urgent, Normal: demand.normal, Prefetch: demand.prefetch,
		UntilDeadline: demand.untilDeadline, Avoid: demand.avoid,
		Held: make([]HeldPermit, 0, len(z.permits)),
	}
	for _, p := range z.permits {
		if p.abandoned && p.abandonedSeq == 0 {
			p.abandonedSeq = z.seq
		}
		m.Held = append(m.Held, HeldPermit{ID: p.id, Target: p.target, InUse: p.inUse, Abandoned: p.abandoned})
	}
	if z.registered {
		for k, o := range z.outcomes {
			m.Outcomes = append(m.Outcomes, *o)
			delete(z.outcomes, k)
		}
	}
	return m
}

// handleGrant handles the broker's message and reports whether a message to the broker is to be sent at once.
func (z *zoneClient) handleGrant(now time.Time, from ident.EntryID, g Grant) bool {
	if from != z.broker || g.Session != z.session {
		return false
	}
	if g.Deregistered {
		if z.deregistering {
			z.stampEchoed = false // lets switchBroker continue with the next broker
		}
		return false
	}
	if !g.Registered {
		return z.handleInvitation(now, g)
	}
	if g.Term != z.term || g.Seq <= z.seenSeq {
		return false
	}
	if !z.registered {
		z.registered = true
		z.dropIdleOfOtherTerms()
	}
	z.updateStamp(now, g.Stamp)
	z.validUntil = z.sentOrigin.Add(time.Duration(g.EchoSentAt) + useLease)
	z.maxPermits, z.expectedWait, z.freeSlots = g.MaxPermits, g.ExpectedWait, g.FreeSlots
	z.quarantinedJobs = map[string]bool{}
	for _, name := range g.Quarantined {
		z.quarantinedJobs[name] = true
	}
	z.syncPermits(now, g)
	z.seenSeq = g.Seq
	return z.returnExcess()
}

// handleInvitation takes over the term and stamp of a broker that asks this entry to register. It reports whether a
// message to the broker is to be sent at once.
func (z *zoneClient) handleInvitation(now time.Time, g Grant) bool {
	if g.Term < z.term {
		return false // overtaken by a message of a newer term
	}
	if g.SessionEnded || (z.registered && g.Term > z.term) {
		z.startSession(z.broker)
	}
	if g.Term > z.term {
		z.term, z.brokerStamp, z.stampEchoed = g.Term, 0, false
	}
	z.updateStamp(now, g.Stamp)
	return true
}

func (z *zoneClient) updateStamp(now time.Time, stamp int64) {
	if stamp > z.brokerStamp {
		z.brokerStamp, z.stampReceivedAt = stamp, now
	}
}

func (z *zoneClient) dropIdleOfOtherTerms() {
	for id, p := range z.permits {
		if p.otherTerm && !p.inUse && !p.abandoned {
			delete(z.permits, id)
		}
	}
}

// syncPermits updates the permits to the broker's list.
func (z *zoneClient) syncPermits(now time.Time, g Grant) {
	listed := map[PermitID]bool{}
	for _, granted := range g.Permits {
		listed[granted.ID] = true
		p := z.permits[granted.ID]
		if p == nil {
			if granted.SinceSeq <= z.seenSeq {
				continue // it was returned before the broker sent this message
			}
			p = &clientPermit{id: granted.ID, target: granted.Target, address: granted.Address, idleSince: now}
			z.permits[granted.ID] = p
			z.idle = append(z.idle, p)
		}
		p.recalled, p.trial = granted.Recalled, granted.Trial
	}
	for id, p := range z.permits {
		switch {
		case listed[id] || p.otherTerm && !p.abandoned:
		case p.abandoned && (p.abandonedSeq == 0 || g.AckedSeq < p.abandonedSeq):
		case p.inUse:
			p.otherTerm = true
		default:
			delete(z.permits, id)
			z.removeIdle(p)
		}
	}
}

func (z *zoneClient) removeIdle(p *clientPermit) {
	for i, idle := range z.idle {
		if idle == p {
			z.idle = append(z.idle[:i], z.idle[i+1:]...)
			return
		}
	}
}

// returnExcess returns idle permits that are recalled or exceed maxPermits, and reports whether it returned any.
func (z *zoneClient) returnExcess() bool {
	due := false
	kept := z.idle[:0]
	for _, p := range z.idle {
		if p.recalled || len(z.permits) > z.maxPermits {
			delete(z.permits, p.id)
			due = true
			continue
		}
		kept = append(kept, p)
	}
	z.idle = kept
	z.returnPending = z.returnPending || due
	return due
}

// usable reports whether permits of the present broker may be used now.
func (z *zoneClient) usable(now time.Time) bool {
	return z.registered && !z.deregistering && now.Before(z.validUntil)
}

// take starts the use of an idle permit whose target accept allows, or returns nil.
func (z *zoneClient) take(now time.Time, accept func(ident.VMID) bool) *clientPermit {
	if !z.usable(now) {
		return nil
	}
	for i := len(z.idle) - 1; i >= 0; i-- {
		p := z.idle[i]
		if p.recalled || now.Before(p.notBefore) || !accept(p.target) {
			continue
		}
		z.idle = append(z.idle[:i], z.idle[i+1:]...)
		p.inUse = true
		z.inUse++
		return p
	}
	return nil
}

// put ends the use of a permit. An abandoned permit, whose request may still run, stays listed until the broker has
// acknowledged a message that lists it as abandoned.
func (z *zoneClient) put(now time.Time, p *clientPermit, abandoned bool) {
	p.inUse = false
	p.idleSince = now
	z.inUse--
	z.resultPending = z.resultPending || p.trial
	switch {
	case abandoned:
		p.abandoned = true
		z.returnPending = true
	case p.otherTerm && z.registered, p.recalled, len(z.permits) > z.maxPermits:
		delete(z.permits, p.id)
		z.returnPending = true
	case p.otherTerm:
	default:
		z.idle = append(z.idle, p)
	}
}

// countOutcome adds a result to the next message's outcomes.
func (z *zoneClient) countOutcome(target ident.VMID, report Report) {
	if report.Result == Unused {
		return
	}
	k := outcomeKey{target, report.Job}
	o := z.outcomes[k]
	if o == nil {
		o = &Outcome{Target: target, Job: report.Job}
		z.outcomes[k] = o
	}
	switch report.Result {
	case OK:
		o.OK++
		o.TotalDuration += report.Duration
		return
	case Failed:
		o.Failed++
	case Refused:
		o.Refused++
	case Unresponsive:
		o.Unresponsive++
	}
	z.resultPending = true
}

// returnIdle returns permits beyond reserve that have been idle for maxIdleTime.
func (z *zoneClient) returnIdle(now time.Time, reserve int) {
	for len(z.idle) > reserve && now.Sub(z.idle[0].idleSince) > maxIdleTime {
		delete(z.permits, z.idle[0].id)
		z.idle = z.idle[1:]
		z.returnPending = true
	}
}

// returnClosed returns idle permits of targets that must get no new request.
func (z *zoneClient) returnClosed(mayUse func(ident.VMID) bool) {
	kept := z.idle[:0]
	for _, p := range z.idle {
		if mayUse(p.target) {
			kept = append(kept, p)
			continue
		}
		delete(z.permits, p.id)
		z.returnPending = true
	}
	z.idle = kept
}
