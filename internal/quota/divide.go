package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

const (
	// maxBasePools is the number of pools up to which each keeps a base allowance. With more of them it would seldom hold a task.
	maxBasePools = 16
	// baseShare and baseTotal are the inverses of the share of the cap that is the base of one pool, and of all pools.
	baseShare, baseTotal = 8, 2
	// stepShare is the inverse of the share of the cap below which differences are left as they are.
	stepShare = 32
)

// division is one round of the division of a tenant's cap.
type division struct {
	t           *tenant
	cells       []*cell // those that wait first, the longest wait first
	targets     []amount
	caps        amount
	free        amount // what the counts of all cells leave of the cap
	held        amount // by all cells
	step        amount
	base        amount // of each pool
	whole       *cell  // the cell that may get the whole cap for a task above it
	unsatisfied bool   // a cell waits for its first task
}

// rebalance decides the limits of one tenant.
func (a *Allocator) rebalance(t *tenant) {
	if a.stamp(t) || !a.mayRaise(t) {
		return
	}
	base := a.baseOf(amountOf(t.cap))
	if base != (amount{}) {
		for _, p := range a.pools {
			if p.Partition < len(a.parts) {
				a.cell(a.parts[p.Partition], p.ID, t.id)
			}
		}
	}
	d := a.newDivision(t, base)
	if a.allKnown() && d.overcommitted() {
		for _, c := range d.cells {
			a.set(c, Limit{})
		}
		return
	}
	if !d.needed(a.rounds) {
		return
	}
	a.asked = append(a.asked, t.id)
	d.setTargets()
	d.lower(a)
	d.raise(a)
}

// stamp renews the limits that were granted by another cap. A lowered cap revokes all limits, and the caller has to wait: new
// ones are granted by what the tasks still hold. Pools with the new configuration start nothing meanwhile.
func (a *Allocator) stamp(t *tenant) (revoked bool) {
	for _, c := range t.cells {
		if l := c.limit(); l.Allowed != (work.Resources{}) && t.version >= l.Version && Lowers(t.cap, l.Cap) {
			revoked = true
		}
	}
	for _, c := range t.cells {
		l := c.limit()
		switch {
		case l.Allowed == (work.Resources{}):
		case revoked:
			if !a.withoutForfeit {
				t.inherited = amount{}
			}
			a.set(c, Limit{})
		case l.Cap != t.cap && t.version >= l.Version:
			l.Cap, l.Version, l.Whole = t.cap, t.version, false
			a.set(c, l)
		}
	}
	return revoked
}

// baseOf returns the amount that each pool keeps while nobody needs it.
func (a *Allocator) baseOf(caps amount) amount {
	n := int64(len(a.pools))
	if n > maxBasePools {
		return amount{}
	}
	for d := range caps {
		caps[d] /= max(baseShare, n*baseTotal)
	}
	return caps
}

func (a *Allocator) newDivision(t *tenant, base amount) *division {
	d := &division{t: t, caps: amountOf(t.cap), base: base}
	var sum amount
	exceeding := false
	cells := make([]*cell, 0, len(t.cells)+1)
	for _, pool := range slices.Sorted(maps.Keys(t.cells)) {
		cells = append(cells, t.cells[pool])
	}
	if !a.allKnown() && !a.withoutRest { // limits may only move between the known partitions
		rest := d.caps.minus(t.inherited).max(amount{})
		cells = append(cells, &cell{part: &part{}, sent: []sentLimit{{0, Limit{Allowed: rest.resources(), Cap: t.cap}}}})
	}
	for _, c := range cells {
		if base == (amount{}) && c.idle() {
			continue // of hundreds of pools, a tenant uses few at a time
		}
		d.cells = append(d.cells, c)
		if a.withoutSilent && !c.part.live() {
			continue
		}
		sum, d.held = sum.plus(c.count()), d.held.plus(amountOf(c.usage.Held))
		exceeding = exceeding || c.mayExceed()
		for i := range c.sent { // a raised cap counts once no pool has a limit by a lower one
			if l := &c.sent[i].limit; l.Allowed != (work.Resources{}) {
				d.caps = lowest(d.caps, amountOf(l.Cap))
			}
		}
	}
	for i := range d.caps {
		d.free[i], d.step[i] = d.caps[i]-sum[i], max(d.caps[i]/stepShare, 1)
	}
	if exceeding {
		d.free = d.free.min(amount{})
	}
	return d
}

// idle reports whether the cell may hold nothing and waits for nothing.
func (c *cell) idle() bool {
	u := &c.usage
	return c.count() == (amount{}) && u.Next == (work.Resources{}) && u.Waiting == (work.Resources{}) && u.Wanted == (work.Resources{})
}

// overcommitted reports whether a pool holds so much beyond its limit that the limits of the others may raise the total above
// the cap. That can be after the tenant had no cap for a while: then all limits are revoked.
func (d *division) overcommitted() bool {
	var beyond, within amount
	for _, c := range d.cells {
		held, allowed := amountOf(c.usage.Held), amountOf(c.limit().Allowed)
		if held.within(allowed, d.caps) || c.mayExceed() {
			within = within.plus(allowed)
		} else {
			beyond = beyond.plus(held)
		}
	}
	return within != (amount{}) && beyond != (amount{}) && !beyond.plus(within).within(d.caps, d.caps)
}

// lowest returns the lower of two caps for each resource that the first one limits.
func lowest(caps, other amount) amount {
	for i := range caps {
		if other[i] > 0 {
			caps[i] = min(caps[i], other[i])
		}
	}
	return caps
}

// needed reports whether some pool lacks an allowance, and sorts the cells.
func (d *division) needed(round uint64) bool {
	needed := false
	for _, c := range d.cells {
		waits := c.part.live() && d.waits(c)
		switch {
		case !waits:
			c.short = 0
		case c.short == 0, c.usage.Held != (work.Resources{}): // what holds something goes behind what waits for its first task
			c.short = round
		}
		needed = needed || waits || c.part.live() && (d.lacksBase(c) || d.wants(c)) || c.mayExceed()
	}
	slices.SortStableFunc(d.cells, func(x, y *cell) int {
		if x.short == 0 || y.short == 0 {
			return cmp.Compare(y.short, x.short)
		}
		return cmp.Compare(x.short, y.short)
	})
	return needed
}

// waits reports whether the limit holds back a task that could start under the cap.
func (d *division) waits(c *cell) bool {
	u, l := &c.usage, c.limit()
	return u.Next != (work.Resources{}) && !l.Allows(u.Held, u.Next, u.Member, d.t.cap) && amountOf(u.Next.Minus(u.Member)).within(d.caps, d.caps)
}

// oversized reports whether a cell waits for a task that needs more than the cap.
func (d *division) oversized(c *cell) bool {
	return c.short > 0 && !amountOf(c.usage.Next).within(d.caps, d.caps)
}

func (d *division) lacksBase(c *cell) bool {
	allowed := amountOf(c.limit().Allowed)
	for i := range allowed {
		if allowed[i] < d.base[i]/2 {
			return true
		}
	}
	return false
}

// wants reports whether a cell could use a higher limit for tasks for which the pool has no room yet.
func (d *division) wants(c *cell) bool {
	return c.usage.Wanted != (work.Resources{}) && !amountOf(c.usage.Held).plus(amountOf(c.usage.Wanted)).within(amountOf(c.limit().Allowed).plus(d.step), d.caps)
}

// setTargets divides the cap: a first task for pools that wait and hold nothing, then what is held and waits, evenly, then
// the bases, and then what could be used later.
func (d *division) setTargets() {
	n := len(d.cells)
	floors, demands, wants := make([]amount, n), make([]amount, n), make([]amount, n)
	total := d.caps
	for i, c := range d.cells {
		if !c.part.live() {
			floors[i] = c.count()
			demands[i], wants[i] = floors[i], floors[i]
			total = total.minus(floors[i])
		}
	}
	left := total
	busy := d.busy()
	for i, c := range d.cells {
		if c.short == 0 || !c.part.live() || busy && c.usage.Held != (work.Resources{}) {
			continue
		}
		first := amountOf(c.usage.Held).plus(amountOf(c.usage.Next))
		if d.whole == nil && !busy && left == d.caps && d.oversized(c) {
			first, d.whole = d.caps, c
		}
		if first.within(left, d.caps) {
			floors[i], left = first, left.minus(first)
			d.unsatisfied = true
		}
	}
	for i, c := range d.cells {
		if !c.part.live() {
			continue
		}
		u, allowed := &c.usage, amountOf(c.limit().Allowed)
		demands[i] = amountOf(u.Held).plus(amountOf(u.Waiting)).max(floors[i])
		if c.fresh != c.part.answered && allowed != (amount{}) {
			demands[i] = allowed // what it uses is not known yet
		} else if c.short == 0 && u.Held != (work.Resources{}) {
			demands[i] = demands[i].plus(d.step)
		}
	}
	d.targets = make([]amount, n)
	for r := range kinds {
		if d.caps[r] == 0 {
			continue
		}
		level(d.targets, floors, demands, r, d.caps[r])
		for i, c := range d.cells {
			wants[i][r] = max(wants[i][r], d.targets[i][r])
			if c.part.live() {
				wants[i][r] = max(wants[i][r], d.base[r])
			}
		}
		level(d.targets, d.targets, wants, r, d.caps[r])
		for i, c := range d.cells {
			if c.part.live() {
				wants[i][r] = max(d.targets[i][r], demands[i][r]+amountOf(c.usage.Wanted)[r])
			}
		}
		level(d.targets, d.targets, wants, r, d.caps[r])
	}
}

// busy reports whether the tenant holds half of its cap, so that a pool may wait for others.
func (d *division) busy() bool {
	for r := range kinds {
		if d.caps[r] > 0 && 2*d.held[r] >= d.caps[r] {
			return true
		}
	}
	return false
}

// level sets targets between floors and demands so that none above its floor exceeds a common level, and their sum exceeds
// total only if that of the floors does.
func level(targets, floors, demands []amount, r int, total int64) {
	sum := func(level int64) (out int64) {
		for i := range floors {
			out += max(floors[i][r], min(demands[i][r], level))
		}
		return out
	}
	low, high := int64(0), total
	for low < high {
		if mid := (low + high + 1) / 2; sum(mid) <= total {
			low = mid
		} else {
			high = mid - 1
		}
	}
	for i := range floors {
		targets[i][r] = max(floors[i][r], min(demands[i][r], low))
	}
}

// raises reports whether a cell is to get a higher limit.
func (d *division) raises(c *cell) bool {
	return c.part.live() && (c.short > 0 || d.lacksBase(c) || d.wants(c))
}

// lower takes back what cells have above their targets, if the others need more than is free.
func (d *division) lower(a *Allocator) {
	need := amount{}
	for i, c := range d.cells {
		if !d.raises(c) {
			continue
		}
		count := c.count()
		for r := range kinds {
			need[r] += max(0, d.targets[i][r]-count[r])
		}
	}
	lacking := !need.within(d.free, d.caps)
	for i, c := range d.cells {
		l := c.limit()
		if l.Whole && c != d.whole {
			l.Whole = false
			a.set(c, l)
		}
		if !lacking || !c.part.live() {
			continue
		}
		allowed := amountOf(l.Allowed)
		next := allowed
		for r := range kinds {
			if excess := allowed[r] - d.targets[i][r]; d.caps[r] > 0 && (excess >= d.step[r] || excess > 0 && d.unsatisfied) {
				next[r] = d.targets[i][r]
			}
		}
		if next != allowed {
			l.Allowed = next.resources()
			a.set(c, l)
		}
	}
}

// raise raises the limits of those that lack something, from what is free. While the counts exceed the cap, none is raised, not
// even to what a cell holds: it could start tasks once some of its own have ended, and before those of the others have.
func (d *division) raise(a *Allocator) {
	if !(amount{}).within(d.free, d.caps) && !a.withoutExcess {
		return
	}
	for i, c := range d.cells {
		if !d.raises(c) {
			continue
		}
		before, count := c.limit(), c.count()
		allowed := amountOf(before.Allowed)
		next, reached, step := allowed, true, false
		for r := range kinds {
			if d.caps[r] == 0 {
				next[r] = 0
				continue
			}
			next[r] = max(allowed[r], min(d.targets[i][r], count[r]+max(0, d.free[r])))
			reached = reached && next[r] >= d.targets[i][r]
			step = step || next[r]-allowed[r] >= d.step[r]
		}
		l := Limit{Allowed: next.resources(), Cap: d.t.cap, Version: d.t.version}
		l.Whole = c == d.whole && next == d.caps && d.alone(c)
		starts := c.short > 0 && l.Allows(c.usage.Held, c.usage.Next, c.usage.Member, d.t.cap)
		if next == allowed && l.Whole == before.Whole || !reached && !step && !starts && !l.Whole {
			continue
		}
		for r := range kinds {
			d.free[r] -= max(0, next[r]-count[r])
		}
		a.set(c, l)
	}
}

// alone reports whether no other cell may hold anything.
func (d *division) alone(c *cell) bool {
	for _, x := range d.cells {
		if x != c && x.count() != (amount{}) {
			return false
		}
	}
	return true
}
