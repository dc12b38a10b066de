package broker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	recallInterval = 20 * time.Millisecond // between recalls of permits in use, so that small changes of demand cause none
	noPermitLimit  = 1 << 20               // value of Grant.MaxPermits for no limit
)

// acceptsRequests reports whether new requests may go to the target.
func (t *target) acceptsRequests(now time.Time) bool {
	return t.Serving && t.Slots > 0 && !t.health.ejected && !now.Before(t.pausedUntil)
}

// slotLimit is the number of slots that may be granted on the target.
func (t *target) slotLimit() int {
	if t.health.trialSlots > 0 {
		return min(t.health.trialSlots, int(t.Slots))
	}
	return int(t.Slots)
}

// mayGrant reports whether one more permit on t for h keeps the invariant of the package comment.
func (c *Core) mayGrant(now time.Time, h *holder, t *target) bool {
	taken := len(t.permits) + t.unknownUse
	if !t.acceptsRequests(now) || taken >= t.slotLimit() {
		return false
	}
	if c.allRegistered {
		return true
	}
	// While some entries are not registered, the last rule of the package comment applies: the share of the entries
	// that have been registered long enough, and slots that h held already.
	registered, settled := c.registeredCounts(now)
	if !t.withinShareAt.IsZero() {
		settled = max(settled, c.registeredSince(t.withinShareAt.Add(-shrinkTime)))
	}
	if taken < int(t.Slots)*settled/max(1, len(c.members)) {
		return true
	}
	return h.permitsOn(t) < h.heldAtRegistration[t.ID] && len(t.permits) < int(t.Slots)*registered/max(1, len(c.members))
}

// registeredCounts counts the zone's registered entries, and those that have been registered for settleTime.
func (c *Core) registeredCounts(now time.Time) (registered, settled int) {
	return c.registeredSince(now), c.registeredSince(now.Add(-settleTime))
}

// registeredSince counts the zone's entries that have been registered without interruption since the given time.
func (c *Core) registeredSince(at time.Time) int {
	n := 0
	for id := range c.members {
		if h := c.holders[id]; h != nil && h.registered && !h.registeredAt.After(at) {
			n++
		}
	}
	return n
}

// capacity is the number of slots that registered entries can hold now.
func (c *Core) capacity(now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if t.acceptsRequests(now) {
			n += max(0, t.slotLimit()-t.reservedSlots())
		}
	}
	return n
}

// reservedSlots counts the slots that may be used by entries that are dead or no longer registered.
func (t *target) reservedSlots() int {
	n := t.unknownUse
	for _, p := range t.permits {
		if !p.reservedUntil.IsZero() {
			n++
		}
	}
	return n
}

// rebalance grants free slots to entries below their quota and recalls permits of entries above it.
func (c *Core) rebalance(now time.Time) {
	holders := c.registeredByDeadline()
	c.setQuotas(now, holders)
	unmet := false
	for _, h := range holders {
		for len(h.permits) < h.quota {
			t := c.pickTarget(now, h)
			if t == nil {
				break
			}
			c.grantPermit(h, t)
		}
		unmet = unmet || len(h.permits) < min(h.quota, h.neededPermits())
	}
	mayRecall := c.allRegistered || c.registeredSince(now.Add(-shrinkTime)) > 0
	for _, h := range holders {
		c.setMaxPermits(now, h, unmet && mayRecall)
	}
}

// neededPermits is the number of permits that the entry's present requests could use.
func (h *holder) neededPermits() int { return h.inUse + h.demand.Urgent + h.demand.Normal }

// setMaxPermits limits h to its quota while another entry lacks permits; unmet says whether one does.
func (c *Core) setMaxPermits(now time.Time, h *holder, unmet bool) {
	over := len(h.permits) - h.quota
	if !unmet || over <= 0 {
		if h.maxPermits != noPermitLimit {
			h.maxPermits = noPermitLimit
			h.grantDue = true
		}
		return
	}
	if h.maxPermits == h.quota {
		return
	}
	idle := len(h.permits) > h.neededPermits()
	if !idle && now.Before(c.lastRecall.Add(recallInterval)) {
		return
	}
	if !idle {
		c.lastRecall = now
	}
	h.maxPermits = h.quota
	h.grantDue = true
}

// registeredByDeadline returns the registered entries: those with waiting urgent requests first, then by earliest
// deadline.
func (c *Core) registeredByDeadline() []*holder {
	out := make([]*holder, 0, len(c.holders))
	for _, h := range c.holders {
		if h.registered {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *holder) int {
		if u := cmp.Compare(min(b.demand.Urgent, 1), min(a.demand.Urgent, 1)); u != 0 {
			return u
		}
		if d := a.deadline().Compare(b.deadline()); d != 0 {
			return d
		}
		return cmp.Compare(a.id, b.id)
	})
	return out
}

func (h *holder) deadline() time.Time {
	if h.demand.Urgent+h.demand.Normal == 0 {
		return h.lastHeard.Add(MaxRequestDuration)
	}
	return h.lastHeard.Add(h.demand.UntilDeadline)
}

// setQuotas divides the capacity among the entries of the zone: urgent requests first, then the others, then
// prefetched permits. Entries of other zones get what is left.
func (c *Core) setQuotas(now time.Time, holders []*holder) {
	left := c.capacity(now)
	for _, h := range holders {
		h.quota = 0
	}
	for _, want := range []func(*holder) int{
		func(h *holder) int { return countIf(h.local, h.demand.Urgent) },
		func(h *holder) int { return countIf(h.local, h.inUse+h.demand.Normal) },
		func(h *holder) int { return countIf(h.local, h.demand.Prefetch) },
		func(h *holder) int { return countIf(!h.local, h.neededPermits()) },
	} {
		wants := make([]int, len(holders))
		for i, h := range holders {
			wants[i] = want(h)
		}
		for i, n := range divideProportionally(left, wants) {
			holders[i].quota += n
			left -= n
		}
	}
}

// countIf returns n if cond holds, else 0.
func countIf(cond bool, n int) int {
	if cond {
		return n
	}
	return 0
}

// divideProportionally splits n in proportion to wants. What rounding leaves goes to the first of wants, one each.
func divideProportionally(n int, wants []int) []int {
	total := 0
	for _, w := range wants {
		total += w
	}
	if total <= n {
		return wants
	}
	out := make([]int, len(wants))
	left := n
	for i, w := range wants {
		out[i] = n * w / total
		left -= out[i]
	}
	for i, w := range wants {
		if left > 0 && out[i] < w {
			out[i]++
			left--
		}
	}
	return out
}

// pickTarget returns the target for the next permit of h, or nil. It prefers targets that are not suspect and that
// h's next request does not avoid, then the smallest share of slots taken, then the fewest permits of h.
func (c *Core) pickTarget(now time.Time, h *holder) *target {
	var best *target
	var bestAvoid, bestTaken, bestHeld int
	for _, t := range c.targets {
		if !c.mayGrant(now, h, t) {
			continue
		}
		avoid := countIf(slices.Contains(h.demand.Avoid, t.ID) || t.health.suspect(), 1)
		taken := (len(t.permits) + t.unknownUse) * 1000 / t.slotLimit()
		held := h.permitsOn(t)
		order := cmp.Or(cmp.Compare(avoid, bestAvoid), cmp.Compare(taken, bestTaken), cmp.Compare(held, bestHeld))
		if best == nil || order < 0 || (order == 0 && t.ID < best.ID) {
			best, bestAvoid, bestTaken, bestHeld = t, avoid, taken, held
		}
	}
	return best
}

func (c *Core) grantPermit(h *holder, t *target) {
	c.lastPermitID++
	p := &permit{
		id: PermitID(fmt.Sprintf("%s/%d/%d", c.self, c.term, c.lastPermitID)), target: t, holder: h,
		sinceSeq: c.seq + 1, // sendGrants sends it with this Seq or a later one of the same step
	}
	t.permits[p.id], h.permits[p.id] = p, p
	h.grantDue = true
}

// recallExcess marks the permits on which no new request may start: all of targets that accept no requests, and
// those beyond a target's slot limit or this broker's share of its slots.
func (c *Core) recallExcess(now time.Time) {
	registered, settled := c.registeredCounts(now)
	for _, t := range c.targets {
		limit := t.slotLimit()
		if !c.allRegistered {
			limit = min(limit, int(t.Slots)*max(registered, settled)/max(1, len(c.members)))
		}
		if !t.acceptsRequests(now) {
			limit = 0
		}
		t.markRecalled(len(t.permits) - limit)
	}
}

// markRecalled marks n permits as recalled: first those that are marked already, then idle ones, then those in use.
// Permits whose holder is no longer registered are left out.
func (t *target) markRecalled(n int) {
	var order []*permit
	for _, p := range t.permits {
		if p.reservedUntil.IsZero() {
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b *permit) int {
		return cmp.Or(-compareBool(a.recalled, b.recalled), compareBool(a.inUse, b.inUse), cmp.Compare(a.id, b.id))
	})
	for i, p := range order {
		if recall := i < n; p.recalled != recall {
			p.recalled = recall
			p.holder.grantDue = true
		}
	}
}

func compareBool(a, b bool) int { return countIf(a, 1) - countIf(b, 1) }

// sendGrants sends a Grant to each registered entry for which something has changed.
func (c *Core) sendGrants(now time.Time) {
	free := c.freeSlots(now)
	for _, h := range c.holders {
		if !h.grantDue || !h.registered {
			continue
		}
		h.grantDue = false
		c.seq++
		c.effects = append(c.effects, Send{To: h.id, Msg: c.grantMessage(now, h, free)})
	}
}

func (c *Core) grantMessage(now time.Time, h *holder, freeSlots int) Grant {
	g := Grant{
		Pool: c.pool, Zone: c.zone, Term: c.term, Session: h.session, Seq: c.seq, AckedSeq: h.seq, EchoSentAt: h.sentAt,
		Stamp: c.stampAt(now), Registered: true, MaxPermits: h.maxPermits, ExpectedWait: c.expectedWait(now), FreeSlots: freeSlots,
		Permits: make([]GrantedPermit, 0, len(h.permits)), Quarantined: c.quarantinedJobs(now),
	}
	for _, p := range h.permits {
		if !p.otherTerm {
			g.Permits = append(g.Permits, GrantedPermit{
				ID: p.id, Target: p.target.ID, Address: p.target.Address, SinceSeq: p.sinceSeq, Recalled: p.recalled,
				Trial: p.target.health.trialSlots > 0,
			})
		}
	}
	return g
}

// freeSlots counts the slots that are neither granted nor reserved.
func (c *Core) freeSlots(now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if t.acceptsRequests(now) {
			n += max(0, t.slotLimit()-len(t.permits)-t.unknownUse)
		}
	}
	return n
}

// expectedWait estimates how long a new request waits for a slot.
func (c *Core) expectedWait(now time.Time) time.Duration {
	if c.freeSlots(now) > 0 && c.allRegistered {
		return 0
	}
	waiting := 1
	for _, h := range c.holders {
		if h.registered {
			waiting += h.demand.Urgent + h.demand.Normal
		}
	}
	slots := c.capacity(now)
	if slots == 0 {
		return MaxRequestDuration
	}
	return min(MaxRequestDuration, c.meanDuration*time.Duration(waiting)/time.Duration(slots))
}
