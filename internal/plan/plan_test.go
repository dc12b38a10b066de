package plan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

var start = time.Date(2027, time.March, 1, 0, 0, 0, 0, time.UTC)

// simulation applies plans to a state, with drains and reboots that take time.
type simulation struct {
	state        *fold.State
	now          time.Time
	records      int
	observations map[ident.VMID]Observation
}

func newSimulation(f *fleet.File) *simulation {
	sim := &simulation{state: fold.Empty(), now: start, observations: map[ident.VMID]Observation{}}
	if v := sim.apply(fold.Publish{Header: sim.header(), File: f}); v.Result != fold.Accepted {
		panic("the generated file was rejected: " + v.Reason)
	}
	sim.apply(fold.TakePlanner{Header: sim.header(), Term: 1, Holder: "e"})
	return sim
}

func (sim *simulation) header() fold.Header {
	sim.records++
	return fold.Header{ID: ident.RecordID(fmt.Sprint(sim.records)), Time: sim.now}
}

func (sim *simulation) apply(r fold.Record) fold.Outcome {
	s, v := sim.state.Apply(r)
	sim.state = s
	return v
}

// advance moves the time on by 5 minutes, ends all drains, and ends reboots after 20 minutes.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(5 * time.Minute)
	for vm := range sim.state.VMs {
		step := fold.VMStep{VM: vm.ID, Epoch: vm.Epoch}
		switch {
		case vm.Phase == fold.Draining:
			sim.apply(fold.DrainDone{Header: sim.header(), VMStep: step})
		case vm.Phase == fold.Rebooting && sim.now.Sub(vm.Since) >= 20*time.Minute:
			delete(sim.observations, vm.ID)
			sim.apply(fold.RebootDone{Header: sim.header(), VMStep: step})
		}
	}
}

func (sim *simulation) serving(p ident.PoolID) int {
	n := 0
	for vm := range sim.state.VMs {
		if _, bad := sim.observations[vm.ID]; vm.Pool == p && vm.Phase == fold.Serving && !bad {
			n++
		}
	}
	return n
}

// drawFile generates a small fleet with returns.
func drawFile(t *rapid.T) *fleet.File {
	f := &fleet.File{Name: "drawn", SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}}
	add := func(p ident.PoolID) {
		n := len(f.VMs)
		f.VMs = append(f.VMs, fleet.VM{
			ID: ident.VMID(fmt.Sprintf("vm-%02d", n)), Pool: p, Zone: ident.ZoneID(fmt.Sprintf("z%d", n%2)),
			Rack:    ident.RackID(fmt.Sprintf("z%d-r%d", n%2, rapid.IntRange(0, 4).Draw(t, "rack"))),
			Address: fmt.Sprintf("10.0.0.%d:80", n+1), Processors: 16, Memory: 64 * ident.GiB, Slots: 8, Connections: 64,
		})
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "pools") {
		id := fmt.Sprintf("p%d", i)
		p := fleet.Pool{ID: ident.PoolID(id), Routes: []string{"/" + id + "/"}, Owed: rapid.IntRange(1, 5).Draw(t, "owed")}
		p.MinServing = rapid.IntRange(0, p.Owed).Draw(t, "min")
		f.Pools = append(f.Pools, p)
		for range p.Owed {
			add(p.ID)
		}
	}
	for range rapid.IntRange(0, 3).Draw(t, "spare") {
		add("spare")
	}
	for _, vm := range f.VMs {
		if rapid.IntRange(0, 4).Draw(t, "returned") == 0 {
			at := start.Add(time.Duration(rapid.IntRange(30, 60).Draw(t, "deadline")) * time.Hour)
			f.Returns = append(f.Returns, fleet.Return{VMs: []ident.VMID{vm.ID}, Deadline: at})
		}
	}
	return f
}

// Guards against a planned step that breaks a budget when other steps of the same
// plan have no effect or come in another order, against two steps for one VM, and
// against steps that package fold does not accept.
func TestEverySubsetOfPlanKeepsBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFile(t)
		opens := start.Add(time.Hour)
		f.Waves = []fleet.Wave{{ID: "w", Opens: opens, Closes: opens.Add(5 * time.Hour), Zones: []ident.ZoneID{"z0"}, Length: 20 * time.Minute}}
		sim := newSimulation(f)
		policy := rapid.SampledFrom([]func(*fold.State, time.Time, Options) []Action{Plan, Greedy, Static}).Draw(t, "policy")
		for range 40 {
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				sim.observations[rapid.SampledFrom(f.VMs).Draw(t, "vm").ID] = Observation{FailingSince: sim.now}
			}
			actions := policy(sim.state, sim.now, Options{Observations: sim.observations})
			seen := map[ident.VMID]bool{}
			for _, i := range rapid.Permutation(indices(len(actions))).Draw(t, "order") {
				if rapid.IntRange(0, 3).Draw(t, "skip") == 0 {
					continue
				}
				a := actions[i]
				if seen[a.Step().VM] {
					t.Fatalf("two actions for %s: %v", a.Step().VM, actions)
				}
				seen[a.Step().VM] = true
				checkStep(t, sim, a)
			}
			sim.advance()
		}
	})
}

// checkStep applies one action and fails if package fold does not accept it or if it takes a pool below its budget.
func checkStep(t *rapid.T, sim *simulation, a Action) {
	pool := sim.state.VM(a.Step().VM).Pool
	before := sim.serving(pool)
	if v := sim.apply(Record(a, sim.header())); v.Result != fold.Accepted {
		t.Fatalf("%#v: %s", a, v.Reason)
	}
	for _, p := range sim.state.File.Pools {
		if got := sim.serving(p.ID); p.ID == pool && got < before && got < p.MinServing {
			t.Fatalf("%#v leaves %d VMs serving in %s, min_serving is %d", a, got, p.ID, p.MinServing)
		}
	}
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a return that misses its deadline although the VMs that stay
// suffice for every budget. Without failures every return in such a file can be met.
func TestReturnsMeetDeadlinesWhenBudgetsAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFile(t)
		need, stay := 0, len(f.VMs)-len(f.Returns)
		for _, p := range f.Pools {
			need += p.MinServing
		}
		sim := newSimulation(f)
		for sim.now.Before(start.Add(61 * time.Hour)) {
			for _, a := range Plan(sim.state, sim.now, Options{}) {
				checkStep(t, sim, a)
			}
			sim.advance()
			for _, r := range f.Returns {
				if vm := sim.state.VM(r.VMs[0]); stay >= need && sim.now.After(r.Deadline) && vm.Phase != fold.Returned {
					t.Fatalf("%s is %s after its deadline; %d VMs stay, the budgets need %d", vm.ID, vm.Phase, stay, need)
				}
			}
		}
	})
}

// Guards against a wave that drains a VM because it seems down for a moment. That
// leaves the pool one VM short for a whole reboot, and for longer if the live list was wrong.
func TestWaveSkipsVMsBrieflyDown(t *testing.T) {
	f := &fleet.File{SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}, {ID: "p", Owed: 5, MinServing: 4}}}
	for i, id := range []ident.VMID{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"} {
		f.VMs = append(f.VMs, fleet.VM{ID: id, Pool: "p", Zone: "z", Rack: ident.RackID(id), Address: fmt.Sprintf("10.0.0.%d:80", i+1)})
	}
	f.Waves = []fleet.Wave{{ID: "w", Opens: start, Closes: start.Add(10 * time.Hour), Zones: []ident.ZoneID{"z"}, Length: 20 * time.Minute}}
	sim := newSimulation(f)
	for name, obs := range map[string]Observation{"missing": {MissingSince: start}, "failing": {FailingSince: start}} {
		observations := map[ident.VMID]Observation{"vm-1": obs}
		if got := Plan(sim.state, start.Add(time.Minute), Options{Observations: observations}); len(got) != 0 {
			t.Errorf("with a VM %s for a minute: plan %v, want none", name, got)
		}
	}
}

// Guards against a VM that is never returned because the file with its return
// was replaced by one without the VM before it had left.
func TestReturnSurvivesReplacementOfItsFile(t *testing.T) {
	vm := func(n int) fleet.VM {
		return fleet.VM{
			ID: ident.VMID(fmt.Sprintf("vm-%d", n)), Pool: "spare", Zone: "z0", Rack: ident.RackID(fmt.Sprintf("r%d", n)),
			Address: fmt.Sprintf("10.0.0.%d:80", n), Processors: 16, Memory: 64 * ident.GiB, Slots: 8, Connections: 64,
		}
	}
	file := &fleet.File{Name: "f", SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}, VMs: []fleet.VM{vm(1), vm(2)}}
	file.Returns = []fleet.Return{{VMs: []ident.VMID{"vm-1"}, Deadline: start.Add(20 * time.Hour)}}
	sim := newSimulation(file)
	without := *file
	without.Base, without.VMs, without.Returns = 1, file.VMs[1:], nil
	if v := sim.apply(fold.Publish{Header: sim.header(), Base: 1, File: &without}); v.Result != fold.Accepted {
		t.Fatalf("publish without the VM: %s", v.Reason)
	}
	for sim.now.Before(start.Add(20 * time.Hour)) {
		for _, a := range Plan(sim.state, sim.now, Options{}) {
			sim.apply(Record(a, sim.header()))
		}
		sim.advance()
	}
	// The state drops a VM that has been returned and that the file no longer names.
	if got := sim.state.VM("vm-1"); got != nil {
		t.Errorf("phase at the deadline = %s, want the VM returned and dropped from the state", got.Phase)
	}
}
