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
	PoweredOff  bool            `cbor:"2,keyasint,omitempty"` // its VMs are off
	Targets     []Target        `cbor:"3,keyasint,omitempty"`
	Running     work.Resources  `cbor:"4,keyasint"`           // held by tasks that end
	Runnable    work.Resources  `cbor:"5,keyasint"`           // asked for by tasks that could start
	Service     work.Resources  `cbor:"6,keyasint"`           // held by tasks that last
	ArrivalRate work.Millicores `cbor:"7,keyasint,omitempty"` // processor time asked for per time by new jobs
	// ForecastRate is ArrivalRate by the time that a VM takes to move, if it goes on rising; 0 if it doesn't rise.
	ForecastRate work.Millicores `cbor:"10,keyasint,omitempty"`
	// Incoming is the room of VMs on their way into the pool.
	Incoming work.Millicores `cbor:"8,keyasint,omitempty"`
	// MinTargets is the number of targets that the step needs whose tasks have to be the most apart.
	MinTargets int `cbor:"9,keyasint,omitempty"`
}

// Target is the state of one VM of a pool.
type Target struct {
	ID           work.TargetID  `cbor:"1,keyasint"`
	Machine      work.MachineID `cbor:"2,keyasint"`
	Zone         ident.ZoneID   `cbor:"3,keyasint"`
	Capacity     work.Resources `cbor:"4,keyasint"`
	Runs         int            `cbor:"5,keyasint,omitempty"` // tasks that it runs or may run
	ServiceTasks int            `cbor:"6,keyasint,omitempty"`
	IdleFor      time.Duration  `cbor:"7,keyasint,omitempty"`
	Draining     bool           `cbor:"8,keyasint,omitempty"`
	Reachable    bool           `cbor:"9,keyasint,omitempty"` // it answers
	Cordoned     bool           `cbor:"10,keyasint,omitempty"`
	Excluded     bool           `cbor:"11,keyasint,omitempty"` // takes no part, for example during its upkeep
	Pinned       bool           `cbor:"12,keyasint,omitempty"` // not to be moved yet
}

// Move gives a VM to another pool.
type Move struct {
	Machine work.MachineID
	Target  work.TargetID // its present life; empty for a VM that is off
	From    ident.PoolID
	To      ident.PoolID
	Reason  string
}

const (
	// headroom is kept over the demand seen: more of it is on its way while VMs move.
	headroom = 1.25
	// cushion is the number of VMs that a pool keeps beyond its need, so that the next job finds room at once.
	cushion = 1
	// parkAfter is how long a VM must have been idle to be parked. A move costs what a VM in a pool costs in about 1.2 s.
	parkAfter = time.Second
	// keepSpare is the number of VMs to spare that a pool keeps for the start of its turn; what is beyond is parked.
	keepSpare = 3
	// balanceAfter is how long a VM must have been idle to be moved to a pool that merely has less to spare.
	balanceAfter = 400 * time.Millisecond
	// balanceGap is the difference in spare VMs from which pools are evened out.
	balanceGap = 3
	// lendAfter is how long a VM must have been idle to be lent at once; one that is cordoned need not have been.
	lendAfter = 150 * time.Millisecond
)

// need is the number of VMs of the given room that a pool needs.
func need(p *Pool, room work.Resources) int {
	active := p.Running.Plus(p.Runnable)
	cores := p.Service.CPU + max(p.ForecastRate, work.Millicores(headroom*float64(active.CPU)), work.Millicores(headroom*float64(p.ArrivalRate))+p.Runnable.CPU)
	memory := p.Service.Memory + work.Mebibytes(headroom*float64(active.Memory))
	n := max(p.MinTargets, quotient(int64(cores), int64(room.CPU)), quotient(int64(memory), int64(room.Memory)))
	return n + cushion
}

// quotient is how many parts of a size make up a whole, rounded up.
func quotient(whole, part int64) int {
	if part <= 0 {
		return 0
	}
	return int((whole + part - 1) / part)
}

// PlanMoves returns the moves that bring the VMs to where they are needed.
func PlanMoves(pools []Pool) []Move {
	s := newState(pools)
	var moves []Move
	for _, p := range s.shortFirst() {
		for p.spare() < 0 {
			m, ok := s.lend(p)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	moves = append(moves, s.balance()...)
	return append(moves, s.park()...)
}

type state struct {
	pools  []*poolState
	parked *poolState // the pool that takes VMs nobody needs; nil if there is none
}

type poolState struct {
	*Pool
	need  int
	have  int
	idle  []Target // may be taken away
	busy  []Target // may be taken away once their tasks have ended
	zones map[ident.ZoneID]int
}

// spare is how many VMs the pool has beyond its need; negative if it is short.
func (p *poolState) spare() int { return p.have - p.need }

func newState(pools []Pool) *state {
	s := &state{}
	room := typicalRoom(pools)
	for i := range pools {
		p := &poolState{Pool: &pools[i], zones: map[ident.ZoneID]int{}}
		if !p.PoweredOff {
			p.need = need(p.Pool, room)
		}
		if room.CPU > 0 {
			p.have = int(p.Incoming / room.CPU)
		}
		for _, t := range p.Targets {
			p.zones[t.Zone]++
			if t.Draining || t.Excluded || (!t.Reachable && !p.PoweredOff) {
				continue
			}
			p.have++
			switch {
			case t.Pinned:
			case t.Runs == 0 && (p.PoweredOff || t.Cordoned || t.IdleFor >= lendAfter):
				p.idle = append(p.idle, t)
			case t.ServiceTasks == 0:
				p.busy = append(p.busy, t)
			}
		}
		sort.SliceStable(p.busy, func(a, b int) bool { return soonEmpty(&p.busy[a], &p.busy[b]) })
		sort.Slice(p.idle, func(a, b int) bool { return p.idle[a].IdleFor > p.idle[b].IdleFor })
		if p.PoweredOff && s.parked == nil {
			s.parked = p
		}
		s.pools = append(s.pools, p)
	}
	return s
}

func typicalRoom(pools []Pool) work.Resources {
	var rooms []work.Resources
	for i := range pools {
		for _, t := range pools[i].Targets {
			rooms = append(rooms, t.Capacity)
		}
	}
	if len(rooms) == 0 {
		return work.Resources{}
	}
	sort.Slice(rooms, func(a, b int) bool { return rooms[a].CPU < rooms[b].CPU })
	return rooms[len(rooms)/2]
}

// shortFirst returns the pools that run VMs, those that lack the most first.
func (s *state) shortFirst() []*poolState {
	var out []*poolState
	for _, p := range s.pools {
		if !p.PoweredOff {
			out = append(out, p)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].spare() < out[b].spare() })
	return out
}

// lend finds a VM for a pool that is short: a parked one, or an idle one of the pool with the most to spare.
func (s *state) lend(to *poolState) (Move, bool) {
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
		return s.empty(to)
	}
	return s.move(from, to, "the pool is short")
}

// empty finds a VM with tasks that end, in the pool with the most to spare: it gets no new ones, and moves when
// it is empty. Where turns follow each other, few VMs of the former one are idle while it fades.
func (s *state) empty(to *poolState) (Move, bool) {
	var from *poolState
	for _, p := range s.pools {
		if p != to && !p.PoweredOff && p.spare() > 0 && len(p.busy) > 0 && (from == nil || p.spare() > from.spare()) {
			from = p
		}
	}
	if from == nil {
		return Move{}, false
	}
	t := from.busy[0]
	from.busy = from.busy[1:]
	return s.transfer(t, from, to, "the pool is short, the VM is to become empty"), true
}

// soonEmpty orders VMs by how soon their tasks will have ended; those that get no new ones stay first.
func soonEmpty(a, b *Target) bool {
	if a.Cordoned != b.Cordoned {
		return a.Cordoned
	}
	return a.Runs < b.Runs
}

// move takes the idle VM whose zone the receiving pool has the fewest of.
func (s *state) move(from, to *poolState, reason string) (Move, bool) {
	best := 0
	for i, t := range from.idle {
		if to.zones[t.Zone]-from.zones[t.Zone] < to.zones[from.idle[best].Zone]-from.zones[from.idle[best].Zone] {
			best = i
		}
	}
	t := from.idle[best]
	from.idle = append(from.idle[:best:best], from.idle[best+1:]...)
	return s.transfer(t, from, to, reason), true
}

// transfer counts a VM for the pool that receives it.
func (s *state) transfer(t Target, from, to *poolState, reason string) Move {
	from.have--
	to.have++
	from.zones[t.Zone]--
	to.zones[t.Zone]++
	return Move{Machine: t.Machine, Target: t.ID, From: from.ID, To: to.ID, Reason: reason}
}

// balance spreads the VMs that are to spare over the pools: a pool whose turn
// comes has some at once, while others take their time to move.
func (s *state) balance() []Move {
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
		if from == nil || from == to || to.spare() >= keepSpare || from.spare()-to.spare() < balanceGap {
			return moves
		}
		m, ok := s.move(from, to, "the pool has less to spare")
		if !ok {
			return moves
		}
		moves = append(moves, m)
	}
}

// park moves VMs that have been idle for long, and that their pool doesn't need, into the parked pool.
func (s *state) park() []Move {
	var moves []Move
	if s.parked == nil {
		return nil
	}
	for _, p := range s.pools {
		if p.PoweredOff {
			continue
		}
		for p.spare() > keepSpare && len(p.idle) > 0 && p.idle[0].IdleFor >= parkAfter {
			m, ok := s.move(p, s.parked, "nobody needs the VM")
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// Size is how many VMs a pool has, and how many it needs.
type Size struct {
	Have int
	Need int
	Idle int
}

// Spare is how many VMs the pool has beyond its need; negative if it is short.
func (s Size) Spare() int { return s.Have - s.Need }

// Sizes returns the sizes of the pools.
func Sizes(pools []Pool) map[ident.PoolID]Size {
	out := map[ident.PoolID]Size{}
	for _, p := range newState(pools).pools {
		out[p.ID] = Size{Have: p.have, Need: p.need, Idle: len(p.idle)}
	}
	return out
}

// Reserve returns the room that is on its way to each pool, or that others could lend it.
func Reserve(pools []Pool) map[ident.PoolID]work.Millicores {
	s := newState(pools)
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
