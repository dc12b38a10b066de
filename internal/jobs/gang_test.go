package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// newGangPool returns a pool with some targets of 16 cores and waiting gangs.
func newGangPool(t testing.TB, targets, gangs int, step work.Step) *harness {
	t.Helper()
	h := newHarness(t, targets)
	for i := range gangs {
		step.Gang = true
		h.pool.Restore(h.now, &Record{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: testQueue, Pool: "pool", Accepted: h.now, Spec: work.Spec{Steps: []work.Step{step}}})
	}
	return h
}

// planFor plans each 10 ms for some time.
func (h *harness) planFor(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(10 * time.Millisecond) {
		h.pool.replan = true
		h.pool.Plan(h.now)
	}
}

// Guards against an owner that does nothing but search places for a few legal gangs, and so lets the leases of its targets expire:
// the searches take the part of the processor that they may, and each gang still gets its turn.
func TestLargeGangsAreTriedInTurn(t *testing.T) {
	const targets, gangs, members, period = 60, 5, 10_000, time.Second
	h := newGangPool(t, targets, gangs, work.Step{Count: members, Need: work.Resources{CPU: 97}}) // 9,900 of them fit
	begin := h.now
	h.planFor(period)
	oneEach := gangs * members * targets * gangVisitTime
	if got, want := h.pool.gangSearches.Sub(begin), period+oneEach; got > want {
		t.Errorf("time of searches in %v: got %v, want at most %v", period, got, want)
	}
	for i := range 2 {
		h.register(work.TargetID(fmt.Sprintf("more%d", i)))
		h.deliverReport(work.TargetID(fmt.Sprintf("more%d", i)))
	}
	h.planFor(2 * oneEach)
	planned := 0
	for _, j := range h.pool.active {
		if j.occurrences[0].steps[0].waiting == 0 {
			planned++
		}
	}
	if got, want := planned, 1; got != want {
		t.Errorf("gangs on targets after these have room for one: got %d, want %d", got, want)
	}
}

// Guards against gangs of ordinary jobs that aren't tried in each round.
func TestOrdinaryGangsAreTriedInEachRound(t *testing.T) {
	h := newGangPool(t, 60, 30, work.Step{Count: 24, Need: work.Resources{CPU: 12_000}})
	h.planFor(time.Second)
	for _, j := range h.pool.active {
		if got := j.occurrences[0].steps[0].gangRetryAt; got.After(h.now) {
			t.Errorf("a gang that waits is tried again at %v, want in each round", got)
		}
	}
}

// BenchmarkPlanGangs measures a round of planning in which gangs wait that don't fit.
func BenchmarkPlanGangs(b *testing.B) {
	for _, sameRack := range []bool{false, true} {
		b.Run(fmt.Sprintf("same_rack=%v", sameRack), func(b *testing.B) {
			h := newGangPool(b, 60, 5, work.Step{Count: 10_000, SameRack: sameRack, Need: work.Resources{CPU: 97}})
			for b.Loop() {
				h.planFor(10 * time.Millisecond)
			}
		})
	}
}
