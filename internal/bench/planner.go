package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// PlannerResult compares the planner with two baselines and with lower bounds in a replay
// over five weeks. Buffers are spare VM-hours as defined in docs/decisions/buffer.md.
type PlannerResult struct {
	Fleet       string `json:"fleet"`
	Seed        uint64 `json:"seed"`
	VMs         int    `json:"vms"` // without reserve VMs
	Pools       int    `json:"pools"`
	ReturnedVMs int    `json:"returned_vms"`

	BudgetViolations int `json:"budget_violations"`
	// VMs of two racks failed within an hour, before a replacement could serve.
	UnavoidableTwoRacks int `json:"unavoidable_two_racks_within_an_hour"`
	// A VM failed while a rack was lost and every reserve VM was in use.
	UnavoidableDuringRackLoss int `json:"unavoidable_failure_during_rack_loss"`
	LateReturns               int `json:"late_returns"`
	WaveRebootsMissed         int `json:"wave_reboots_missed"`
	DrainsWithoutHeadroom     int `json:"headroom_waived"`
	HeadroomGaps              int `json:"headroom_gaps"`
	UnacceptedRecords         int `json:"void_records"`

	// Smallest reserve that keeps everything: shared by all pools (the planner), and a fixed one for each
	// pool (the static baseline).
	ReserveVMs              int     `json:"reserve_vms"`
	ReserveStaticVMs        int     `json:"reserve_static_vms"`
	ReserveLowerBoundVMs    int     `json:"reserve_lower_bound_vms"`
	BufferVMHours           float64 `json:"buffer_vm_hours"`
	BufferStaticVMHours     float64 `json:"buffer_static_vm_hours"`
	BufferLowerBoundVMHours float64 `json:"buffer_lower_bound_vm_hours"`

	Moves            int `json:"moves"`
	MovesLowerBound  int `json:"moves_lower_bound"`
	MovesGreedy      int `json:"moves_greedy"`  // of the greedy baseline with the planner's reserve
	GreedyViolations int `json:"greedy_faults"` // budgets, deadlines and headroom that it did not keep

	Rounds         int     `json:"rounds"`
	PlanMsPerRound float64 `json:"plan_ms_per_round"`
}

// Limits of the search for the smallest reserve, and of the regions that are replayed concurrently.
const (
	maxReserveTries      = 6 // reserves tried above the lower bound
	maxConcurrentRegions = 5
	maxStaticTries       = 16
)

// Planner replays the calendar of the named fleet size, which is drawn from seed. Besides the
// result it returns the first violations, one line each.
func Planner(name string, seed uint64) (PlannerResult, []string, error) {
	size, ok := fleetSizes[name]
	if !ok {
		return PlannerResult{}, nil, fmt.Errorf("fleet %q is none of kigali, quito, design", name)
	}
	regions := generateRegions(size, seed)
	results := make([]PlannerResult, len(regions))
	violations := make([][]string, len(regions))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRegions)
	for i, r := range regions {
		g.Go(func() error {
			var err error
			results[i], violations[i], err = replayRegion(r)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return PlannerResult{}, nil, err
	}
	total := PlannerResult{Fleet: name, Seed: seed, Rounds: results[0].Rounds}
	for i := range results {
		total.add(&results[i])
	}
	return total, slices.Concat(violations...), nil
}

// add adds the figures of a region; the time of a round is that of all regions together.
func (t *PlannerResult) add(r *PlannerResult) {
	t.VMs += r.VMs
	t.Pools += r.Pools
	t.ReturnedVMs += r.ReturnedVMs
	t.BudgetViolations += r.BudgetViolations
	t.UnavoidableTwoRacks += r.UnavoidableTwoRacks
	t.UnavoidableDuringRackLoss += r.UnavoidableDuringRackLoss
	t.LateReturns += r.LateReturns
	t.WaveRebootsMissed += r.WaveRebootsMissed
	t.DrainsWithoutHeadroom += r.DrainsWithoutHeadroom
	t.HeadroomGaps += r.HeadroomGaps
	t.UnacceptedRecords += r.UnacceptedRecords
	t.ReserveVMs += r.ReserveVMs
	t.ReserveStaticVMs += r.ReserveStaticVMs
	t.ReserveLowerBoundVMs += r.ReserveLowerBoundVMs
	t.BufferVMHours += r.BufferVMHours
	t.BufferStaticVMHours += r.BufferStaticVMHours
	t.BufferLowerBoundVMHours += r.BufferLowerBoundVMHours
	t.Moves += r.Moves
	t.MovesLowerBound += r.MovesLowerBound
	t.MovesGreedy += r.MovesGreedy
	t.GreedyViolations += r.GreedyViolations
	t.PlanMsPerRound += r.PlanMsPerRound
}

// replayRegion replays the calendar of r with the planner and both baselines.
func replayRegion(r *region) (PlannerResult, []string, error) {
	demand := demandOf(r, false)
	lowerBound := reserveLowerBound(r, demand)
	reserve, s := smallestSharedReserve(r, lowerBound)
	static, err := smallestStaticReserve(r, demand)
	if err != nil {
		return PlannerResult{}, nil, err
	}
	greedy := runReplay(r, sharedReserve(r, reserve), plan.Greedy)
	res := PlannerResult{
		VMs: len(r.file.VMs), Pools: len(r.file.Pools) - 1,
		BudgetViolations: s.budgetViolations, UnavoidableTwoRacks: s.unavoidableTwoRacks, UnavoidableDuringRackLoss: s.unavoidableDuringRackLoss, LateReturns: s.lateReturns, WaveRebootsMissed: s.waveRebootsMissed,
		DrainsWithoutHeadroom: s.drainsWithoutHeadroom, HeadroomGaps: s.headroomGaps, UnacceptedRecords: s.unacceptedRecords,
		ReserveVMs: reserve, ReserveStaticVMs: static, ReserveLowerBoundVMs: lowerBound,
		BufferVMHours: r.bufferHours(reserve), BufferStaticVMHours: r.bufferHours(static), BufferLowerBoundVMHours: r.bufferHours(lowerBound),
		Moves: s.moves, MovesLowerBound: demandOf(r, true).MovesLowerBound(reserve), MovesGreedy: greedy.moves,
		GreedyViolations: greedy.policyViolations(),
		Rounds:           s.rounds, PlanMsPerRound: s.planTime.Seconds() * 1000 / float64(s.rounds),
	}
	for _, ret := range r.file.Returns {
		res.ReturnedVMs += len(ret.VMs)
	}
	return res, s.firstViolations, nil
}

// sharedReserve returns the reserve of each pool when n VMs are in the spare pool and no pool has its own.
func sharedReserve(r *region, n int) []int {
	reserve := make([]int, len(r.file.Pools))
	reserve[0] = n
	return reserve
}

// smallestSharedReserve returns the smallest reserve in the spare pool with which the planner
// keeps everything. After maxReserveTries further VMs it gives up and returns that reserve, with its violations.
func smallestSharedReserve(r *region, lowerBound int) (int, *replayStats) {
	for n := lowerBound; ; n++ {
		s := runReplay(r, sharedReserve(r, n), plan.Plan)
		if s.keptEverything() || n >= lowerBound+maxReserveTries {
			return n, s
		}
	}
}

// smallestStaticReserve returns the sum of the smallest reserves of the pools with which the static
// baseline keeps everything. It starts from each pool's own lower bound and adds a VM to every
// pool with a violation until there is none.
func smallestStaticReserve(r *region, demand *plan.Demand) (int, error) {
	reserve := make([]int, len(r.file.Pools))
	for i, p := range r.file.Pools {
		reserve[i] = poolDemand(demand, p.ID).ReserveLowerBound()
	}
	var s *replayStats
	for range maxStaticTries {
		s = runReplay(r, reserve, plan.Static)
		if s.keptEverything() {
			total := 0
			for _, n := range reserve {
				total += n
			}
			return total, nil
		}
		for i, p := range r.file.Pools {
			if s.violationsByPool[p.ID] > 0 {
				reserve[i]++
			}
		}
	}
	return 0, fmt.Errorf("no static reserve was found that keeps every budget, deadline and headroom:\n%s", strings.Join(s.firstViolations, "\n"))
}

// poolDemand returns the part of a demand that is due to one pool.
func poolDemand(demand *plan.Demand, p ident.PoolID) *plan.Demand {
	return &plan.Demand{
		Needs:   slices.DeleteFunc(slices.Clone(demand.Needs), func(n plan.Need) bool { return n.Pool != p }),
		Reboots: slices.DeleteFunc(slices.Clone(demand.Reboots), func(w plan.RebootWindow) bool { return w.Pool != p }),
	}
}

// bufferHours returns the VM-hours for which the given reserve is held. A reserve VM that
// replaces a returned VM counts until the deadline of that return.
func (r *region) bufferHours(reserve int) float64 {
	end := plannerStart.Add(plannerPeriod)
	hours := float64(reserve) * plannerPeriod.Hours()
	for _, ret := range r.file.Returns {
		hours -= float64(len(ret.VMs)) * end.Sub(ret.Deadline).Hours()
	}
	return hours
}

// Bounds compares the result with the goals of the design page.
func (t *PlannerResult) Bounds() []Bound {
	const (
		staticBufferRatio     = 0.6
		lowerBoundBufferRatio = 1.1
		lowerBoundMovesRatio  = 1.15
		planLimit             = 100 * time.Millisecond
	)
	zero := func(key string, n int) Bound {
		return Bound{Key: key, Met: n == 0, Want: "= 0", Got: fmt.Sprint(n)}
	}
	ratio := func(key string, got, of, limit float64) Bound {
		return Bound{Key: key, Met: got <= limit*of, Want: fmt.Sprintf("<= %.2f", limit), Got: fmt.Sprintf("%.3f", got/of)}
	}
	bounds := []Bound{
		zero("budget_violations", t.BudgetViolations),
		zero("late_returns", t.LateReturns),
		zero("wave_reboots_missed", t.WaveRebootsMissed),
		zero("void_records", t.UnacceptedRecords),
		ratio("buffer_vm_hours / buffer_static_vm_hours", t.BufferVMHours, t.BufferStaticVMHours, staticBufferRatio),
		ratio("buffer_vm_hours / buffer_lower_bound_vm_hours", t.BufferVMHours, t.BufferLowerBoundVMHours, lowerBoundBufferRatio),
		ratio("moves / moves_lower_bound", float64(t.Moves), float64(t.MovesLowerBound), lowerBoundMovesRatio),
		ratio("moves / moves_greedy", float64(t.Moves), float64(t.MovesGreedy), 1),
	}
	if t.Fleet == "design" {
		bounds = append(bounds, Bound{
			Key: "plan_ms_per_round", Met: t.PlanMsPerRound <= float64(planLimit.Milliseconds()),
			Want: "<= 100", Got: fmt.Sprintf("%.2f", t.PlanMsPerRound),
		})
	}
	return bounds
}
