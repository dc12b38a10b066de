package broker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	recallPause = 20 * time.Millisecond // between recalls of permits in use, so that small changes of demand move none
	keepAll     = 1 << 20
)

// open reports whether new requests may go to the target.
func (t *target) open(now time.Time) bool {
	return t.Serving && t.Slots > 0 && !t.health.ejected && !now.Before(t.quiet)
}

// limit is the number of slots that may be granted on the target.
func (t *target) limit() int {
	if t.health.trial > 0 {
		return min(t.health.trial, int(t.Slots))
	}
	return int(t.Slots)
}

// mayGrant reports whether one more permit on t for h keeps the invariant.
func (c *Core) mayGrant(now time.Time, h *holder, t *target) bool {
	taken := len(t.permits) + t.unknown
	if !t.open(now) || taken >= t.limit() {
		return false
	}
	if c.full {
		return true
	}
	registered, settled := c.shares(now)
	if !t.shrunk.IsZero() {
		settled = max(settled, c.registeredBefore(t.shrunk.Add(-shrinkTime)))
	}
	if taken < int(t.Slots)*settled/max(1, len(c.members)) {
		return true
	}
	return h.heldOn(t) < h.allow[t.ID] && len(t.permits) < int(t.Slots)*registered/max(1, len(c.members))
}

// shares counts the zone's registered entries, and those that have been registered for settleTime.
func (c *Core) shares(now time.Time) (registered, settled int) {
	return c.registeredBefore(now), c.registeredBefore(now.Add(-settleTime))
}

// registeredBefore counts the zone's entries that have been registered without interruption since the given time.
func (c *Core) registeredBefore(at time.Time) int {
	n := 0
	for id := range c.members {
		if h := c.holders[id]; h != nil && h.registered && !h.since.After(at) {
			n++
		}
	}
	return n
}

// capacity is the number of slots that registered entries can hold now.
func (c *Core) capacity(now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if t.open(now) {
			n += max(0, t.limit()-t.residual())
		}
	}
	return n
}

// residual counts the slots that may be used by entries that are dead or no longer registered.
func (t *target) residual() int {
	n := t.unknown
	for _, p := range t.permits {
		if !p.lostUntil.IsZero() {
			n++
		}
	}
	return n
}

// rebalance grants free slots by quota and recalls permits of entries above it.
func (c *Core) rebalance(now time.Time) {
	holders := c.byDeadline()
	c.setQuotas(now, holders)
	unmet := false
	for _, h := range holders {
		for len(h.permits) < h.quota {
			t := c.pick(now, h)
			if t == nil {
				break
			}
			c.grant(h, t)
		}
		unmet = unmet || len(h.permits) < min(h.quota, h.wants())
	}
	mayRecall := c.full || c.registeredBefore(now.Add(-shrinkTime)) > 0
	for _, h := range holders {
		c.setKeep(now, h, unmet && mayRecall)
	}
}

// wants is the number of permits that the entry's present requests could use.
func (h *holder) wants() int { return h.busy + h.demand.Urgent + h.demand.Normal }

// setKeep recalls what h holds beyond its quota while another entry lacks permits.
func (c *Core) setKeep(now time.Time, h *holder, unmet bool) {
	over := len(h.permits) - h.quota
	if !unmet || over <= 0 {
		if h.keep != keepAll {
			h.keep = keepAll
			h.changed = true
		}
		return
	}
	if h.keep == h.quota {
		return
	}
	idle := len(h.permits) > h.wants()
	if !idle && now.Before(c.lastRecall.Add(recallPause)) {
		return
	}
	if !idle {
		c.lastRecall = now
	}
	h.keep = h.quota
	h.changed = true
}

// byDeadline returns the registered entries, earliest deadline first.
func (c *Core) byDeadline() []*holder {
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
		return h.heard.Add(MaxRequest)
	}
	return h.heard.Add(h.demand.UntilDeadline)
}

// setQuotas divides the capacity: urgent requests first, then the others, then prefetched permits, and what is
// left to entries of other zones.
func (c *Core) setQuotas(now time.Time, holders []*holder) {
	left := c.capacity(now)
	for _, h := range holders {
		h.quota = 0
	}
	for _, want := range []func(*holder) int{
		func(h *holder) int { return only(h.local, h.demand.Urgent) },
		func(h *holder) int { return only(h.local, h.busy+h.demand.Normal) },
		func(h *holder) int { return only(h.local, h.demand.Prefetch) },
		func(h *holder) int { return only(!h.local, h.wants()) },
	} {
		wants := make([]int, len(holders))
		for i, h := range holders {
			wants[i] = want(h)
		}
		for i, n := range divide(left, wants) {
			holders[i].quota += n
			left -= n
		}
	}
}

func only(cond bool, n int) int {
	if cond {
		return n
	}
	return 0
}

// divide splits n in proportion to wants, and what rounding leaves in the order of wants.
func divide(n int, wants []int) []int {
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

// pick returns the target for the next permit of h, or nil: one that h's next request does not avoid, then the
// one with the smallest part of its slots taken.
func (c *Core) pick(now time.Time, h *holder) *target {
	var best *target
	var bestAvoid, bestTaken, bestHeld int
	for _, t := range c.targets {
		if !c.mayGrant(now, h, t) {
			continue
		}
		avoid := only(slices.Contains(h.demand.Avoid, t.ID) || t.health.suspect(), 1)
		taken := (len(t.permits) + t.unknown) * 1000 / t.limit()
		held := h.heldOn(t)
		order := cmp.Or(cmp.Compare(avoid, bestAvoid), cmp.Compare(taken, bestTaken), cmp.Compare(held, bestHeld))
		if best == nil || order < 0 || (order == 0 && t.ID < best.ID) {
			best, bestAvoid, bestTaken, bestHeld = t, avoid, taken, held
		}
	}
	return best
}

func (c *Core) grant(h *holder, t *target) {
	c.lastID++
	p := &permit{
		id: PermitID(fmt.Sprintf("%s/%d/%d", c.self, c.term, c.lastID)), target: t, holder: h,
		since: c.seq + 1, // flush sends it under this Seq or a later one of the same step
	}
	t.permits[p.id], h.permits[p.id] = p, p
	h.changed = true
}

// recallTargets marks the permits on which no new request may start: those of closed targets and those beyond
// the limit or this broker's share.
func (c *Core) recallTargets(now time.Time) {
	registered, settled := c.shares(now)
	for _, t := range c.targets {
		limit := t.limit()
		if !c.full {
			limit = min(limit, int(t.Slots)*max(registered, settled)/max(1, len(c.members)))
		}
		if !t.open(now) {
			limit = 0
		}
		t.recall(len(t.permits) - limit)
	}
}

// recall marks n permits; those that were marked stay so, and idle ones come before those in use.
func (t *target) recall(n int) {
	var order []*permit
	for _, p := range t.permits {
		if p.lostUntil.IsZero() {
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b *permit) int {
		return cmp.Or(-compareBool(a.recall, b.recall), compareBool(a.busy, b.busy), cmp.Compare(a.id, b.id))
	})
	for i, p := range order {
		if recall := i < n; p.recall != recall {
			p.recall = recall
			p.holder.changed = true
		}
	}
}

func compareBool(a, b bool) int { return only(a, 1) - only(b, 1) }

// flush sends a Grant to each entry for which something has changed.
func (c *Core) flush(now time.Time) {
	spare := c.spare(now)
	for _, h := range c.holders {
		if !h.changed || !h.registered {
			continue
		}
		h.changed = false
		c.seq++
		c.out = append(c.out, Send{To: h.id, Msg: c.message(now, h, spare)})
	}
}

func (c *Core) message(now time.Time, h *holder, spare int) Grant {
	g := Grant{
		Pool: c.pool, Zone: c.zone, Term: c.term, Session: h.session, Seq: c.seq, AckedSeq: h.seq, EchoSentAt: h.sent,
		Stamp: c.stampAt(now), Registered: true, MaxPermits: h.keep, ExpectedWait: c.wait(now), FreeSlots: spare,
		Permits: make([]GrantedPermit, 0, len(h.permits)), Quarantined: c.quarantined(now),
	}
	for _, p := range h.permits {
		if !p.old {
			g.Permits = append(g.Permits, GrantedPermit{
				ID: p.id, Target: p.target.ID, Address: p.target.Address, SinceSeq: p.since, Recalled: p.recall,
				Trial: p.target.health.trial > 0,
			})
		}
	}
	return g
}

// spare counts the slots that could be granted now.
func (c *Core) spare(now time.Time) int {
	n := 0
	for _, t := range c.targets {
		if t.open(now) {
			n += max(0, t.limit()-len(t.permits)-t.unknown)
		}
	}
	return n
}

// wait estimates how long a new request waits for a slot.
func (c *Core) wait(now time.Time) time.Duration {
	if c.spare(now) > 0 && c.full {
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
		return MaxRequest
	}
	return min(MaxRequest, c.meanRun*time.Duration(waiting)/time.Duration(slots))
}
