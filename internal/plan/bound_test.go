package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against lower bounds that are too high: in small cases neither bound may
// exceed the result of the exact search.
func TestBoundsAreBelowExactSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Hour) }
		pool := rapid.SampledFrom([]ident.PoolID{"a", "b", "c"})
		var demand Demand
		for range rapid.IntRange(0, 3).Draw(t, "needs") {
			from := rapid.IntRange(0, slots-1).Draw(t, "from")
			to := rapid.IntRange(from+1, slots).Draw(t, "to")
			demand.Needs = append(demand.Needs, Need{Pool: pool.Draw(t, "pool"), From: at(from), To: at(to), Permanent: rapid.Bool().Draw(t, "permanent")})
		}
		for _, p := range []ident.PoolID{"a", "b", "c"} {
			for _, opens := range []int{1, 4} {
				if n := rapid.IntRange(0, 2).Draw(t, "reboots"); n > 0 {
					demand.Reboots = append(demand.Reboots, RebootWindow{Pool: p, Opens: at(opens), Closes: at(opens + 3), VMs: n, Cycle: time.Hour})
				}
			}
		}
		reserve, ok := demand.ExactReserve(5, at(0), at(slots), time.Hour)
		if !ok {
			t.Skip("needs more than 5 reserve VMs")
		}
		if got := demand.ReserveLowerBound(); got > reserve {
			t.Fatalf("ReserveLowerBound = %d, but %d suffice for %+v", got, reserve, demand)
		}
		for r := reserve; r <= reserve+1; r++ {
			moves, _ := demand.ExactMoves(r, at(0), at(slots), time.Hour)
			if got := demand.MovesLowerBound(r); got > moves {
				t.Fatalf("MovesLowerBound(%d) = %d, but %d suffice for %+v", r, got, moves, demand)
			}
		}
	})
}
