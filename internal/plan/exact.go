package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// ExactMoves finds the fewest moves of any plan for d with the given reserve, by
// searching all placements of the reserve in each time slot from start to end.
// It reports false when no plan meets every need and reboot window. Its cost
// grows exponentially, so it is only for a few pools, VMs and slots. The result
// is exact under the assumptions of Demand, with time in slots and the cycle of
// a reboot window taken as one slot.
func (d *Demand) ExactMoves(reserve int, start, end time.Time, slot time.Duration) (moves int, ok bool) {
	x := &search{demand: d, reserve: reserve, slot: slot}
	for _, n := range d.Needs {
		x.addPool(n.Pool)
	}
	left := make([]int, len(d.Reboots))
	for i, rw := range d.Reboots {
		x.addPool(rw.Pool)
		left[i] = rw.VMs
	}
	frontier := map[string]searchState{}
	x.keepCheapest(frontier, searchState{held: make([]int, len(x.pools)), rebootsLeft: left})
	for at := start; at.Before(end); at = at.Add(slot) {
		next := map[string]searchState{}
		for _, s := range frontier {
			x.expand(next, s, at)
		}
		frontier = next
	}
	for _, s := range frontier {
		if !ok || s.moves < moves {
			moves, ok = s.moves, true
		}
	}
	return moves, ok
}

// ExactReserve finds the smallest reserve, up to most, for which ExactMoves finds a plan.
func (d *Demand) ExactReserve(most int, start, end time.Time, slot time.Duration) (reserve int, ok bool) {
	for r := 0; r <= most; r++ {
		if _, ok := d.ExactMoves(r, start, end, slot); ok {
			return r, true
		}
	}
	return 0, false
}

// search is one run of ExactMoves.
type search struct {
	demand  *Demand
	reserve int
	slot    time.Duration
	pools   []ident.PoolID
}

// searchState is the placement of the reserve after a slot, and what is left to do.
type searchState struct {
	held        []int // reserve VMs in each pool
	rebootsLeft []int // reboots left in each reboot window
	moves       int
}

func (x *search) addPool(p ident.PoolID) {
	if !slices.Contains(x.pools, p) {
		x.pools = append(x.pools, p)
	}
}

// keepCheapest adds a state unless an equal one was reached with as few moves.
func (x *search) keepCheapest(to map[string]searchState, s searchState) {
	key := fmt.Sprint(s.held, s.rebootsLeft)
	if old, ok := to[key]; !ok || s.moves < old.moves {
		to[key] = s
	}
}

// expand tries every placement of the reserve for the slot that begins at a time.
func (x *search) expand(to map[string]searchState, s searchState, at time.Time) {
	held := make([]int, len(x.pools))
	var place func(p, free int)
	place = func(p, free int) {
		if p == len(x.pools) {
			x.advance(to, s, held, at)
			return
		}
		for n := 0; n <= free; n++ {
			held[p] = n
			place(p+1, free-n)
		}
	}
	place(0, x.reserve)
}

// advance records the state after one slot with the placement held, if that meets the
// needs and no reboot window closes with reboots left.
func (x *search) advance(to map[string]searchState, s searchState, held []int, at time.Time) {
	next := searchState{held: slices.Clone(held), rebootsLeft: slices.Clone(s.rebootsLeft), moves: s.moves}
	for i, p := range x.pools {
		next.moves += max(0, held[i]-s.held[i])
		free := held[i]
		for j := range x.demand.Needs {
			if n := &x.demand.Needs[j]; n.Pool == p && n.active(at) {
				free--
			}
		}
		if free < 0 {
			return
		}
		for j, rw := range x.demand.Reboots {
			if rw.Pool == p && !rw.Opens.After(at) && rw.Closes.After(at) {
				done := min(free, next.rebootsLeft[j])
				next.rebootsLeft[j] -= done
				free -= done
			}
		}
	}
	for j, rw := range x.demand.Reboots {
		if !rw.Closes.After(at.Add(x.slot)) && next.rebootsLeft[j] > 0 {
			return
		}
	}
	x.keepCheapest(to, next)
}
