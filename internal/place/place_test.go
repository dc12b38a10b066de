package place

import (
	"math/rand/v2"
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Service tasks are spread by step, but over as few VMs as that allows. Guards against VMs that stay in a pool for minutes,
// nearly idle, because each runs one of its service tasks: in an overload test, 10 VMs where the pool needed 3.
func TestServiceTasksPinFewVMs(t *testing.T) {
	const (
		targets = 20
		steps   = 6
		tasks   = 5 // of each step
	)
	whole := work.Resources{CPU: 64000, Memory: 262144}
	candidates := make([]Candidate, targets)
	random := rand.New(rand.NewPCG(1, 0))
	task := Task{Need: work.Resources{CPU: 4000, Memory: 10000}, Service: true}
	for step := range steps {
		task.BestEffort = step%2 == 1
		for i := range candidates { // the other tasks of the targets have changed
			other := work.Resources{CPU: work.Millicores(random.IntN(40000)), Memory: 100000}
			candidates[i] = Candidate{Free: whole.Minus(other), Capacity: whole, Busy: true, Pinned: candidates[i].Pinned}
		}
		for range tasks {
			k := Best(candidates, task)
			if k < 0 {
				t.Fatalf("step %d: no target fits", step)
			}
			candidates[k].Free = candidates[k].Free.Minus(task.Need)
			candidates[k].SameStep++
			candidates[k].Pinned = true
		}
		for i := range candidates {
			if got := candidates[i].SameStep; got > 1 {
				t.Errorf("step %d: target %d runs %d tasks of the step, want one at most", step, i, got)
			}
		}
	}
	pinned := 0
	for i := range candidates {
		if candidates[i].Pinned {
			pinned++
		}
	}
	if want := tasks + 1; pinned > want {
		t.Errorf("%d service tasks, %d of each step, pin %d VMs, want %d at most", steps*tasks, tasks, pinned, want)
	}
}

// Guards against a target that gets any number of tasks which need none of its resources.
func TestTargetTasks(t *testing.T) {
	full := Candidate{ID: "full", Tasks: 512, MaxTasks: 512}
	free := Candidate{ID: "free", Tasks: 511, MaxTasks: 512}
	unlimited := Candidate{ID: "unlimited", Tasks: 10_000}
	for _, test := range []struct {
		candidate Candidate
		want      bool
	}{{full, false}, {free, true}, {unlimited, true}} {
		if got := Feasible(&test.candidate, Task{}); got != test.want {
			t.Errorf("%s: feasible: got %v, want %v", test.candidate.ID, got, test.want)
		}
	}
}
