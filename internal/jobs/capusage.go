package jobs

import (
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// freeRoom is the room on the targets.
type freeRoom struct {
	targets []*target        // the usable ones
	free    []work.Resources // of targets
	sum     work.Resources
	all     []*target // all registered ones
	counts  map[roomKey]roomCount
}

// roomKey is what decides on how many targets there is room for a task.
type roomKey struct {
	need         work.Resources
	label        string
	maxPerTarget int
}

// roomCount says how many tasks fit now, and whether one could ever.
type roomCount struct {
	now  int
	ever bool
}

func (p *Pool) newFreeRoom(now time.Time) *freeRoom {
	room := &freeRoom{counts: map[roomKey]roomCount{}}
	for _, t := range p.targets {
		if t.registered {
			room.all = append(room.all, t)
		}
		if !t.usable(now) || t.trial != nil {
			continue
		}
		free := t.Capacity.Minus(t.reserved).AtLeastZero()
		room.targets, room.free, room.sum = append(room.targets, t), append(room.free, free), room.sum.Plus(free)
	}
	return room
}

// count returns how many tasks of a step, each apart from all others, fit the targets. A pool without targets may get some.
func (f *freeRoom) count(spec *work.Step) roomCount {
	key := roomKey{reservation(spec), spec.Label, spec.MaxPerTarget}
	c, known := f.counts[key]
	if known {
		return c
	}
	for i, t := range f.targets {
		if t.hasLabel(spec.Label) {
			n := timesIn(key.need, f.free[i])
			if spec.MaxPerTarget > 0 {
				n = min(n, spec.MaxPerTarget)
			}
			c.now += n
		}
	}
	c.ever = len(f.all) == 0 || slices.ContainsFunc(f.all, func(t *target) bool { return t.hasLabel(spec.Label) && key.need.Fits(t.Capacity) })
	f.counts[key] = c
	return c
}

func (t *target) hasLabel(label string) bool { return label == "" || slices.Contains(t.Labels, label) }

// timesIn returns how often an amount fits into another one.
func timesIn(need, free work.Resources) int {
	n := 1 << 20
	if need.CPU > 0 {
		n = min(n, int(free.CPU/need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int(free.Memory/need.Memory))
	}
	if need.GPU > 0 {
		n = min(n, int(free.GPU/need.GPU))
	}
	return n
}

// tenantWait collects what one tenant waits for.
type tenantWait struct {
	usage   *quota.Usage
	cap     work.Resources
	limit   quota.Limit
	room    work.Resources // what is left of the free resources
	counted int            // searches for room
}

// updateUsage computes what the tenants with a cap wait for, unless that was done less than usageValidity ago.
func (p *Pool) updateUsage(now time.Time) {
	if !p.caps.usageAt.IsZero() && now.Sub(p.caps.usageAt) < usageValidity {
		return
	}
	p.caps.usageAt, p.caps.usage = now, nil
	var room *freeRoom
	waits := map[work.TenantID]*tenantWait{}
	for _, j := range p.active {
		if j.tenant == "" {
			continue
		}
		w := waits[j.tenant]
		if w == nil {
			w = &tenantWait{}
			w.cap, w.limit = p.capOf(j.tenant)
			waits[j.tenant] = w
		}
		if !quota.Limits(w.cap) || !j.hasRunnable() {
			continue
		}
		if room == nil {
			room = p.newFreeRoom(now)
		}
		if w.usage == nil {
			w.usage, w.room = &quota.Usage{}, room.sum
		}
		p.addWaiting(j, w, room)
	}
	for id, w := range waits {
		if w.usage != nil {
			if p.caps.usage == nil {
				p.caps.usage = map[work.TenantID]*quota.Usage{}
			}
			p.caps.usage[id] = w.usage
		}
	}
	p.reportHeldBack(now)
}

// addWaiting adds the waiting tasks of a job to those of its tenant.
func (p *Pool) addWaiting(j *job, w *tenantWait, room *freeRoom) {
	held := p.caps.held[j.tenant]
	for _, o := range j.occurrences {
		for s := range o.steps {
			st, spec := &o.steps[s], &j.spec.Steps[s]
			if st.waiting == 0 || st.pendingDeps > 0 {
				continue
			}
			need, together := reservation(spec), 1
			if spec.Gang {
				together = st.waiting
			}
			n := min(st.waiting, timesIn(need, w.room))
			if w.counted < maxPlacements {
				w.counted++
				c := room.count(spec)
				if !c.ever {
					continue // a job that can't run must not keep allowances from others
				}
				n = min(n, c.now)
			}
			n -= n % together
			w.room = w.room.Minus(need.Times(n))
			w.usage.Waiting = w.usage.Waiting.Plus(spec.Need.Times(n))
			w.usage.Wanted = w.usage.Wanted.Plus(spec.Need.Times(st.waiting - n))
			all := spec.Need.Times(together)
			if n > 0 && w.usage.Next == (work.Resources{}) && !w.limit.Allows(held, all, spec.Need, w.cap) && mayEverStart(all, spec.Need, w.cap) {
				w.usage.Next, w.usage.Member = all, spec.Need
			}
		}
	}
}

// mayEverStart reports whether a task, or a gang, exceeds the cap by at most one task.
func mayEverStart(all, member, c work.Resources) bool {
	whole := quota.Limit{Whole: true, Cap: c}
	return whole.Allows(work.Resources{}, all, member, c)
}
