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
	sendPause   = time.Millisecond       // between two messages that report a change of demand
	failurePace = 5 * time.Millisecond   // between two messages that report failures or trials
	spillAfter  = 10 * time.Millisecond  // wait after which another zone is asked; several network trips
	avoidTime   = 250 * time.Millisecond // a request waits this long for a target that it does not avoid
	peakWindow  = 250 * time.Millisecond
	maxUsual    = MaxRequest / 4 // a longer usual run does not keep requests from a target
	maxSkipped  = 8              // waiters that are passed over since they avoid the free targets
)

// pool is one entry's queue and permits of a pool. One lock for each pool guards them, so
// that requests of different pools do not meet.
type pool struct {
	client *Client
	id     ident.PoolID

	mu         sync.Mutex
	queue      queue
	home       *holding
	far        map[ident.ZoneID]*holding
	zones      map[ident.ZoneID]bool // zones with serving targets
	holders    map[PermitID]*holding // by permit in use
	streak     map[ident.VMID]int    // failures on a target without a success
	rate       rate
	runs       runTime
	targetRuns map[ident.VMID]*runTime
	timer      clock.Timer
	peak       [2]int // most requests at once in the present and the last window
	peakFrom   time.Time
	lastNeed   map[*holding]need
	trials     map[string]time.Time // newest trial of each quarantined job
	view       *peer.View
	brokers    map[ident.ZoneID]ident.EntryID // by zone of a holding, in that view
}

// need is what the last message asked for.
type need struct{ waiting, total int }

func newPool(c *Client, id ident.PoolID) *pool {
	now := c.Clock.Now()
	return &pool{
		client: c, id: id, home: newHolding(id, c.Zone, c.process, now), far: map[ident.ZoneID]*holding{},
		holders: map[PermitID]*holding{}, streak: map[ident.VMID]int{}, targetRuns: map[ident.VMID]*runTime{}, lastNeed: map[*holding]need{},
	}
}

func (p *pool) setZones(zones map[ident.ZoneID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones = zones
	for _, l := range p.all() {
		l.closeTargets(p.client.mayUse)
	}
	p.act(p.client.Clock.Now())
}

// all returns the holdings, the own zone's first.
func (p *pool) all() []*holding {
	out := make([]*holding, 1, 1+len(p.far))
	out[0] = p.home
	for _, l := range p.far {
		out = append(out, l)
	}
	return out
}

// acquire returns a permit, or the waiter of a queued request.
func (p *pool) acquire(ask AcquireRequest) (Permit, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.Clock.Now()
	if len(p.zones) == 0 {
		return Permit{}, nil, ErrNoTarget
	}
	if err := p.quarantine(now, ask.Job); err != nil {
		return Permit{}, nil, err
	}
	if p.queue.live == 0 {
		if permit, ok := p.take(now, ask, now); ok {
			return permit, nil, nil
		}
	}
	if retry, hopeless := p.hopeless(now, ask); hopeless {
		p.client.stats.shed.Add(1)
		return Permit{}, nil, &OverloadedError{RetryAfter: retry}
	}
	w := &waiter{ask: ask, since: now, answer: make(chan answer, 1)}
	p.queue.push(w)
	p.act(now)
	return Permit{}, w, nil
}

// take uses an idle permit for a request that has waited since the given time.
func (p *pool) take(now time.Time, ask AcquireRequest, since time.Time) (Permit, bool) {
	avoid := ask.Avoid
	if !now.Before(since.Add(avoidTime)) {
		avoid = nil
	}
	queued := p.queue.live > 0
	accept := func(vm ident.VMID) bool {
		return p.client.mayUse(vm) && !slices.Contains(avoid, vm) && (!queued || p.inTime(now, vm, ask.Deadline))
	}
	l := p.home
	s := l.take(now, accept)
	for _, far := range p.far {
		if s != nil {
			break
		}
		l = far
		s = l.take(now, accept)
	}
	if s == nil {
		return Permit{}, false
	}
	p.holders[s.id] = l
	p.rate.add(now)
	p.client.stats.acquired.Add(1)
	p.notePeak(now)
	return Permit{
		ID: s.id, Target: s.target, Address: s.address, Zone: l.zone, Pool: p.id, Term: l.term, ValidUntil: l.useBy,
	}, true
}

// hopeless reports whether a new request would still wait at its deadline, and when a later one might not.
func (p *pool) hopeless(now time.Time, ask AcquireRequest) (time.Duration, bool) {
	ahead := p.queue.live
	if ask.Urgent {
		ahead = p.queue.urgent
	}
	wait, known := p.rate.wait(now, ahead)
	if !known {
		wait = 0
	}
	if now.Add(wait + p.runs.usual()).Before(ask.Deadline) {
		return 0, false
	}
	return max(time.Second, wait-ask.Deadline.Sub(now)), true
}

func (p *pool) cancel(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.end(w)
}

func (p *pool) release(permit Permit, rep Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.holders[permit.ID]
	if l == nil {
		return
	}
	delete(p.holders, permit.ID)
	s := l.slots[permit.ID]
	now := p.client.Clock.Now()
	l.count(permit.Target, rep)
	if rep.Result == OK {
		p.runs.add(rep.Duration)
		r := p.targetRuns[permit.Target]
		if r == nil {
			r = &runTime{mean: rep.Duration}
			p.targetRuns[permit.Target] = r
		}
		r.add(rep.Duration)
	}
	s.notBefore = p.penalty(now, l, permit.Target, rep)
	l.put(now, s, rep.Result == Unresponsive)
	if p.queue.live > 0 || l.returned || l.failed {
		p.act(now)
	}
}

// penalty returns the time before which a failing target gets no request through this permit, so that failing
// fast does not attract work.
func (p *pool) penalty(now time.Time, l *holding, target ident.VMID, rep Report) time.Time {
	if rep.Result == OK {
		delete(p.streak, target)
	}
	if rep.Result == OK || rep.Result == Unused || l.jobs[rep.Job] {
		return time.Time{}
	}
	p.streak[target]++
	if p.streak[target] < 2 {
		return time.Time{}
	}
	return now.Add(min(maxPenalty, firstPenalty<<min(p.streak[target]-2, 10)))
}

func (p *pool) granted(from ident.EntryID, g Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.home
	now := p.client.Clock.Now()
	if g.Zone != l.zone {
		if l = p.far[g.Zone]; l == nil {
			l = newHolding(p.id, g.Zone, p.client.process, now)
			p.far[g.Zone] = l
		}
		if g.Session == 0 {
			l.invited = now // the broker needs to know what this entry holds
		}
	}
	due := l.grant(now, from, g)
	p.dispatch(now)
	if due {
		p.send(now, l)
	}
	p.act(now)
}

func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.Clock.Now()
	p.notePeak(now)
	p.shed(now)
	p.spill(now)
	p.home.returnIdle(now, max(0, p.target()-p.home.busy))
	for _, l := range p.far {
		l.returnIdle(now, 0)
	}
	p.act(now)
}

// shed refuses waiters that would not finish before their deadline if they started now. Without this the
// earliest deadline first order spends most slots on requests that come too late.
func (p *pool) shed(now time.Time) {
	late := now.Add(p.runs.usual())
	for w := p.queue.head(); w != nil && !late.Before(w.ask.Deadline); w = p.queue.head() {
		p.queue.end(w)
		p.client.stats.shed.Add(1)
		w.answer <- answer{err: &OverloadedError{RetryAfter: time.Second}}
	}
}

// dispatch gives idle permits to waiters in order.
func (p *pool) dispatch(now time.Time) {
	p.shed(now)
	var skipped []*waiter
	for len(skipped) < maxSkipped {
		w := p.queue.pop()
		if w == nil {
			break
		}
		permit, ok := p.take(now, w.ask, w.since)
		if !ok {
			skipped = append(skipped, w)
			if len(w.ask.Avoid) == 0 {
				break
			}
			continue
		}
		p.queue.end(w)
		w.answer <- answer{permit: permit}
	}
	for _, w := range skipped {
		p.queue.pushBack(w)
	}
	if len(skipped) > 0 && len(p.home.idle) > 0 {
		p.dispatchSlow(now)
	}
}

// dispatchSlow gives idle permits of targets that are slower than usual to requests with enough time left.
func (p *pool) dispatchSlow(now time.Time) {
	for _, s := range slices.Clone(p.home.idle) {
		r := p.targetRuns[s.target]
		if r == nil {
			continue
		}
		w := p.queue.firstAfter(now.Add(r.usual()))
		if w == nil || slices.Contains(w.ask.Avoid, s.target) {
			continue
		}
		if permit, ok := p.take(now, w.ask, w.since); ok {
			p.queue.end(w)
			w.answer <- answer{permit: permit}
		}
	}
}

// inTime reports whether a request that starts on the target now usually completes before its deadline.
func (p *pool) inTime(now time.Time, target ident.VMID, deadline time.Time) bool {
	r := p.targetRuns[target]
	return r == nil || now.Add(min(r.usual(), maxUsual)).Before(deadline)
}

// spill turns to the brokers of other zones while the own zone lets requests wait.
func (p *pool) spill(now time.Time) {
	head := p.queue.head()
	if head == nil || (p.zones[p.home.zone] && now.Sub(head.since) < spillAfter) {
		return
	}
	for zone := range p.zones {
		if zone != p.home.zone && p.far[zone] == nil {
			p.far[zone] = newHolding(p.id, zone, p.client.process, now)
		}
	}
}

// act hands out permits and sends the messages that are due.
func (p *pool) act(now time.Time) {
	p.dispatch(now)
	p.look()
	later := false
	for _, l := range p.all() {
		due := l.follow(now, p.brokers[l.zone], p.gone)
		switch wanted, pause := p.due(now, l); {
		case due || (wanted && !now.Before(l.lastSent.Add(pause))):
			p.send(now, l)
		case wanted:
			later = true
		}
	}
	if later && p.timer == nil {
		p.timer = p.client.Clock.AfterFunc(sendPause, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.timer = nil
			p.act(p.client.Clock.Now())
		})
	}
}

// look takes over a new view.
func (p *pool) look() {
	view := p.client.Links.View()
	if view == p.view && len(p.brokers) == 1+len(p.far) {
		return
	}
	p.view = view
	p.brokers = map[ident.ZoneID]ident.EntryID{}
	for _, l := range p.all() {
		p.brokers[l.zone] = brokerOf(view, p.id, l.zone)
	}
}

func (p *pool) gone(id ident.EntryID) bool {
	m, ok := p.view.Members[id]
	return ok && m.State == peer.Gone
}

// due reports whether a message to the holding's broker is wanted, and the least pause since the last one.
func (p *pool) due(now time.Time, l *holding) (bool, time.Duration) {
	last := p.lastNeed[l]
	waiting := p.waitingFor(l)
	switch {
	case l.broker == "":
		return false, 0
	case l != p.home && waiting == 0 && len(l.slots) == 0 && now.Sub(l.invited) > keepLease:
		return false, 0 // not needed; the broker forgets this entry
	case !l.registered:
		return true, helloRepeat
	case l.returned:
		return true, 0
	case waiting > last.waiting+last.waiting/4, waiting*2 < last.waiting:
		return true, sendPause
	case l.failed:
		return true, failurePace
	case l == p.home && p.target() > last.total+last.total/8:
		return true, 10 * sendPause
	case now.Sub(l.lastSent) >= l.renewal():
		return true, 0
	}
	return false, 0
}

// waitingFor is the number of waiting requests that a broker is told.
func (p *pool) waitingFor(l *holding) int {
	if l == p.home {
		return p.queue.live
	}
	if head := p.queue.head(); head == nil || p.client.Clock.Now().Sub(head.since) < spillAfter {
		return 0
	}
	return (p.queue.live + len(p.far) - 1) / len(p.far)
}

// target is the number of permits that the entry wants to hold in the own zone: the recent peak and an eighth.
func (p *pool) target() int {
	peak := max(p.peak[0], p.peak[1])
	if peak == 0 {
		return 0
	}
	return peak + max(1, peak/8)
}

func (p *pool) notePeak(now time.Time) {
	if now.Sub(p.peakFrom) > peakWindow {
		p.peak[1], p.peak[0], p.peakFrom = p.peak[0], 0, now
	}
	p.peak[0] = max(p.peak[0], p.home.busy)
}

func (p *pool) send(now time.Time, l *holding) {
	waiting := p.waitingFor(l)
	r := request{urgent: min(p.queue.urgent, waiting)}
	r.normal = waiting - r.urgent
	if l == p.home {
		r.prefetch = max(0, p.target()-l.busy-waiting)
	}
	if head := p.queue.head(); head != nil {
		r.earliest = head.ask.Deadline.Sub(now)
		r.avoid = head.ask.Avoid
	}
	p.lastNeed[l] = need{waiting: waiting, total: l.busy + waiting + r.prefetch}
	m := l.demand(now, r, ident.Offset(p.client.fleet.Load()))
	p.client.stats.sent.Add(1)
	if err := p.client.Links.Send(l.broker, m); err != nil {
		p.client.stats.sendErrors.Add(1) // the next renewal repeats what matters
	}
}
