package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// The members of a gang start together, with the same attempt, or not at all.
func TestGangStartsAllOrNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(work.Step{Count: 3, Need: work.Resources{CPU: 6000, Memory: 10}, Estimate: time.Second, Gang: true})
	if got := h.planAndCarryOut(); len(got) != 0 {
		t.Fatalf("%d members start although only two fit, want none", len(got))
	}
	h.register("t1")
	h.deliverReport("t1")
	starts := h.planAndCarryOut()
	if len(starts) != 3 {
		t.Fatalf("%d members start, want 3", len(starts))
	}
	for _, s := range starts {
		if s.Attempt != starts[0].Attempt {
			t.Errorf("attempts %d and %d in one gang", s.Attempt, starts[0].Attempt)
		}
	}
}

// When one member of a gang ends, the others are stopped, and all start again with a higher attempt. The completion of one
// member completes all.
func TestGangEndsTogether(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000, Memory: 10}, Estimate: time.Second, Gang: true})
	first := h.planAndCarryOut()
	h.endRun(first[0].Target, first[0].Task, first[0].Attempt, work.EndLeaseExpired)
	if again := h.planAndCarryOut(); len(again) != 0 {
		t.Fatalf("%d members start while one of the previous attempt is being stopped, want none", len(again))
	}
	second := h.planAndCarryOut()
	if len(second) != 2 || second[0].Attempt <= first[0].Attempt || second[0].Attempt != second[1].Attempt {
		t.Fatalf("second attempt %+v, want two members with one attempt above %d", second, first[0].Attempt)
	}
	h.endRun(second[0].Target, second[0].Task, second[0].Attempt, work.EndDone)
	h.planAndCarryOut()
	if state, _ := h.pool.State("0000000000000001", h.pool.durable); state != work.Completed {
		t.Errorf("state %s after one member is done, want %s", state, work.Completed)
	}
}

// A gang fails after as many failed attempts as the queue allows.
func TestGangFailures(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000, Memory: 10}, Estimate: time.Second, Gang: true})
	for range testQueue.MaxAttempts {
		var starts []StartCommand
		for range 5 {
			h.now = h.now.Add(failureBackoff)
			h.pool.Tick(h.now)
			if starts = h.planAndCarryOut(); len(starts) > 0 {
				break
			}
		}
		if len(starts) != 2 {
			t.Fatalf("%d members start, want 2", len(starts))
		}
		h.endRun(starts[1].Target, starts[1].Task, starts[1].Attempt, work.EndFailed)
		h.planAndCarryOut()
	}
	if state, _ := h.pool.State("0000000000000001", h.pool.durable); state != work.Failed {
		t.Errorf("state %s after %d failed attempts, want %s", state, testQueue.MaxAttempts, work.Failed)
	}
}

// Guards against a gang whose job is failed after one attempt, because each of its members failed in it, and against one that has
// another attempt for each member.
func TestGangAttemptFailsOnce(t *testing.T) {
	h := newHarness(t, 8)
	h.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000, Memory: 10}, Estimate: time.Second, Gang: true})
	j := h.pool.jobs["0000000000000001"]
	for attempt := 1; attempt <= testQueue.MaxAttempts; attempt++ {
		if j.failed {
			t.Fatalf("the job has failed before attempt %d, want %d attempts", attempt, testQueue.MaxAttempts)
		}
		starts := h.planAndCarryOut()
		if len(starts) != 2 {
			t.Fatalf("attempt %d: %d members start, want 2", attempt, len(starts))
		}
		for _, start := range starts { // the ends of all members are on their way
			h.endRun(start.Target, start.Task, start.Attempt, work.EndFailed)
		}
	}
	if !j.failed {
		t.Errorf("the job has not failed after %d attempts", testQueue.MaxAttempts)
	}
}

// Tasks of a queue with advice start only on targets for which there is a ticket, and with the ticket.
func TestAdviceRestrictsTargets(t *testing.T) {
	h := newHarness(t, 3)
	q := testQueue
	q.Advice = &work.AdviceConfig{TicketValidity: 3 * time.Second}
	h.pool.SetQueues([]work.Queue{q})
	h.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000, Memory: 10}, Estimate: time.Second})
	h.pool.Plan(h.now)
	commands := h.pool.TakeCommands()
	if len(commands) != 1 {
		t.Fatalf("commands %v, want one advice request", commands)
	}
	ask, ok := commands[0].(AdviceRequest)
	if !ok || len(ask.Targets) != 3 {
		t.Fatalf("command %+v, want an advice request for three targets", commands[0])
	}
	h.pool.HandleAdvice(ask, Advice{Granted: map[work.TargetID]string{"t1": "ticket"}, Validity: q.Advice.TicketValidity, IssuedAfter: h.now})
	starts := h.planAndCarryOut()
	if len(starts) != 2 {
		t.Fatalf("%d tasks start, want 2", len(starts))
	}
	for _, s := range starts {
		if s.Target != "t1" || s.Ticket != "ticket" {
			t.Errorf("task starts on %s with ticket %q, want t1 with the ticket", s.Target, s.Ticket)
		}
	}
}

// Guards against a request to the advice service, with a connection and a goroutine, for each of the thousands of steps that a short
// job may have, and against steps that are never asked about.
func TestAdviceRequestsAreBounded(t *testing.T) {
	const occurrences = 200
	h := newHarness(t, 3)
	q := testQueue
	q.Advice = &work.AdviceConfig{TicketValidity: 3 * time.Second}
	h.pool.SetQueues([]work.Queue{q})
	spec := work.Spec{Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 100}, Estimate: time.Second}}, Repeat: occurrences, FirstAt: h.now.Add(-time.Hour)}
	h.pool.Restore(h.now, &Record{ID: "0000000000000001", Queue: q, Pool: "pool", Spec: spec, Accepted: h.now})
	asked, started := 0, 0
	for round := 0; started < occurrences && round < 10*occurrences; round++ {
		h.now = h.now.Add(100 * time.Millisecond)
		h.pool.Tick(h.now)
		h.pool.Plan(h.now)
		_, seq := h.pool.BeginWrite()
		h.pool.MarkDurable(h.now, seq)
		var asks []AdviceRequest
		for _, cmd := range h.pool.TakeCommands() {
			switch cmd := cmd.(type) {
			case AdviceRequest:
				asks = append(asks, cmd)
			case StartCommand:
				started++
				h.pool.HandleStartResult(h.now, cmd.Target, cmd.Task, cmd.Attempt, StartOK)
				h.endRun(cmd.Target, cmd.Task, cmd.Attempt, work.EndDone)
			}
		}
		if got := len(asks); got > maxAdviceInFlight {
			t.Fatalf("requests for advice at the same time: got %d, want at most %d", got, maxAdviceInFlight)
		}
		if got := len(h.pool.advice); got > maxJobAdvice {
			t.Fatalf("steps of one job with advice: got %d, want at most %d", got, maxJobAdvice)
		}
		asked += len(asks)
		for i, ask := range asks {
			response := Advice{Granted: map[work.TargetID]string{"t1": "ticket"}, Validity: q.Advice.TicketValidity, IssuedAfter: h.now}
			if i%8 == 7 {
				response = Advice{} // the call has failed
			}
			h.pool.HandleAdvice(ask, response)
		}
	}
	if started < occurrences {
		t.Errorf("started tasks: got %d, want %d; %d requests", started, occurrences, asked)
	}
}

// Guards against more calls at the same time than the advice service can handle before the tickets of the first expire, and against
// calls that name so many targets that their tickets are of no use.
func TestAdviceRequestsFitTheService(t *testing.T) {
	for name, test := range map[string]struct {
		config          work.AdviceConfig
		calls, maxNamed int
	}{
		"long calls":             {work.AdviceConfig{DecisionTime: 100 * time.Millisecond, TimePerTarget: 10 * time.Millisecond, TicketValidity: 3 * time.Second}, 2, 30},
		"short calls":            {work.AdviceConfig{DecisionTime: 10 * time.Millisecond, TicketValidity: 3 * time.Second}, 10, 30},
		"very short calls":       {work.AdviceConfig{TicketValidity: 3 * time.Second}, 24, 30},
		"many targets take long": {work.AdviceConfig{DecisionTime: 300 * time.Millisecond, TimePerTarget: 100 * time.Millisecond, TicketValidity: 2 * time.Second}, 2, 2},
		"one target takes long":  {work.AdviceConfig{DecisionTime: 3 * time.Second, TimePerTarget: 100 * time.Millisecond, TicketValidity: 10 * time.Second}, 2, 1},
	} {
		h := newHarness(t, 40)
		q := testQueue
		q.Advice = &test.config
		h.pool.SetQueues([]work.Queue{q})
		for i := range 30 {
			spec := work.Spec{Steps: []work.Step{smallStep}}
			h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016d", i)), q, &spec)
		}
		h.planAndCarryOut()
		for range 3 {
			h.pool.replan = true
			h.pool.Plan(h.now)
		}
		asks := adviceRequests(h.pool.TakeCommands())
		if got := h.pool.adviceRequests; got != test.calls {
			t.Errorf("%s: requests without a response: got %d, want %d", name, got, test.calls)
		}
		for _, ask := range asks {
			if got, limit := len(ask.Targets), test.maxNamed; got > limit {
				t.Errorf("%s: targets in a request: got %d, want at most %d", name, got, limit)
			}
		}
	}
}

func adviceRequests(commands []Command) (asks []AdviceRequest) {
	for _, cmd := range commands {
		if ask, ok := cmd.(AdviceRequest); ok {
			asks = append(asks, ask)
		}
	}
	return asks
}

// Guards against steps that ask again and again, because their tickets expire before a target has room, while those behind them
// never ask.
func TestAdviceRequestsTakeTurns(t *testing.T) {
	const blocked, calls = 20, 60
	h := newHarness(t, 2)
	q := testQueue
	q.Advice = &work.AdviceConfig{DecisionTime: 300 * time.Millisecond, TicketValidity: time.Second}
	last := q
	last.ID, last.Priority = "last", 1
	h.pool.SetQueues([]work.Queue{q, last})
	for i := range blocked {
		h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016d", i)), q, &work.Spec{Steps: []work.Step{smallStep}})
		h.now = h.now.Add(time.Millisecond)
	}
	h.pool.Submit(h.now, "00000000000000ff", last, &work.Spec{Steps: []work.Step{smallStep}})
	asked := map[work.JobID]int{}
	for range calls {
		h.pool.Plan(h.now)
		for _, ask := range adviceRequests(h.pool.TakeCommands()) {
			asked[ask.Job]++
			h.pool.HandleAdvice(ask, Advice{Granted: map[work.TargetID]string{"t0": "ticket", "t1": "ticket"}, IssuedAfter: h.now}) // expires at once
		}
	}
	if got := asked["00000000000000ff"]; got == 0 {
		t.Errorf("requests for the last step: got none among %d others (%v), want some", calls, asked)
	}
	total, most := 0, 0
	for _, n := range asked {
		total, most = total+n, max(most, n)
	}
	if half := total / 2; most < half-1 {
		t.Errorf("requests for the first step in the order of planning: got %d (%v), want half of %d", most, asked, total)
	}
}

// Occurrences start when they are due, not before, and each runs all steps.
func TestScheduledOccurrences(t *testing.T) {
	h := newHarness(t, 1)
	spec := &work.Spec{Steps: []work.Step{smallStep}, Repeat: 2, FirstAt: h.now.Add(2 * time.Second), Period: 3 * time.Second}
	if a := h.pool.Submit(h.now, "0000000000000001", testQueue, spec); a.Refused {
		t.Fatal("the scheduled job was refused")
	}
	if got := h.planAndCarryOut(); len(got) != 0 {
		t.Fatalf("%d tasks start before the first occurrence is due", len(got))
	}
	for k := range 2 {
		h.now = spec.Due(k).Add(10 * time.Millisecond)
		h.pool.Tick(h.now)
		starts := h.planAndCarryOut()
		if len(starts) != 1 || starts[0].Task.Occurrence != k {
			t.Fatalf("occurrence %d: starts %+v, want one task of it", k, starts)
		}
		h.endRun(starts[0].Target, starts[0].Task, starts[0].Attempt, work.EndDone)
		h.planAndCarryOut()
	}
	if state, _ := h.pool.State("0000000000000001", h.pool.durable); state != work.Completed {
		t.Errorf("state %s after both occurrences, want %s", state, work.Completed)
	}
}

// Tasks start only on targets that have the required label and have not reached MaxPerTarget.
func TestLabelsAndLimits(t *testing.T) {
	h := newHarness(t, 3)
	labeled, spread := smallStep, smallStep
	labeled.Label = "gpu"
	spread.Count, spread.MaxPerTarget = 5, 1
	h.submit(labeled, spread)
	seen := map[work.TargetID]int{}
	for _, s := range h.planAndCarryOut() {
		if s.Task.Step == 0 {
			t.Errorf("a task that requires a label starts on %s, which doesn't have it", s.Target)
		}
		seen[s.Target]++
	}
	for id, n := range seen {
		if n > 1 {
			t.Errorf("%d tasks of the step on %s, want 1", n, id)
		}
	}
	if len(seen) != 3 {
		t.Errorf("tasks on %d targets, want 3", len(seen))
	}
}

// A job fails after as many failures of a task as the queue allows, on different targets, and not before.
func TestFailuresAreCountedOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(smallStep)
	first := h.planAndCarryOut()[0]
	h.endRun(first.Target, first.Task, first.Attempt, work.EndFailed)
	// The same end again, as after a takeover before it was acknowledged.
	h.deliverReport(first.Target, work.RunEnd{Task: first.Task, Attempt: first.Attempt, Kind: work.EndFailed})
	h.now = h.now.Add(2 * failureBackoff)
	h.pool.Tick(h.now)
	second := h.planAndCarryOut()
	if len(second) != 1 || second[0].Target == first.Target {
		t.Fatalf("second start %+v, want one on another target than %s", second, first.Target)
	}
	h.endRun(second[0].Target, second[0].Task, second[0].Attempt, work.EndFailed)
	h.planAndCarryOut()
	if state, _ := h.pool.State("0000000000000001", h.pool.durable); state != work.Failed {
		t.Errorf("state %s after two failures, want %s", state, work.Failed)
	}
}

// Guards against the loss of one of three zones delaying nearly all jobs, because
// nearly each job had a task in each zone.
func TestZoneLossDelaysOnlyItsJobs(t *testing.T) {
	const jobs, zones = 9, 3
	h := newHarness(t, 0)
	for i := range 9 * zones {
		id := work.TargetID(fmt.Sprintf("t%d", i))
		h.pool.Register(h.now, work.Registration{
			ID: id, Pool: "pool", Incarnation: 1000, Zone: ident.ZoneID(fmt.Sprintf("z%d", i%zones)), Capacity: work.Resources{CPU: 16000, Memory: 65536},
		})
		h.deliverReport(id)
	}
	wide := smallStep
	wide.Count, wide.Need.CPU = 8, 5000 // three fit on a target
	for i := range jobs {
		h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016x", i+1)), testQueue, &work.Spec{Steps: []work.Step{wide}})
	}
	zonesOf := map[work.JobID]map[string]bool{}
	for _, start := range h.planAndCarryOut() {
		if zonesOf[start.Task.Job] == nil {
			zonesOf[start.Task.Job] = map[string]bool{}
		}
		n, err := strconv.Atoi(string(start.Target[1:]))
		if err != nil {
			t.Fatal(err)
		}
		zonesOf[start.Task.Job][fmt.Sprint(n%zones)] = true
	}
	for z := range zones {
		hit := 0
		for _, in := range zonesOf {
			if in[fmt.Sprint(z)] {
				hit++
			}
		}
		if want := jobs/zones + 1; hit > want || len(zonesOf) != jobs {
			t.Errorf("the loss of zone %d delays %d of %d jobs, want at most %d of %d", z, hit, len(zonesOf), want, jobs)
		}
	}
}

// Guards against overestimated demand: with estimates that are off in both directions, the sum of the forecasts must be
// about what the tasks take. Pools had held 1.4 times the VMs that their tasks filled.
func TestLearnedRatioIsUnbiased(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := &timeRatio{}
	var forecast, took float64
	for range 2000 {
		task := time.Duration((0.5 + rng.Float64()) * float64(time.Second))
		stated := time.Duration(float64(task) * math.Exp(0.5*rng.NormFloat64()))
		forecast += r.value() * float64(stated)
		took += float64(task)
		r.add(task, stated)
	}
	if got := forecast / took; got < 0.9 || got > 1.1 {
		t.Errorf("the forecast of the sum is %.2f times what was taken, want 0.9 to 1.1", got)
	}
}

// Guards against an owner that starts without the calibration and the arrival rate of the previous owner: it would measure
// work by the clients' estimates, see no demand for seconds, and refuse jobs before its targets have answered. In one
// scenario, 115 jobs were refused after all processes had restarted.
func TestNextOwnerKnowsDemand(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.ratios["q"] = &timeRatio{Actual: 30 * time.Second, Estimated: 15 * time.Second}
	wide := smallStep
	wide.Count = 8
	var records []*Record
	for i := range 10 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016x", i+1)), testQueue, &work.Spec{Steps: []work.Step{wide}})
		changes, _ := h.pool.BeginWrite()
		for _, c := range changes {
			records = append(records, c.Record)
		}
	}
	want := h.pool.Report(h.now, Directives{}).ArrivalRate
	encoded, err := h.pool.Calibration().Encode()
	if err != nil {
		t.Fatal(err)
	}
	calibration, err := DecodeCalibration(encoded)
	if err != nil {
		t.Fatal(err)
	}
	next := NewPool("pool")
	next.Bounds, next.OwnedSince = h.pool.Bounds, h.now
	next.RestoreCalibration(calibration)
	for i := range records {
		next.Restore(h.now, records[len(records)-1-i])
	}
	if got := next.Report(h.now, Directives{}).ArrivalRate; got < want*9/10 || got > want*11/10 {
		t.Errorf("the next owner reports a demand of %d, the previous owner %d", got, want)
	}
	for i := range 100 {
		if a := next.Submit(h.now, work.JobID(fmt.Sprintf("%016x", i+100)), testQueue, &work.Spec{Steps: []work.Step{wide}}); a.Refused {
			t.Fatalf("job %d is refused before a target has answered", i)
		}
	}
}

// Guards against tasks that wait for the lease of a target whose VM is known to be down, and against runs of a later
// incarnation that end because an earlier one has.
func TestTasksOfDownVMStartElsewhere(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(smallStep)
	first := h.planAndCarryOut()
	h.register("t1")
	h.deliverReport("t1")
	report := h.pool.Report(h.now, Directives{Down: map[work.TargetID]int64{"t0": 0}})
	if got, want := report.Targets[0].Incarnation, int64(1000); got != want {
		t.Fatalf("reported incarnation %d, want %d", got, want)
	}
	if got := h.planAndCarryOut(); len(got) != 0 {
		t.Fatalf("%d tasks start elsewhere before the incarnation is known to have ended, want none", len(got))
	}
	h.pool.Report(h.now, Directives{Down: map[work.TargetID]int64{"t0": 1000}})
	second := h.planAndCarryOut()
	if len(second) != 1 || second[0].Target != "t1" || second[0].Task != first[0].Task {
		t.Fatalf("started %+v after the VM of t0 was found down, want task %v on t1", second, first[0].Task)
	}
	h.pool.Report(h.now, Directives{Down: map[work.TargetID]int64{"t1": 999}})
	if got := h.planAndCarryOut(); len(got) != 0 {
		t.Errorf("%d tasks start again although only an earlier incarnation has ended, want none", len(got))
	}
}

// Guards against jobs that are refused because a shrunk target takes capacity from the others.
func TestShrunkTargetTakesNoCapacity(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(work.Step{Count: 1, Need: work.Resources{CPU: 8000, Memory: 100}, Service: true})
	shrunk := h.planAndCarryOut()[0].Target
	h.pool.Register(h.now, work.Registration{ID: shrunk, Pool: "pool", Incarnation: 1000, Capacity: work.Resources{CPU: 4000, Memory: 65536}})
	if got, want := h.pool.load(h.now, "", admit.Demand{}).Capacity, 16.0; got != want {
		t.Errorf("capacity %v cores beside service tasks, want the %v of the other target", got, want)
	}
}
