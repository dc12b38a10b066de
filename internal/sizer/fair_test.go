package sizer

import (
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// loaded returns a pool of busy targets with the demands of its tenants, in cores.
func loaded(id ident.PoolID, targets int, demands ...TenantDemand) Pool {
	p := pool(id, targets)
	for i := range p.Targets {
		p.Targets[i].Runs, p.Targets[i].IdleFor = 8, 0
	}
	for _, d := range demands {
		d.CPU *= 1000
		p.Tenants = append(p.Tenants, d)
		p.Runnable.CPU += d.CPU
	}
	return p
}

// Guards against a pool that keeps all VMs for the backlog of one tenant while the jobs of the others wait in a pool whose
// turn begins. Load: a tenant asks for 5 times the VMs that there are, 19 others for a quarter of them.
func TestHeavyTenantLeavesVMsToOthers(t *testing.T) {
	heavy := TenantDemand{ID: "heavy", Weight: 5, CPU: 16 * 500}
	busy, rising := loaded("busy", 100, heavy), pool("rising", 4)
	for i := range rising.Targets {
		rising.Targets[i].Runs, rising.Targets[i].IdleFor = 8, 0
	}
	for i := range 19 {
		d := TenantDemand{ID: work.TenantID(rune('a' + i)), Weight: 1, CPU: 16000}
		rising.Tenants = append(rising.Tenants, d)
		rising.Runnable.CPU += d.CPU
	}
	// The others need 19 VMs with headroom and fewer than their weights would give them, so that they get all that they need.
	if got, least := count(NewPlan([]Pool{busy, rising}).Moves(), "busy", "rising"), 18; got < least {
		t.Errorf("%d VMs move to the others' pool, want at least %d", got, least)
	}
	busy.Tenants, rising.Tenants = nil, nil
	if got := count(NewPlan([]Pool{busy, rising}).Moves(), "busy", "rising"); got != 0 {
		t.Errorf("without tenants %d VMs move from a pool that is short, want none, as before", got)
	}
}

// Guards against VMs that are taken from a tenant although nobody else needs them.
func TestIdleSharesAreUsed(t *testing.T) {
	busy := loaded("busy", 100, TenantDemand{ID: "heavy", Weight: 1, CPU: 16 * 500})
	idle := pool("idle", 4)
	idle.Tenants = []TenantDemand{{ID: "other", Weight: 100, CPU: 1000}}
	idle.Running.CPU = 1000
	if got := count(NewPlan([]Pool{busy, idle}).Moves(), "busy", "idle"); got != 0 {
		t.Errorf("%d VMs move to a pool that needs none, want 0", got)
	}
	if got, want := NewPlan([]Pool{busy, idle}).Sizes()["busy"].Need, 100; got < want {
		t.Errorf("the busy pool may keep %d VMs, want all %d", got, want)
	}
}

// Guards against VMs that move to and fro between pools that are short alike.
func TestEvenPoolsKeepTheirVMs(t *testing.T) {
	a := loaded("a", 52, TenantDemand{ID: "x", Weight: 1, CPU: 16 * 200}, TenantDemand{ID: "y", Weight: 3, CPU: 16 * 200})
	b := loaded("b", 48, TenantDemand{ID: "x", Weight: 1, CPU: 16 * 200}, TenantDemand{ID: "y", Weight: 3, CPU: 16 * 200})
	if moves := NewPlan([]Pool{a, b}).Moves(); len(moves) != 0 {
		t.Errorf("moves %+v, want none", moves)
	}
}

// Guards against shares that depend on weights where they must not, and against sums that exceed what there is.
func TestWaterFill(t *testing.T) {
	for name, test := range map[string]struct {
		wants, weights []float64
		amount         float64
		want           []float64
	}{
		"enough for all":       {[]float64{1, 2}, []float64{1, 100}, 10, []float64{1, 2}},
		"by weight":            {[]float64{10, 10}, []float64{1, 3}, 8, []float64{2, 6}},
		"idle share is passed": {[]float64{10, 1}, []float64{1, 3}, 8, []float64{7, 1}},
		"weight 0":             {[]float64{10, 10}, []float64{0, 1}, 12, []float64{2, 10}},
		"nothing":              {[]float64{10, 10}, []float64{1, 1}, 0, []float64{0, 0}},
	} {
		var shares []*tenantShare
		for i := range test.wants {
			shares = append(shares, &tenantShare{weight: test.weights[i], wants: test.wants[i]})
		}
		waterFill(shares, test.amount)
		for i, s := range shares {
			if d := s.gets - test.want[i]; d > 1e-3 || d < -1e-3 {
				t.Errorf("%s: tenant %d gets %v, want %v", name, i, s.gets, test.want[i])
			}
		}
	}
}
