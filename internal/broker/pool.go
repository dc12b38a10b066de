package broker

import (
	"slices"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	demandInterval   = time.Millisecond       // between two messages that report a change of demand
	resultInterval   = 5 * time.Millisecond   // between two messages that report failures or results of trials
	spillAfter       = 10 * time.Millisecond  // wait after which brokers of other zones are asked; allows for several network round trips
	maxAvoidTime     = 250 * time.Millisecond // how long a request waits for a target that it does not avoid
	peakWindow       = 250 * time.Millisecond // see pool.peak
	maxUsualDuration = MaxRequestDuration / 4 // cap on a target's usual duration when it is compared with a deadline
	maxSkipped       = 8                      // waiters that one dispatch passes over because they avoid the free targets
)

// pool is one entry's queue and permits of a pool. Each pool has its own lock, so that requests of different pools
// do not contend.
type pool struct {
	client *Client
	id     ident.PoolID

	mu              sync.Mutex
	queue           queue
	local           *zoneClient
	remote          map[ident.ZoneID]*zoneClient
	zones           map[ident.ZoneID]bool    // zones with serving targets
	clientOf        map[PermitID]*zoneClient // of each permit in use
	failureStreak   map[ident.VMID]int       // failures on a target since the last success
	startRate       startRate
	durations       durationEstimate
	targetDurations map[ident.VMID]*durationEstimate
	sendTimer       clock.Timer
	peak            [2]int // most requests at once in the local zone, in the present and the previous window
	peakWindowStart time.Time
	lastDemand      map[*zoneClient]sentDemand
	lastTrial       map[string]time.Time // newest trial of each quarantined job
	view            *peer.View
	brokers         map[ident.ZoneID]ident.EntryID // by zone of a zoneClient, in view
}

// sentDemand is the demand that the last message to a broker reported.
type sentDemand struct{ waiting, total int }

func newPool(c *Client, id ident.PoolID) *pool {
	now := c.Clock.Now()
	return &pool{
		client: c, id: id, local: newZoneClient(id, c.Zone, c.process, now), remote: map[ident.ZoneID]*zoneClient{},
		clientOf: map[PermitID]*zoneClient{}, failureStreak: map[ident.VMID]int{},
		targetDurations: map[ident.VMID]*durationEstimate{}, lastDemand: map[*zoneClient]sentDemand{},
	}
}

func (p *pool) setZones(zones map[ident.ZoneID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones = zones
	for _, z := range p.zoneClients() {
		z.returnClosed(p.client.mayUse)
	}
	p.dispatchAndSend(p.client.Clock.Now())
}

// zoneClients returns all zone clients, the local zone's first.
func (p *pool) zoneClients() []*zoneClient {
	out := make([]*zoneClient, 1, 1+len(p.remote))
	out[0] = p.local
	for _, z := range p.remote {
		out = append(out, z)
	}
	return out
}

// acquire returns a permit, or the waiter of a queued request.
func (p *pool) acquire(req AcquireRequest) (Permit, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.Clock.Now()
	if len(p.zones) == 0 {
		return Permit{}, nil, ErrNoTarget
	}
	if err := p.quarantine(now, req.Job); err != nil {
		return Permit{}, nil, err
	}
	if p.queue.waiting == 0 {
		if permit, ok := p.take(now, req, now); ok {
			return permit, nil, nil
		}
	}
	if retry, misses := p.missesDeadline(now, req); misses {
		p.client.stats.shed.Add(1)
		return Permit{}, nil, &OverloadedError{RetryAfter: retry}
	}
	w := &waiter{req: req, queuedAt: now, result: make(chan acquireResult, 1)}
	p.queue.push(w)
	p.dispatchAndSend(now)
	return Permit{}, w, nil
}

// take starts the use of an idle permit for a request that has waited since the given time.
func (p *pool) take(now time.Time, req AcquireRequest, since time.Time) (Permit, bool) {
	avoid := req.Avoid
	if !now.Before(since.Add(maxAvoidTime)) {
		avoid = nil
	}
	queued := p.queue.waiting > 0
	accept := func(vm ident.VMID) bool {
		return p.client.mayUse(vm) && !slices.Contains(avoid, vm) && (!queued || p.meetsDeadline(now, vm, req.Deadline))
	}
	z := p.local
	idle := z.take(now, accept)
	for _, remote := range p.remote {
		if idle != nil {
			break
		}
		z = remote
		idle = z.take(now, accept)
	}
	if idle == nil {
		return Permit{}, false
	}
	p.clientOf[idle.id] = z
	p.startRate.add(now)
	p.client.stats.acquired.Add(1)
	p.notePeak(now)
	return Permit{
		ID: idle.id, Target: idle.target, Address: idle.address, Zone: z.zone, Pool: p.id, Term: z.term, ValidUntil: z.validUntil,
	}, true
}

// missesDeadline reports whether a new request is expected to miss its deadline, and if so, after which time a new
// attempt may succeed.
func (p *pool) missesDeadline(now time.Time, req AcquireRequest) (time.Duration, bool) {
	ahead := p.queue.waiting
	if req.Urgent {
		ahead = p.queue.urgent
	}
	wait, known := p.startRate.wait(now, ahead)
	if !known {
		wait = 0
	}
	if now.Add(wait + p.durations.usual()).Before(req.Deadline) {
		return 0, false
	}
	return max(time.Second, wait-req.Deadline.Sub(now)), true
}

func (p *pool) cancel(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.finish(w)
}

func (p *pool) release(permit Permit, report Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	z := p.clientOf[permit.ID]
	if z == nil {
		return
	}
	delete(p.clientOf, permit.ID)
	held := z.permits[permit.ID]
	now := p.client.Clock.Now()
	z.countOutcome(permit.Target, report)
	if report.Result == OK {
		p.durations.add(report.Duration)
		estimate := p.targetDurations[permit.Target]
		if estimate == nil {
			estimate = &durationEstimate{mean: report.Duration}
			p.targetDurations[permit.Target] = estimate
		}
		estimate.add(report.Duration)
	}
	held.notBefore = p.backoffUntil(now, z, permit.Target, report)
	z.put(now, held, report.Result == Unresponsive)
	if p.queue.waiting > 0 || z.returnPending || z.resultPending {
		p.dispatchAndSend(now)
	}
}

// backoffUntil returns the time before which the released permit is not used again. It delays the permits of a failing
// target, because a target that fails fast would otherwise attract more requests.
func (p *pool) backoffUntil(now time.Time, z *zoneClient, target ident.VMID, report Report) time.Time {
	if report.Result == OK {
		delete(p.failureStreak, target)
	}
	if report.Result == OK || report.Result == Unused || z.quarantinedJobs[report.Job] {
		return time.Time{}
	}
	p.failureStreak[target]++
	if p.failureStreak[target] < 2 {
		return time.Time{}
	}
	return now.Add(min(maxBackoff, firstBackoff<<min(p.failureStreak[target]-2, 10)))
}

func (p *pool) handleGrant(from ident.EntryID, g Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	z := p.local
	now := p.client.Clock.Now()
	if g.Zone != z.zone {
		if z = p.remote[g.Zone]; z == nil {
			z = newZoneClient(p.id, g.Zone, p.client.process, now)
			p.remote[g.Zone] = z
		}
		if g.Session == 0 {
			z.invitedAt = now // the broker asks what this entry holds
		}
	}
	due := z.handleGrant(now, from, g)
	p.dispatch(now)
	if due {
		p.sendDemand(now, z)
	}
	p.dispatchAndSend(now)
}

func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.Clock.Now()
	p.notePeak(now)
	p.shed(now)
	p.spill(now)
	p.local.returnIdle(now, max(0, p.wantedPermits()-p.local.inUse))
	for _, z := range p.remote {
		z.returnIdle(now, 0)
	}
	p.dispatchAndSend(now)
}

// shed refuses waiters that would usually miss their deadline even if they started now. Otherwise, under overload, the
// earliest deadline first order would spend most slots on requests that end too late.
func (p *pool) shed(now time.Time) {
	late := now.Add(p.durations.usual())
	for w := p.queue.head(); w != nil && !late.Before(w.req.Deadline); w = p.queue.head() {
		p.queue.finish(w)
		p.client.stats.shed.Add(1)
		w.result <- acquireResult{err: &OverloadedError{RetryAfter: time.Second}}
	}
}

// dispatch gives idle permits to waiters in the queue's order.
func (p *pool) dispatch(now time.Time) {
	p.shed(now)
	var skipped []*waiter
	for len(skipped) < maxSkipped {
		w := p.queue.pop()
		if w == nil {
			break
		}
		permit, ok := p.take(now, w.req, w.queuedAt)
		if !ok {
			skipped = append(skipped, w)
			if len(w.req.Avoid) == 0 {
				break
			}
			continue
		}
		p.queue.finish(w)
		w.result <- acquireResult{permit: permit}
	}
	for _, w := range skipped {
		p.queue.putBack(w)
	}
	if len(skipped) > 0 && len(p.local.idle) > 0 {
		p.dispatchSlow(now)
	}
}

// dispatchSlow gives idle permits of slow targets, which the first waiters did not take, to waiters whose deadline
// leaves the target's usual duration.
func (p *pool) dispatchSlow(now time.Time) {
	for _, idle := range slices.Clone(p.local.idle) {
		estimate := p.targetDurations[idle.target]
		if estimate == nil {
			continue
		}
		w := p.queue.firstAfter(now.Add(estimate.usual()))
		if w == nil || slices.Contains(w.req.Avoid, idle.target) {
			continue
		}
		if permit, ok := p.take(now, w.req, w.queuedAt); ok {
			p.queue.finish(w)
			w.result <- acquireResult{permit: permit}
		}
	}
}

// meetsDeadline reports whether a request that starts on the target now usually completes before its deadline.
func (p *pool) meetsDeadline(now time.Time, target ident.VMID, deadline time.Time) bool {
	estimate := p.targetDurations[target]
	return estimate == nil || now.Add(min(estimate.usual(), maxUsualDuration)).Before(deadline)
}

// spill turns to the brokers of other zones when a request has waited too long for a permit of the local zone.
func (p *pool) spill(now time.Time) {
	head := p.queue.head()
	if head == nil || (p.zones[p.local.zone] && now.Sub(head.queuedAt) < spillAfter) {
		return
	}
	for zone := range p.zones {
		if zone != p.local.zone && p.remote[zone] == nil {
			p.remote[zone] = newZoneClient(p.id, zone, p.client.process, now)
		}
	}
}

// dispatchAndSend gives permits to waiters and sends the messages that are due.
func (p *pool) dispatchAndSend(now time.Time) {
	p.dispatch(now)
	p.updateView()
	later := false
	for _, z := range p.zoneClients() {
		due := z.switchBroker(now, p.brokers[z.zone], p.gone)
		switch wanted, pause := p.messageDue(now, z); {
		case due || (wanted && !now.Before(z.lastSent.Add(pause))):
			p.sendDemand(now, z)
		case wanted:
			later = true
		}
	}
	if later && p.sendTimer == nil {
		p.sendTimer = p.client.Clock.AfterFunc(demandInterval, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sendTimer = nil
			p.dispatchAndSend(p.client.Clock.Now())
		})
	}
}

// updateView updates the brokers to the present view of the membership.
func (p *pool) updateView() {
	view := p.client.Links.View()
	if view == p.view && len(p.brokers) == 1+len(p.remote) {
		return
	}
	p.view = view
	p.brokers = map[ident.ZoneID]ident.EntryID{}
	for _, z := range p.zoneClients() {
		p.brokers[z.zone] = brokerOf(view, p.id, z.zone)
	}
}

func (p *pool) gone(id ident.EntryID) bool {
	m, ok := p.view.Members[id]
	return ok && m.State == peer.Gone
}

// messageDue reports whether a message to the zone's broker is to be sent, and the least time since the last one.
func (p *pool) messageDue(now time.Time, z *zoneClient) (bool, time.Duration) {
	last := p.lastDemand[z]
	waiting := p.waitingFor(z)
	switch {
	case z.broker == "":
		return false, 0
	case z != p.local && waiting == 0 && len(z.permits) == 0 && now.Sub(z.invitedAt) > reserveLease:
		return false, 0 // not needed: the registration may expire
	case !z.registered:
		return true, registerInterval
	case z.returnPending:
		return true, 0
	case waiting > last.waiting+last.waiting/4, waiting*2 < last.waiting:
		return true, demandInterval
	case z.resultPending:
		return true, resultInterval
	case z == p.local && p.wantedPermits() > last.total+last.total/8:
		return true, 10 * demandInterval
	case now.Sub(z.lastSent) >= z.renewPeriod():
		return true, 0
	}
	return false, 0
}

// waitingFor is the number of waiting requests that is reported to the zone's broker.
func (p *pool) waitingFor(z *zoneClient) int {
	if z == p.local {
		return p.queue.waiting
	}
	if head := p.queue.head(); head == nil || p.client.Clock.Now().Sub(head.queuedAt) < spillAfter {
		return 0
	}
	return (p.queue.waiting + len(p.remote) - 1) / len(p.remote)
}

// wantedPermits is the number of permits that the entry wants to hold in the local zone: the recent peak plus an eighth.
func (p *pool) wantedPermits() int {
	peak := max(p.peak[0], p.peak[1])
	if peak == 0 {
		return 0
	}
	return peak + max(1, peak/8)
}

func (p *pool) notePeak(now time.Time) {
	if now.Sub(p.peakWindowStart) > peakWindow {
		p.peak[1], p.peak[0], p.peakWindowStart = p.peak[0], 0, now
	}
	p.peak[0] = max(p.peak[0], p.local.inUse)
}

func (p *pool) sendDemand(now time.Time, z *zoneClient) {
	waiting := p.waitingFor(z)
	demand := poolDemand{urgent: min(p.queue.urgent, waiting)}
	demand.normal = waiting - demand.urgent
	if z == p.local {
		demand.prefetch = max(0, p.wantedPermits()-z.inUse-waiting)
	}
	if head := p.queue.head(); head != nil {
		demand.untilDeadline = head.req.Deadline.Sub(now)
		demand.avoid = head.req.Avoid
	}
	p.lastDemand[z] = sentDemand{waiting: waiting, total: z.inUse + waiting + demand.prefetch}
	m := z.nextDemand(now, demand, ident.Offset(p.client.fleetOffset.Load()))
	p.client.stats.sent.Add(1)
	if err := p.client.Links.Send(z.broker, m); err != nil {
		p.client.stats.sendErrors.Add(1) // each Demand is complete in itself, so the next renewal makes up for it
	}
}
