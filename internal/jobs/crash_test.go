package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// crashRun is a run in the tests of this file.
type crashRun struct {
	target work.TargetID
	start  StartCommand
	until  time.Time
}

// playCrashes carries out the commands of a pool for a time. A target crashes when it starts a task of the job deadly; the
// other tasks run for a second. It returns how often targets have crashed under the job.
func playCrashes(h *harness, deadly work.JobID, targets int, duration time.Duration) int {
	crashes := 0
	var running []crashRun
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.pool.Tick(h.now)
		h.pool.Plan(h.now)
		if records, write := h.pool.BeginWrite(); len(records) > 0 {
			h.pool.MarkDurable(h.now, write)
		}
		for _, cmd := range h.pool.TakeCommands() {
			start, ok := cmd.(StartCommand)
			switch {
			case ok && start.Task.Job == deadly:
				crashes++
				h.pool.HandleStartResult(h.now, start.Target, start.Task, start.Attempt, StartNoResponse)
				h.crash(start.Target)
				running = slices.DeleteFunc(running, func(r crashRun) bool { return r.target == start.Target })
			case ok:
				h.pool.HandleStartResult(h.now, start.Target, start.Task, start.Attempt, StartOK)
				h.runs[start.Target] = append(h.runs[start.Target], work.RunStatus{Task: start.Task, Attempt: start.Attempt, Percent: 50})
				running = append(running, crashRun{start.Target, start, h.now.Add(time.Second)})
			}
			if stop, ok := cmd.(StopCommand); ok {
				h.pool.HandleStopResult(h.now, stop.Target, stop.Task, stop.Attempt, true)
			}
		}
		for i := range targets {
			h.deliverReport(work.TargetID(fmt.Sprintf("t%d", i)))
		}
		running = slices.DeleteFunc(running, func(r crashRun) bool {
			over := !h.now.Before(r.until)
			if over {
				h.endRun(r.target, r.start.Task, r.start.Attempt, work.EndDone)
			}
			return over
		})
	}
	return crashes
}

func (h *harness) submitJob(id work.JobID, steps ...work.Step) {
	h.t.Helper()
	if a := h.pool.Submit(h.now, id, testQueue, &work.Spec{Steps: steps}); a.Refused {
		h.t.Fatalf("job %s was refused", id)
	}
}

// Guards against a task that crashes target after target, and against its neighbors being given up with it.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	const targets, maxCrashes = 4, 3
	h := newHarness(t, targets)
	const deadly = work.JobID("00000000000000dd")
	var others []work.JobID
	for i := range 6 {
		others = append(others, work.JobID(fmt.Sprintf("%016x", i)))
		h.submitJob(others[i], work.Step{Count: 4, Need: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second})
	}
	h.submitJob(deadly, work.Step{Count: 1, Need: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second})
	if got := playCrashes(h, deadly, targets, 15*time.Second); got > maxCrashes {
		t.Errorf("targets crashed %d times, want at most %d", got, maxCrashes)
	}
	if got, _ := h.pool.State(deadly, h.pool.durable); got != work.Failed {
		t.Errorf("state %s of the job whose task crashes its targets, want %s", got, work.Failed)
	}
	for _, id := range others {
		if got, _ := h.pool.State(id, h.pool.durable); got != work.Completed {
			t.Errorf("state %s of job %s, which ran beside it, want %s", got, id, work.Completed)
		}
	}
	if len(h.pool.suspects) > 0 || len(h.pool.trialTargets) > 1 {
		t.Errorf("%d suspects and %d reserved targets at the end, want none and at most one", len(h.pool.suspects), len(h.pool.trialTargets))
	}
}

// Guards against a job that is given up for targets that were lost before its task reached them.
func TestTargetsLostBeforeTheStartAreNoEvidence(t *testing.T) {
	h := newHarness(t, 3)
	h.submit(smallStep)
	confirmed := h.planAndCarryOut()[0]
	h.crash(confirmed.Target)
	h.crash(h.startUnheard().Target)
	var third []StartCommand
	for range 3 { // the restarted target stops the start that may arrive late
		third = append(third, h.planAndCarryOut()...)
		h.now = h.now.Add(h.pool.Bounds.StopTimeout)
		for _, id := range []work.TargetID{"t0", "t1", "t2"} {
			h.deliverReport(id)
		}
	}
	if len(third) != 1 {
		t.Fatalf("%d tasks start after one crash and one target that may have been lost before, want 1", len(third))
	}
	h.endRun(third[0].Target, third[0].Task, third[0].Attempt, work.EndDone)
	h.planAndCarryOut()
	if got, _ := h.pool.State("0000000000000001", h.pool.durable); got != work.Completed {
		t.Errorf("state %s, want %s", got, work.Completed)
	}
}

// Guards against a task that waits for a trial for ever, because no target gets ready for it.
func TestTrialIsAwaitedOnlyForAWhile(t *testing.T) {
	const suspected = work.JobID("0000000000000001")
	h := newHarness(t, 1)
	h.submit(smallStep)
	h.pool.jobs[suspected].occurrences[0].steps[0].tasks[0].crashes.Add(blame.Crash{})
	h.pool.suspects = nil // no trial can be arranged
	if starts := h.planAndCarryOut(); len(starts) != 0 {
		t.Fatalf("%d tasks start without a trial, want none", len(starts))
	}
	h.now = h.now.Add(maxTrialWait)
	h.pool.Tick(h.now)
	if starts := h.planAndCarryOut(); len(starts) != 1 {
		t.Errorf("%d tasks start after %v without a trial, want 1", len(starts), maxTrialWait)
	}
}

// Guards against a new owner that starts to count again.
func TestCrashesSurviveTakeover(t *testing.T) {
	const deadly = work.JobID("00000000000000dd")
	h := newHarness(t, 2)
	h.submitJob(deadly, work.Step{Count: 2, Need: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second})
	for h.pool.jobs[deadly].occurrences[0].steps[0].tasks[0].crashes.Crashes == 0 {
		start := h.startWithoutResponse()
		h.crash(start.Target)
	}
	h.pool.Plan(h.now)
	if records, _ := h.beginWrite(); records != 1 {
		t.Fatalf("%d records, want 1", records)
	}
	next := h.takeOver(2)
	got := next.pool.jobs[deadly].occurrences[0].steps[0].tasks[0].crashes
	if want := h.pool.jobs[deadly].occurrences[0].steps[0].tasks[0].crashes; got != want {
		t.Errorf("crashes %+v after the takeover, want %+v", got, want)
	}
	if got, want := len(next.pool.suspects), len(h.pool.suspects); got != want {
		t.Errorf("%d suspects after the takeover, want %d", got, want)
	}
}

// Guards against a task that crashes target after target because each crash falls into a takeover.
func TestCrashesAroundTakeoversCount(t *testing.T) {
	const (
		deadly    = work.JobID("0000000000000001")
		maxStarts = 5 // three more after three crashes are too many
	)
	h := newHarness(t, 2)
	h.submit(smallStep)
	for starts := 1; ; starts++ {
		start := h.startUnheard()
		if starts > maxStarts {
			t.Fatalf("start %d of the task, want at most %d", starts, maxStarts)
		}
		h = h.takeOver(2)
		h.crash(start.Target)
		if state, _ := h.pool.State(deadly, h.pool.NextWrite()); state == work.Failed {
			return
		}
	}
}

// takeOver returns the harness of the next owner, which knows the jobs from the records that have been written.
func (h *harness) takeOver(targets int) *harness {
	h.t.Helper()
	next := newHarness(h.t, 0)
	next.now, next.crashes, next.store, next.pool.Fence = h.now, h.crashes, h.store, h.pool.Fence+1
	if err := restoreAll(next.pool, next.now, h.store); err != nil {
		h.t.Fatal(err)
	}
	for i := range targets {
		next.register(work.TargetID(fmt.Sprintf("t%d", i)))
	}
	return next
}

// Guards against a job that is given up for VMs that were taken down on purpose.
func TestPlannedRestartsAreNoCrashes(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(smallStep)
	for range 4 {
		starts := h.planAndCarryOut()
		if len(starts) != 1 {
			t.Fatalf("%d tasks start, want 1", len(starts))
		}
		id := starts[0].Target
		h.pool.Cordon(id, CordonMaintenance)
		h.now = h.now.Add(blame.SurvivalTime)
		h.deliverReport(id)
		h.crash(id)
		h.pool.Cordon(id, NoCordon)
	}
	if got := h.pool.suspects; len(got) > 0 {
		t.Errorf("%d suspects after restarts of a cordoned target, want none", len(got))
	}
}

// Guards against a job that is given up because its task is tried on targets that are silent but not known to be lost.
func TestSilentTargetsGetNoTrial(t *testing.T) {
	const (
		suspected = work.JobID("0000000000000001")
		alive     = work.TargetID("t3") // reports when it is asked
	)
	h := newHarness(t, 4)
	h.submit(smallStep)
	for range 30 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.pool.Tick(h.now)
		h.pool.Plan(h.now)
		if records, write := h.beginWrite(); records > 0 {
			h.pool.MarkDurable(h.now, write)
		}
		for _, cmd := range h.pool.TakeCommands() {
			switch cmd := cmd.(type) {
			case ProbeCommand:
				if cmd.Target == alive {
					h.deliverReport(alive)
				}
			case StartCommand:
				if cmd.Target == alive {
					return
				}
				h.pool.HandleStartResult(h.now, cmd.Target, cmd.Task, cmd.Attempt, StartNoResponse)
				h.now = h.now.Add(300 * time.Millisecond)
				h.pool.HandleRestart(h.now, cmd.Target, 1001) // its VM is listed as down
			}
		}
		if state, _ := h.pool.State(suspected, h.pool.durable); state == work.Failed {
			t.Fatal("the job is given up for targets that were lost before its task reached them")
		}
	}
	t.Error("the task doesn't start on the target that answers")
}
