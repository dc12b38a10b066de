package plan

import (
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// RiskKind says what a Risk is about.
type RiskKind string

// The kinds of risk.
const (
	RiskPool   RiskKind = "pool"
	RiskWave   RiskKind = "wave"
	RiskReturn RiskKind = "return"
)

// Risk is a part of the published file that may not be met in time.
type Risk struct {
	Kind   RiskKind     `json:"kind"`
	Pool   ident.PoolID `json:"pool"`
	Wave   ident.WaveID `json:"wave,omitempty"`
	VM     ident.VMID   `json:"vm,omitempty"`
	At     time.Time    `json:"at"` // when it fails unless something changes
	Reason string       `json:"reason"`
}

// Risks says which pools, waves and returns of the file may not be met, when and why.
// It estimates with the VMs of now and does not foresee failures.
func Risks(s *fold.State, now time.Time, opt Options) []Risk {
	v := newView(s, now, opt.withDefaults(), policy{shared: true, lookahead: true, lazy: true})
	var out []Risk
	out = append(out, v.poolRisks()...)
	out = append(out, v.waveRisks()...)
	return append(out, v.returnRisks()...)
}

// lendable is the number of VMs that could be moved to p now.
func (v *view) lendable(p *pool) int {
	n := 0
	taken := map[*pool]int{}
	for _, m := range v.vms {
		q := m.pool
		if q == p || !m.up() || v.leaving(m) || !p.takes(m.region) {
			continue
		}
		if q.spare || taken[q] < min(q.surplus(), q.room()) {
			taken[q]++
			n++
		}
	}
	return n
}

func (v *view) poolRisks() []Risk {
	var out []Risk
	for _, p := range v.order {
		if p.spare {
			continue
		}
		switch lendable := v.lendable(p); {
		case p.up < p.MinServing:
			out = append(out, Risk{Kind: RiskPool, Pool: p.ID, At: v.now, Reason: fmt.Sprintf(
				"%d VMs serve and min_serving is %d; %d VMs could be moved here", p.up, p.MinServing, lendable)})
		case p.room()+lendable < 0:
			out = append(out, Risk{Kind: RiskPool, Pool: p.ID, At: v.now, Reason: fmt.Sprintf(
				"the loss of one rack leaves %d serving VMs, min_serving is %d, and %d VMs could be moved here",
				p.up-p.widest(), p.MinServing, lendable)})
		case p.kept+lendable < p.Owed:
			out = append(out, Risk{Kind: RiskPool, Pool: p.ID, At: v.now, Reason: fmt.Sprintf(
				"%d VMs remain of %d owed, and %d VMs could be moved here", p.kept, p.Owed, lendable)})
		}
	}
	return out
}

// waveRisks reports the open waves that the present VMs cannot finish.
func (v *view) waveRisks() []Risk {
	var out []Risk
	for _, p := range v.order {
		due, w := p.dueWave()
		if w == nil {
			continue
		}
		atOnce := max(0, p.room()) + p.active + v.lendable(p)
		if p.spare {
			atOnce = max(1, p.up)
		}
		if rounds := max(0, v.rounds(w)); rounds*atOnce < len(due) {
			out = append(out, Risk{Kind: RiskWave, Pool: p.ID, Wave: w.ID, At: w.Closes, Reason: fmt.Sprintf(
				"%d VMs remain, and in the time left %d rounds of at most %d VMs fit", len(due), rounds, atOnce)})
		}
	}
	return out
}

func (v *view) returnRisks() []Risk {
	var out []Risk
	for _, m := range v.vms {
		if m.leave.IsZero() {
			continue
		}
		deadline := m.leave.Add(v.opt.ClockMargin)
		add := func(reason string) {
			out = append(out, Risk{Kind: RiskReturn, Pool: m.pool.ID, VM: m.ID, At: deadline, Reason: reason})
		}
		switch {
		case v.now.After(m.leave):
			add("the deadline is over or within the margin for clock differences, and the VM is " + string(m.Phase))
		case m.Phase == fold.Rebooting && v.age(m.Since) > v.opt.RestartTime+v.opt.ReplaceAfter:
			add("the VM is rebooting and has not come back; only a drained VM can be returned")
		case v.leaving(m) && m.active() && !m.pool.spare && m.pool.kept+v.lendable(m.pool) < m.pool.MinServing:
			add("no VM can replace it, and without it the pool falls below min_serving")
		}
	}
	return out
}
