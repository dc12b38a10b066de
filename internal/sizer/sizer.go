package sizer

import (
	"sort"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Pool is the state of one pool.
type Pool struct {
	ID          ident.PoolID    `cbor:"1,keyasint"`
	PoweredOff  bool            `cbor:"2,keyasint,omitempty"` // its VMs are off and cost nothing
	Targets     []Target        `cbor:"3,keyasint,omitempty"`
	Running     work.Resources  `cbor:"4,keyasint"`           // held by tasks that end by themselves
	Runnable    work.Resources  `cbor:"5,keyasint"`           // requested by tasks that could start now
	Service     work.Resources  `cbor:"6,keyasint"`           // held by service tasks, which run until their job is canceled
	ArrivalRate work.Millicores `cbor:"7,keyasint,omitempty"` // CPU time that new jobs add per unit of time
	// ForecastRate extrapolates a rising ArrivalRate to the time at which a VM that moves now is there; 0 if it isn't rising.
	ForecastRate work.Millicores `cbor:"10,keyasint,omitempty"`
	// Incoming is the capacity of VMs on their way into the pool.
	Incoming work.Millicores `cbor:"8,keyasint,omitempty"`
	// MinTargets is the number of targets needed to place any step within its limit of tasks per target.
	MinTargets int `cbor:"9,keyasint,omitempty"`
	// Tenants divides Running and Runnable by tenant, ordered by id; nil if the deployment has no tenants.
	Tenants []TenantDemand `cbor:"11,keyasint,omitempty"`
}

// Target is the state of one VM of a pool.
type Target struct {
	ID           work.TargetID  `cbor:"1,keyasint"`
	VM           work.VMID      `cbor:"2,keyasint"`
	Zone         ident.ZoneID   `cbor:"3,keyasint"`
	Capacity     work.Resources `cbor:"4,keyasint"`
	Runs         int            `cbor:"5,keyasint,omitempty"`  // tasks that run or may run on it
	ServiceTasks int            `cbor:"6,keyasint,omitempty"`  // those of Runs that are service tasks
	IdleFor      time.Duration  `cbor:"7,keyasint,omitempty"`  // how long it has had no tasks; 0 while it has some
	Draining     bool           `cbor:"8,keyasint,omitempty"`  // it will leave the pool, by its registration
	Reachable    bool           `cbor:"9,keyasint,omitempty"`  // it answers requests
	Cordoned     bool           `cbor:"10,keyasint,omitempty"` // gets no new tasks
	Excluded     bool           `cbor:"11,keyasint,omitempty"` // not counted and not moved, for example during its maintenance
	Pinned       bool           `cbor:"12,keyasint,omitempty"` // counted, but not to be moved yet
	// Incarnation is the newest one that the pool knows; 0 if the fleet controller has not asked for it.
	Incarnation int64 `cbor:"13,keyasint,omitempty"`
}

// Move assigns a VM to another pool.
type Move struct {
	VM     work.VMID
	Target work.TargetID // the target that runs on it; empty for a VM that is off
	From   ident.PoolID
	To     ident.PoolID
	Reason string
}

const (
	// headroom is the factor on the observed demand, which goes on growing while VMs move.
	headroom = 1.25
	// spareVMs is added to each pool's need, so that the next job finds capacity at once.
	spareVMs = 1
	// powerOffAfter is how long a VM must have been idle to be powered off. A move costs as much as a VM that
	// stays in a pool for about 1.2 s.
	powerOffAfter = time.Second
	// sparesKept is the number of VMs beyond its need that a pool keeps for the start of its next peak; the others
	// are powered off.
	sparesKept = 3
	// balanceAfter is how long a VM must have been idle to be moved to a pool that isn't short but has fewer spare VMs.
	balanceAfter = 400 * time.Millisecond
	// balanceGap is the smallest difference in spare VMs between two pools for which one is moved.
	balanceGap = 3
	// idleAfter is how long a VM must have been without tasks to count as idle. A cordoned VM counts as idle at once.
	idleAfter = 150 * time.Millisecond
)

// neededVMs returns the number of VMs of the given capacity that a pool needs.
func neededVMs(p *Pool, capacity work.Resources) int {
	// Service tasks need what they hold. For the other tasks the largest of three amounts counts: the forecast rate, what
	// runs and waits, and the present rate together with what waits.
	active := p.Running.Plus(p.Runnable)
	cores := p.Service.CPU + max(p.ForecastRate, work.Millicores(headroom*float64(active.CPU)), work.Millicores(headroom*float64(p.ArrivalRate))+p.Runnable.CPU)
	memory := p.Service.Memory + work.Mebibytes(headroom*float64(active.Memory))
	n := max(p.MinTargets, ceilDiv(int64(cores), int64(capacity.CPU)), ceilDiv(int64(memory), int64(capacity.Memory)))
	return n + spareVMs
}

// baseVMs returns the number of VMs that a pool needs without tasks that end by themselves.
func baseVMs(p *Pool, capacity work.Resources) int {
	n := max(p.MinTargets, ceilDiv(int64(p.Service.CPU), int64(capacity.CPU)), ceilDiv(int64(p.Service.Memory), int64(capacity.Memory)))
	return n + spareVMs
}

// ceilDiv returns a/b, rounded up; 0 if b is not positive.
func ceilDiv(a, b int64) int {
	if b <= 0 {
		return 0
	}
	return int((a + b - 1) / b)
}

// Plan is the state of one planning round; its counts include the moves planned so far.
type Plan struct {
	pools      []*poolState
	poweredOff *poolState // the pool for VMs that no pool needs; nil if there is none
}

// poolState is a pool with the counts that planning changes.
type poolState struct {
	*Pool
	need      int
	base      int // needed without tasks that end by themselves
	have      int
	idle      []Target // may be moved now
	drainable []Target // may be moved once their tasks have ended
	zones     map[ident.ZoneID]int
}

// spare returns how many VMs the pool has beyond its need; negative if it has too few.
func (p *poolState) spare() int { return p.have - p.need }

// NewPlan returns the plan for pools as they are reported, without moves.
func NewPlan(pools []Pool) *Plan {
	s := &Plan{}
	capacity := medianCapacity(pools)
	for i := range pools {
		p := &poolState{Pool: &pools[i], zones: map[ident.ZoneID]int{}}
		if !p.PoweredOff {
			p.need, p.base = neededVMs(p.Pool, capacity), baseVMs(p.Pool, capacity)
		}
		if capacity.CPU > 0 {
			p.have = int(p.Incoming / capacity.CPU)
		}
		for _, t := range p.Targets {
			p.zones[t.Zone]++
			if t.Draining || t.Excluded || (!t.Reachable && !p.PoweredOff) {
				continue
			}
			p.have++
			switch {
			case t.Pinned:
			case t.Runs == 0 && (p.PoweredOff || t.Cordoned || t.IdleFor >= idleAfter):
				p.idle = append(p.idle, t)
			case t.ServiceTasks == 0:
				p.drainable = append(p.drainable, t)
			}
		}
		sort.SliceStable(p.drainable, func(a, b int) bool { return emptiesSooner(&p.drainable[a], &p.drainable[b]) })
		sort.Slice(p.idle, func(a, b int) bool { return p.idle[a].IdleFor > p.idle[b].IdleFor })
		if p.PoweredOff && s.poweredOff == nil {
			s.poweredOff = p
		}
		s.pools = append(s.pools, p)
	}
	s.divideFairly()
	return s
}

// Moves returns the moves that bring the VMs to the pools that need them. The plan then counts them as made.
func (s *Plan) Moves() []Move {
	var moves []Move
	for _, p := range s.byShortage() {
		for p.spare() < 0 {
			m, ok := s.assignVM(p)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	moves = append(moves, s.balanceSpares()...)
	return append(moves, s.powerOff()...)
}

// medianCapacity returns the capacity of the VM that is the median by CPU. Targets that are to be asked and don't answer
// don't count: their registrations may be those of another writer.
func medianCapacity(pools []Pool) work.Resources {
	var capacities []work.Resources
	for i := range pools {
		for _, t := range pools[i].Targets {
			if t.Reachable || pools[i].PoweredOff {
				capacities = append(capacities, t.Capacity)
			}
		}
	}
	if len(capacities) == 0 {
		return work.Resources{}
	}
	sort.Slice(capacities, func(a, b int) bool { return capacities[a].CPU < capacities[b].CPU })
	return capacities[len(capacities)/2]
}

// byShortage returns the pools whose VMs are on, those that lack the most VMs first.
func (s *Plan) byShortage() []*poolState {
	var out []*poolState
	for _, p := range s.pools {
		if !p.PoweredOff {
			out = append(out, p)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].spare() < out[b].spare() })
	return out
}

// assignVM finds a VM for a pool that has too few: one that is powered off, or an idle one of the pool with the
// most spare VMs. If there is neither, it drains one.
func (s *Plan) assignVM(to *poolState) (Move, bool) {
	var from *poolState
	for _, p := range s.pools {
		if p == to || len(p.idle) == 0 {
			continue
		}
		if p.PoweredOff {
			from = p
			break
		}
		if p.spare() > 0 && (from == nil || p.spare() > from.spare()) {
			from = p
		}
	}
	if from == nil {
		return s.drainVM(to)
	}
	return s.moveIdle(from, to, "the pool has too few VMs")
}

// drainVM finds a VM without service tasks in the pool with the most spare VMs. The VM gets no new tasks and moves
// once its tasks have ended. When one pool's peak directly follows another's, few VMs of the earlier pool are idle
// yet.
func (s *Plan) drainVM(to *poolState) (Move, bool) {
	var from *poolState
	for _, p := range s.pools {
		if p != to && !p.PoweredOff && p.spare() > 0 && len(p.drainable) > 0 && (from == nil || p.spare() > from.spare()) {
			from = p
		}
	}
	if from == nil {
		return Move{}, false
	}
	t := from.drainable[0]
	from.drainable = from.drainable[1:]
	return s.recordMove(t, from, to, "the pool has too few VMs; this one is drained first"), true
}

// emptiesSooner orders VMs by how soon their tasks are expected to have ended. Cordoned VMs, which get no new tasks,
// come first.
func emptiesSooner(a, b *Target) bool {
	if a.Cordoned != b.Cordoned {
		return a.Cordoned
	}
	return a.Runs < b.Runs
}

// moveIdle moves the idle VM that evens out the zones of both pools best.
func (s *Plan) moveIdle(from, to *poolState, reason string) (Move, bool) {
	best := 0
	for i, t := range from.idle {
		if to.zones[t.Zone]-from.zones[t.Zone] < to.zones[from.idle[best].Zone]-from.zones[from.idle[best].Zone] {
			best = i
		}
	}
	t := from.idle[best]
	from.idle = append(from.idle[:best:best], from.idle[best+1:]...)
	return s.recordMove(t, from, to, reason), true
}

// recordMove counts a VM for the pool that receives it.
func (s *Plan) recordMove(t Target, from, to *poolState, reason string) Move {
	from.have--
	to.have++
	from.zones[t.Zone]--
	to.zones[t.Zone]++
	return Move{VM: t.VM, Target: t.ID, From: from.ID, To: to.ID, Reason: reason}
}

// balanceSpares spreads the spare VMs over the pools, so that a pool has some at
// the start of its peak, while further ones take time to move.
func (s *Plan) balanceSpares() []Move {
	var moves []Move
	for {
		var from, to *poolState
		for _, p := range s.pools {
			if p.PoweredOff {
				continue
			}
			if len(p.idle) > 0 && p.idle[0].IdleFor >= balanceAfter && (from == nil || p.spare() > from.spare()) {
				from = p
			}
			if to == nil || p.spare() < to.spare() {
				to = p
			}
		}
		if from == nil || from == to || to.spare() >= sparesKept || from.spare()-to.spare() < balanceGap {
			return moves
		}
		m, ok := s.moveIdle(from, to, "the pool has fewer spare VMs")
		if !ok {
			return moves
		}
		moves = append(moves, m)
	}
}

// powerOff moves VMs that have been idle for long and that their pool doesn't need into the powered-off pool.
func (s *Plan) powerOff() []Move {
	var moves []Move
	if s.poweredOff == nil {
		return nil
	}
	for _, p := range s.pools {
		if p.PoweredOff {
			continue
		}
		for p.spare() > sparesKept && len(p.idle) > 0 && p.idle[0].IdleFor >= powerOffAfter {
			m, ok := s.moveIdle(p, s.poweredOff, "no pool needs the VM")
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// Size is the number of VMs that a pool has, that it needs, and that could be moved from it now.
type Size struct {
	Have int
	Need int
	Idle int
}

// Spare returns how many VMs the pool has beyond its need; negative if it has too few.
func (s Size) Spare() int { return s.Have - s.Need }

// Sizes returns the sizes of the pools.
func (s *Plan) Sizes() map[ident.PoolID]Size {
	out := map[ident.PoolID]Size{}
	for _, p := range s.pools {
		out[p.ID] = Size{Have: p.have, Need: p.need, Idle: len(p.idle)}
	}
	return out
}

// Reserve returns, for each pool, the CPU capacity that is on its way to it or that other pools could give it.
func (s *Plan) Reserve() map[ident.PoolID]work.Millicores {
	total := work.Millicores(0)
	idle := map[ident.PoolID]work.Millicores{}
	for _, p := range s.pools {
		for i, t := range p.idle {
			if p.PoweredOff || i < p.spare() {
				idle[p.ID] += t.Capacity.CPU
				total += t.Capacity.CPU
			}
		}
	}
	out := map[ident.PoolID]work.Millicores{}
	for _, p := range s.pools {
		out[p.ID] = p.Incoming + total - idle[p.ID]
	}
	return out
}
