package plan

import (
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// RiskKind says which part of the file a Risk concerns.
type RiskKind string

// The kinds of risk.
const (
	RiskPool   RiskKind = "pool"
	RiskWave   RiskKind = "wave"
	RiskReturn RiskKind = "return"
)

// Risk is a demand of the published file that may not be met in time.
type Risk struct {
	Kind   RiskKind     `json:"kind"`
	Pool   ident.PoolID `json:"pool"`
	Wave   ident.WaveID `json:"wave,omitempty"`
	VM     ident.VMID   `json:"vm,omitempty"`
	At     time.Time    `json:"at"` // when the demand is missed unless something changes
	Reason string       `json:"reason"`
}

// Risks returns the demands of the file that may not be met, each with the time and the reason.
// The estimate is based on the current VMs and does not predict failures.
func Risks(s *fold.State, now time.Time, opt Options) []Risk {
	pl := newPlanner(s, now, opt.withDefaults(), policy{movesVMs: true, lookahead: true, keepsSurplus: true})
	var out []Risk
	out = append(out, pl.poolRisks()...)
	out = append(out, pl.waveRisks()...)
	return append(out, pl.returnRisks()...)
}

// availableFor is the number of VMs that could be moved to p now.
func (pl *planner) availableFor(p *poolState) int {
	n := 0
	taken := map[*poolState]int{}
	for _, vm := range pl.vms {
		q := vm.pool
		if q == p || !vm.up() || pl.returning(vm) || !p.accepts(vm.region) {
			continue
		}
		if q.spare || taken[q] < min(q.surplus(), q.slack()) {
			taken[q]++
			n++
		}
	}
	return n
}

// poolRisks reports the pools below their budget, and those that the available VMs cannot bring
// up to their headroom or to what they are owed.
func (pl *planner) poolRisks() []Risk {
	var out []Risk
	for _, p := range pl.poolList {
		if p.spare {
			continue
		}
		switch available := pl.availableFor(p); {
		case p.up < p.MinServing:
			out = append(out, Risk{Kind: RiskPool, Pool: p.ID, At: pl.now, Reason: fmt.Sprintf(
				"%d VMs serve and min_serving is %d; %d VMs could be moved here", p.up, p.MinServing, available)})
		case p.slack()+available < 0:
			out = append(out, Risk{Kind: RiskPool, Pool: p.ID, At: pl.now, Reason: fmt.Sprintf(
				"the loss of one rack leaves %d serving VMs, min_serving is %d, and %d VMs could be moved here",
				p.up-p.largestRack(), p.MinServing, available)})
		case p.retained+available < p.Owed:
			out = append(out, Risk{Kind: RiskPool, Pool: p.ID, At: pl.now, Reason: fmt.Sprintf(
				"%d VMs remain of %d owed, and %d VMs could be moved here", p.retained, p.Owed, available)})
		}
	}
	return out
}

// waveRisks reports the open waves that the current VMs cannot finish in time.
func (pl *planner) waveRisks() []Risk {
	var out []Risk
	for _, p := range pl.poolList {
		due, w := p.dueWave()
		if w == nil {
			continue
		}
		concurrent := max(0, p.slack()) + p.waveStarted + pl.availableFor(p)
		if p.spare {
			concurrent = max(1, p.up)
		}
		if rounds := max(0, pl.rounds(w)); rounds*concurrent < len(due) {
			out = append(out, Risk{Kind: RiskWave, Pool: p.ID, Wave: w.ID, At: w.Closes, Reason: fmt.Sprintf(
				"%d VMs remain, and in the time left %d rounds of at most %d VMs fit", len(due), rounds, concurrent)})
		}
	}
	return out
}

// returnRisks reports the returns that are late, stuck or blocked by the pool's budget.
func (pl *planner) returnRisks() []Risk {
	var out []Risk
	for _, vm := range pl.vms {
		if vm.leaveBy.IsZero() {
			continue
		}
		deadline := vm.leaveBy.Add(pl.opt.ClockMargin)
		add := func(reason string) {
			out = append(out, Risk{Kind: RiskReturn, Pool: vm.pool.ID, VM: vm.ID, At: deadline, Reason: reason})
		}
		switch {
		case pl.now.After(vm.leaveBy):
			add("the deadline is over or within the margin for clock differences, and the VM is " + string(vm.Phase))
		case vm.Phase == fold.Rebooting && pl.age(vm.Since) > pl.opt.RestartTime+pl.opt.ReplaceAfter:
			add("the VM is rebooting and has not come back; only a drained VM can be returned")
		case pl.returning(vm) && vm.inService() && !vm.pool.spare && vm.pool.retained+pl.availableFor(vm.pool) < vm.pool.MinServing:
			add("no VM can replace it, and without it the pool falls below min_serving")
		}
	}
	return out
}
