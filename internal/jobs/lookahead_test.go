package jobs

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// largeQueue leaves its jobs enough time to wait for a target.
var largeQueue = work.Queue{ID: "large", Pool: "pool", MaxAttempts: 2, SlackFactor: 2.2, Objective: time.Hour}

// newLookAheadHarness returns a pool of 8 targets that each run 14 tasks of 1.1 cores, of which all but the first four of each
// target have just started: only the first ones are expected to end soon.
func newLookAheadHarness(t *testing.T, lookAhead bool) *harness {
	t.Helper()
	h := newHarness(t, 8)
	h.pool.Bounds.LookAhead = lookAhead
	h.submitTo("0000000000000001", largeQueue, work.Step{Count: 8 * 14, Need: work.Resources{CPU: 1100, Memory: 1000}, Estimate: time.Second})
	h.planAndCarryOut()
	for _, target := range h.pool.targets {
		if len(target.orderedRuns) != 14 {
			t.Fatalf("target %s has %d runs, want 14", target.ID, len(target.orderedRuns))
		}
		for i, r := range target.orderedRuns {
			r.percent = 0
			r.startedAt = h.now
			if i < 4 {
				r.startedAt = h.now.Add(-1500 * time.Millisecond)
				r.resumed = true // its run time doesn't change the learned ratio, which would change when the others end
			}
		}
	}
	return h
}

func (h *harness) submitTo(id work.JobID, q work.Queue, steps ...work.Step) {
	h.t.Helper()
	if r := h.pool.Submit(h.now, id, q, &work.Spec{Steps: steps}); r.Refused {
		h.t.Fatalf("job %s was refused", id)
	}
}

func (h *harness) reserved() int {
	if h.pool.ahead == nil {
		return 0
	}
	return h.pool.ahead.book.Len()
}

var largeStep = work.Step{Count: 1, Need: work.Resources{CPU: 3500, Memory: 4000}, Estimate: 2 * time.Second}

// Guards against a large task whose target is filled by a small one that comes later, and against a reservation that outlives
// its task.
func TestLargeTaskStartsOnItsReservedTarget(t *testing.T) {
	h := newLookAheadHarness(t, true)
	counts := map[EventKind]int{}
	h.pool.Events = func(e Event) { counts[e.Kind]++ }
	h.submitTo("0000000000000002", largeQueue, largeStep)
	h.pool.replan = true
	h.planAndCarryOut()
	if h.reserved() != 1 {
		t.Fatalf("%d targets are reserved, want 1", h.reserved())
	}
	reserved := h.pool.ahead.book.All()[0].Target
	small := work.Queue{ID: "small", Pool: "pool", MaxAttempts: 2, SlackFactor: 2.2, Objective: 2 * time.Hour}
	h.submitTo("0000000000000003", small, work.Step{Count: 20, Need: work.Resources{CPU: 1600, Memory: 1600}, Estimate: time.Second}) // 1.5 cores will be free beside the large task
	for i := range 3 {
		h.endRun(reserved, work.TaskID{Job: "0000000000000001", Index: h.pool.targets[reserved].orderedRuns[0].key.task.Index}, 1, work.EndDone)
		for _, c := range h.planAndCarryOut() {
			if c.Target == reserved && c.Task.Job != "0000000000000002" {
				t.Fatalf("task %v starts on the reserved target %s", c.Task, reserved)
			}
			if c.Task.Job == "0000000000000002" && (c.Target != reserved || i < 2) {
				t.Fatalf("the large task starts on %s after %d ends", c.Target, i+1)
			}
		}
	}
	if st, _ := h.pool.State("0000000000000002", h.pool.durable); st != work.Active {
		t.Errorf("the large job is %s, want active", st)
	}
	if h.reserved() != 0 {
		t.Errorf("%d targets are reserved, want none", h.reserved())
	}
	if counts[EventReserved] != 1 || counts[EventReservationKept] != 1 || counts[EventReservationDropped] != 0 {
		t.Errorf("events %v, want one made and kept", counts)
	}
}

// Guards against large tasks without a reservation, and against reservations for tasks that must have none: where the setting is off, for small tasks, tasks that can't run
// even on an empty target, late jobs, tasks on trial, and those that wait after a failure.
func TestNoReservation(t *testing.T) {
	for _, test := range []struct {
		name   string
		off    bool
		step   work.Step
		change func(*harness, *job)
		want   int
	}{
		{name: "a large task", step: largeStep, want: 1},
		{name: "switched off", off: true, step: largeStep},
		{name: "a small task", step: work.Step{Count: 1, Need: work.Resources{CPU: 1200, Memory: 1200}, Estimate: time.Second}},
		{name: "too large for any target", step: work.Step{Count: 1, Need: work.Resources{CPU: 17000, Memory: 1000}, Estimate: time.Second}},
		{name: "larger than all that is free", step: work.Step{Count: 1, Need: work.Resources{CPU: 4900, Memory: 1000}, Estimate: time.Second}}, // 8 times 0.6 cores
		{name: "a gang of small tasks", step: work.Step{Count: 4, Gang: true, Need: work.Resources{CPU: 1100, Memory: 1000}, Estimate: time.Second}, want: 1},
		{name: "a gang larger than all that is free", step: work.Step{Count: 5, Gang: true, Need: work.Resources{CPU: 1100, Memory: 1000}, Estimate: time.Second}},
		{name: "cores and memory are free on different targets", step: largeStep, want: 1, change: func(h *harness, _ *job) {
			t0 := h.pool.targets["t0"]
			t0.Capacity.CPU += 4000
			t0.reserved.Memory = t0.Capacity.Memory
		}},
		{name: "a late job", step: largeStep, change: func(_ *harness, j *job) { j.submitted = j.submitted.Add(-2 * time.Hour) }},
		{name: "an expired job", step: largeStep, change: func(_ *harness, j *job) { j.submitted = j.submitted.Add(-9 * time.Hour) }},
		{name: "a task on trial", step: largeStep, change: func(_ *harness, j *job) {
			for !j.occurrences[0].steps[0].tasks[0].crashes.OnTrial() {
				j.occurrences[0].steps[0].tasks[0].crashes.Add(blame.Crash{Sole: true, Confirmed: true})
			}
		}},
		{name: "a task that its tenant's cap holds back", step: largeStep, change: func(h *harness, j *job) {
			j.tenant = "a"
			h.pool.SetTenants(1, []work.Tenant{{ID: "a", Cap: work.Resources{CPU: 1}}})
		}},
		{name: "a task after a failure", step: largeStep, change: func(h *harness, j *job) {
			j.occurrences[0].steps[0].tasks[0].notBefore = h.now.Add(time.Second)
		}},
	} {
		h := newLookAheadHarness(t, !test.off)
		h.submitTo("0000000000000002", largeQueue, test.step)
		if test.change != nil {
			test.change(h, h.pool.jobs["0000000000000002"])
		}
		h.pool.replan = true
		h.planAndCarryOut()
		if got := h.reserved(); got != test.want {
			t.Errorf("%s: %d targets are reserved, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a reservation whose job has ended, and against what it has delayed being kept in memory.
func TestReservationEndsWithItsJob(t *testing.T) {
	const id = work.JobID("0000000000000002")
	for name, end := range map[string]func(*harness){
		"canceled":  func(h *harness) { h.pool.Cancel(h.now, id) },
		"withdrawn": func(h *harness) { h.pool.Withdraw(h.now, id) },
	} {
		h := newLookAheadHarness(t, true)
		h.submitTo(id, largeQueue, largeStep)
		h.pool.replan = true
		h.pool.Plan(h.now)
		if got := h.reserved(); got != 1 {
			t.Fatalf("%s: %d targets are reserved, want 1", name, got)
		}
		end(h)
		h.pool.replan = true
		h.pool.Plan(h.now)
		if got := h.reserved(); got != 0 {
			t.Errorf("%s: %d targets are reserved afterwards, want none", name, got)
		}
	}
}

// Guards against reservations that are kept for a target that has failed or leaves, which would leave the task without
// another one.
func TestReservationMovesFromAFailedTarget(t *testing.T) {
	for name, fail := range map[string]func(*harness, work.TargetID){
		"silent":   func(h *harness, id work.TargetID) { h.pool.MarkUnreachable(h.now, id) },
		"cordoned": func(h *harness, id work.TargetID) { h.pool.Cordon(id, CordonMove) },
		"draining": func(h *harness, id work.TargetID) {
			reg := h.pool.targets[id].Registration
			reg.Draining = true
			h.pool.Register(h.now, reg)
		},
	} {
		h := newLookAheadHarness(t, true)
		h.submitTo("0000000000000002", largeQueue, largeStep)
		h.pool.replan = true
		h.planAndCarryOut()
		if h.reserved() != 1 {
			t.Fatalf("%s: %d targets are reserved, want 1", name, h.reserved())
		}
		before := h.pool.ahead.book.All()[0].Target
		fail(h, before)
		h.now = h.now.Add(choicePause)
		h.pool.replan = true
		h.planAndCarryOut()
		if h.reserved() != 1 || h.pool.ahead.book.All()[0].Target == before {
			t.Errorf("%s: %d targets are reserved, want another one than %s", name, h.reserved(), before)
		}
	}
}

// Guards against capacity that reservations leave idle beyond the targets that are reserved, reservations without a large
// task, and a need for VMs that rises because of them.
func TestLookAheadIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		p := NewPool("pool")
		p.Bounds = Bounds{RemoteCost: 1, Retention: time.Minute, LookAhead: true}
		targets := rapid.IntRange(1, 12).Draw(t, "targets")
		for i := range targets {
			id := work.TargetID(fmt.Sprintf("t%02d", i))
			p.Register(now, work.Registration{ID: id, Pool: "pool", Incarnation: 1, Capacity: work.Resources{CPU: 16000, Memory: 16384}, Rack: "r"})
			p.HandleRunReport(now, work.RunReport{Target: id, Incarnation: 1, RequestedAt: now})
		}
		largest, sequence := work.Millicores(rapid.IntRange(1000, 12000).Draw(t, "largest")), map[work.TargetID]int64{}
		for round := range rapid.IntRange(1, 25).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "passed")) * time.Millisecond)
			for k := range rapid.IntRange(0, 2).Draw(t, "jobs") {
				cpu := work.Millicores(rapid.IntRange(1000, int(largest)).Draw(t, "cpu"))
				step := work.Step{Count: rapid.IntRange(1, 8).Draw(t, "count"), Need: work.Resources{CPU: cpu, Memory: work.Mebibytes(cpu)}, Estimate: time.Duration(rapid.IntRange(100, 900).Draw(t, "estimate")) * time.Millisecond}
				step.Gang = rapid.IntRange(0, 4).Draw(t, "gang") == 0
				p.Submit(now, work.JobID(fmt.Sprintf("%014x%02x", round, k)), largeQueue, &work.Spec{Steps: []work.Step{step}})
			}
			for _, x := range p.sortedTargets() {
				var ended []work.RunEnd
				for _, r := range x.runList() {
					if !r.spec.Gang && now.Sub(r.startedAt) > r.spec.Estimate && rapid.Bool().Draw(t, "ends") {
						sequence[x.ID]++
						ended = append(ended, work.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Kind: work.EndDone, Seq: sequence[x.ID]})
					}
				}
				p.HandleRunReport(now, work.RunReport{Target: x.ID, Incarnation: 1, RequestedAt: now, Ended: ended, MoreEnds: true})
			}
			p.replan = true
			p.Plan(now)
			checkWorkConserving(t, p)
			_, write := p.BeginWrite()
			p.MarkDurable(now, write)
			for _, cmd := range p.TakeCommands() {
				if c, ok := cmd.(StartCommand); ok {
					p.HandleStartResult(now, c.Target, c.Task, c.Attempt, StartOK)
				}
			}
		}
	})
}

func checkWorkConserving(t *rapid.T, p *Pool) {
	reserved := map[work.TargetID]stepRef{}
	for _, r := range p.ahead.book.All() {
		if _, twice := reserved[r.Target]; twice {
			t.Fatalf("target %s is reserved twice", r.Target)
		}
		reserved[r.Target] = r.Holder
		if !p.awaitsTarget(r.Holder) {
			t.Fatalf("target %s is reserved for a step without waiting tasks", r.Target)
		}
	}
	if limit := int(defaultPolicy.MaxShare * float64(len(p.targets))); len(reserved) > limit {
		t.Fatalf("%d targets are reserved, want %d at most", len(reserved), limit)
	}
	need := work.Resources{}
	for _, j := range p.active {
		step, st := &j.spec.Steps[0], &j.occurrences[0].steps[0]
		need = need.Plus(step.Need.Times(st.tasksLeft))
		if st.waiting == 0 || step.Gang {
			continue
		}
		for _, x := range p.targets {
			if holder, is := reserved[x.ID]; is && holder != (stepRef{j, st}) {
				continue
			}
			if free := x.Capacity.Minus(x.reserved); step.Need.Fits(free) {
				t.Fatalf("a task of job %s that needs %+v waits although target %s has %+v free", j.id, step.Need, x.ID, free)
			}
		}
	}
	report := p.Report(time.Unix(1_700_000_000, 0), Directives{})
	if got := report.Running.Plus(report.Runnable); got != need {
		t.Fatalf("the pool reports a need of %+v, want %+v, that of its tasks", got, need)
	}
}
