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

// world drives a state through plans, with drains and reboots that take a while.
type world struct {
	s     *fold.State
	now   time.Time
	n     int
	facts map[ident.VMID]Fact
}

func newWorld(f *fleet.File) *world {
	w := &world{s: fold.Empty(), now: start, facts: map[ident.VMID]Fact{}}
	if v := w.apply(fold.Publish{Header: w.header(), File: f}); v.Result != fold.Accepted {
		panic("the drawn file is not accepted: " + v.Reason)
	}
	w.apply(fold.TakePlanner{Header: w.header(), Term: 1, Holder: "e"})
	return w
}

func (w *world) header() fold.Header {
	w.n++
	return fold.Header{ID: ident.RecordID(fmt.Sprint(w.n)), Time: w.now}
}

func (w *world) apply(r fold.Record) fold.Outcome {
	s, v := w.s.Apply(r)
	w.s = s
	return v
}

// advance ends drains after 5 minutes and reboots after 20.
func (w *world) advance() {
	w.now = w.now.Add(5 * time.Minute)
	for vm := range w.s.VMs {
		step := fold.VMStep{VM: vm.ID, Epoch: vm.Epoch}
		switch {
		case vm.Phase == fold.Draining:
			w.apply(fold.DrainDone{Header: w.header(), VMStep: step})
		case vm.Phase == fold.Rebooting && w.now.Sub(vm.Since) >= 20*time.Minute:
			delete(w.facts, vm.ID)
			w.apply(fold.RebootDone{Header: w.header(), VMStep: step})
		}
	}
}

func (w *world) serving(p ident.PoolID) int {
	n := 0
	for vm := range w.s.VMs {
		if _, bad := w.facts[vm.ID]; vm.Pool == p && vm.Phase == fold.Serving && !bad {
			n++
		}
	}
	return n
}

// drawFile draws a small fleet with a wave and returns.
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

// Guards against a planned step that breaks a budget when other steps of the
// same plan turn out void or come in another order, against two steps for one VM, and against steps that the fold refuses.
func TestEverySubsetOfAPlanKeepsTheBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFile(t)
		opens := start.Add(time.Hour)
		f.Waves = []fleet.Wave{{ID: "w", Opens: opens, Closes: opens.Add(5 * time.Hour), Zones: []ident.ZoneID{"z0"}, Length: 20 * time.Minute}}
		w := newWorld(f)
		policy := rapid.SampledFrom([]func(*fold.State, time.Time, Options) []Action{Plan, Greedy, Static}).Draw(t, "policy")
		for range 40 {
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				w.facts[rapid.SampledFrom(f.VMs).Draw(t, "vm").ID] = Fact{FailingSince: w.now}
			}
			actions := policy(w.s, w.now, Options{Facts: w.facts})
			seen := map[ident.VMID]bool{}
			for _, i := range rapid.Permutation(indexes(len(actions))).Draw(t, "order") {
				if rapid.IntRange(0, 3).Draw(t, "void") == 0 {
					continue
				}
				a := actions[i]
				if seen[a.Step().VM] {
					t.Fatalf("two actions for %s: %v", a.Step().VM, actions)
				}
				seen[a.Step().VM] = true
				checkStep(t, w, a)
			}
			w.advance()
		}
	})
}

// checkStep applies one action and fails if the fold refuses it or if it takes a pool below its budget.
func checkStep(t *rapid.T, w *world, a Action) {
	pool := w.s.VM(a.Step().VM).Pool
	before := w.serving(pool)
	if v := w.apply(Record(a, w.header())); v.Result != fold.Accepted {
		t.Fatalf("%#v: %s", a, v.Reason)
	}
	for _, p := range w.s.File.Pools {
		if got := w.serving(p.ID); p.ID == pool && got < before && got < p.MinServing {
			t.Fatalf("%#v leaves %d VMs serving in %s, min_serving is %d", a, got, p.ID, p.MinServing)
		}
	}
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a return that misses its deadline although the VMs that stay
// suffice for every budget. Without failures any such file can be met.
func TestNoReturnIsLateWhenAPlanCanMakeIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFile(t)
		need, stay := 0, len(f.VMs)-len(f.Returns)
		for _, p := range f.Pools {
			need += p.MinServing
		}
		w := newWorld(f)
		for w.now.Before(start.Add(61 * time.Hour)) {
			for _, a := range Plan(w.s, w.now, Options{}) {
				checkStep(t, w, a)
			}
			w.advance()
			for _, r := range f.Returns {
				if vm := w.s.VM(r.VMs[0]); stay >= need && w.now.After(r.Deadline) && vm.Phase != fold.Returned {
					t.Fatalf("%s is %s after its deadline; %d VMs stay, the budgets need %d", vm.ID, vm.Phase, stay, need)
				}
			}
		}
	})
}

// Guards against a wave that takes a VM because it seems down for a moment, which
// leaves the pool short for a whole reboot, and longer if the live list was wrong.
func TestWaveLeavesVMsAloneThatMayBeBackSoon(t *testing.T) {
	f := &fleet.File{SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}, {ID: "p", Owed: 5, MinServing: 4}}}
	for i, id := range []ident.VMID{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"} {
		f.VMs = append(f.VMs, fleet.VM{ID: id, Pool: "p", Zone: "z", Rack: ident.RackID(id), Address: fmt.Sprintf("10.0.0.%d:80", i+1)})
	}
	f.Waves = []fleet.Wave{{ID: "w", Opens: start, Closes: start.Add(10 * time.Hour), Zones: []ident.ZoneID{"z"}, Length: 20 * time.Minute}}
	w := newWorld(f)
	for name, fact := range map[string]Fact{"missing": {MissingSince: start}, "failing": {FailingSince: start}} {
		facts := map[ident.VMID]Fact{"vm-1": fact}
		if got := Plan(w.s, start.Add(time.Minute), Options{Facts: facts}); len(got) != 0 {
			t.Errorf("with a VM %s for a minute: plan %v, want none", name, got)
		}
	}
}

// Guards against a VM that stays for good because the file that returned it
// was replaced by one without the VM before it had left.
func TestReturnOutlivesItsFile(t *testing.T) {
	vm := func(n int) fleet.VM {
		return fleet.VM{
			ID: ident.VMID(fmt.Sprintf("vm-%d", n)), Pool: "spare", Zone: "z0", Rack: ident.RackID(fmt.Sprintf("r%d", n)),
			Address: fmt.Sprintf("10.0.0.%d:80", n), Processors: 16, Memory: 64 * ident.GiB, Slots: 8, Connections: 64,
		}
	}
	file := &fleet.File{Name: "f", SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}, VMs: []fleet.VM{vm(1), vm(2)}}
	file.Returns = []fleet.Return{{VMs: []ident.VMID{"vm-1"}, Deadline: start.Add(20 * time.Hour)}}
	w := newWorld(file)
	without := *file
	without.Base, without.VMs, without.Returns = 1, file.VMs[1:], nil
	if v := w.apply(fold.Publish{Header: w.header(), Base: 1, File: &without}); v.Result != fold.Accepted {
		t.Fatalf("publish without the VM: %s", v.Reason)
	}
	for w.now.Before(start.Add(20 * time.Hour)) {
		for _, a := range Plan(w.s, w.now, Options{}) {
			w.apply(Record(a, w.header()))
		}
		w.advance()
	}
	// The state forgets a VM that has been returned and that the file no longer names.
	if got := w.s.VM("vm-1"); got != nil {
		t.Errorf("phase at the deadline = %s, want the VM to be returned and forgotten", got.Phase)
	}
}
