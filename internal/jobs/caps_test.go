package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const (
	cappedTenant work.TenantID = "capped"
	freeTenant   work.TenantID = "free"
)

var testCap = work.Resources{CPU: 8000}

// newCapHarness returns a pool in which a tenant may hold allowed of testCap, and another tenant has no cap.
func newCapHarness(t *testing.T, allowed work.Millicores) *harness {
	t.Helper()
	h := newHarness(t, 2)
	h.pool.SetTenants(1, []work.Tenant{{ID: cappedTenant, Cap: testCap}, {ID: freeTenant}})
	h.allow(allowed)
	return h
}

func (h *harness) allow(allowed work.Millicores) {
	h.pool.SetLimits(map[work.TenantID]quota.Limit{cappedTenant: {Allowed: work.Resources{CPU: allowed}, Cap: testCap, Version: 1}})
}

// submitFor submits a job of a tenant.
func (h *harness) submitFor(tenant work.TenantID, id work.JobID, steps ...work.Step) {
	h.t.Helper()
	if a := h.pool.Submit(h.now, id, testQueue, &work.Spec{Steps: steps, Tenant: tenant}); a.Refused {
		h.t.Fatalf("job %s was refused", id)
	}
}

func tasks(n int, cpu work.Millicores) work.Step {
	return work.Step{Count: n, Need: work.Resources{CPU: cpu, Memory: 100}, Estimate: time.Second}
}

// entryOf returns the entry of the tenant with a cap in a full report.
func (h *harness) entryOf(t *testing.T) quota.Entry {
	t.Helper()
	h.now = h.now.Add(usageValidity)
	for _, e := range h.pool.CapEntries(h.now, &quota.Grant{Slot: quota.SlotOf(cappedTenant), Full: true}) {
		if e.Tenant == cappedTenant {
			return e
		}
	}
	return quota.Entry{}
}

// Guards against starts above a tenant's limit, against a tenant at its limit that blocks others, and against VMs for tasks
// that wait for a cap.
func TestTasksAboveLimitWait(t *testing.T) {
	h := newCapHarness(t, 4500)
	h.submitFor(cappedTenant, "0000000000000001", tasks(8, 1000))
	h.submitFor(freeTenant, "0000000000000002", tasks(8, 1000))
	h.submitFor("", "0000000000000003", tasks(8, 1000))
	started := map[work.JobID]int{}
	var last StartCommand
	for _, cmd := range h.planAndCarryOut() {
		started[cmd.Task.Job]++
		if cmd.Task.Job == "0000000000000001" {
			last = cmd
		}
	}
	if want := (map[work.JobID]int{"0000000000000001": 4, "0000000000000002": 8, "0000000000000003": 8}); fmt.Sprint(started) != fmt.Sprint(want) {
		t.Fatalf("started %v, want %v", started, want)
	}
	if got := h.pool.Report(h.now, Directives{}).Runnable; got != (work.Resources{}) {
		t.Errorf("runnable %+v while the others wait for the cap, want none", got)
	}
	e := h.entryOf(t)
	if e.Usage.Held.CPU != 4000 || e.Usage.Waiting.CPU != 4000 || e.Usage.Next.CPU != 1000 {
		t.Errorf("reported %+v, want 4000 held, 4000 waiting and 1000 next", e.Usage)
	}
	h.endRun(last.Target, last.Task, last.Attempt, work.EndDone)
	if got := len(h.planAndCarryOut()); got != 1 {
		t.Errorf("%d starts after a task has ended, want 1", got)
	}
	h.allow(7000)
	if got := h.pool.Report(h.now, Directives{}).Runnable.CPU; got != 3000 {
		t.Errorf("runnable %d after the limit was raised by 3 tasks, want 3000", got)
	}
	if got := len(h.planAndCarryOut()); got != 3 {
		t.Errorf("%d starts after the limit was raised, want 3", got)
	}
}

// Guards against tasks that count with less than their need: best-effort tasks reserve no CPU.
func TestBestEffortTasksHoldTheirNeed(t *testing.T) {
	h := newCapHarness(t, 3000)
	step := tasks(5, 1000)
	step.BestEffort = true
	h.submitFor(cappedTenant, "0000000000000001", step)
	if got := len(h.planAndCarryOut()); got != 3 {
		t.Errorf("%d starts, want 3", got)
	}
}

// Guards against a part of a gang that starts, and against one that starts above the limit.
func TestGangFitsLimitAsAWhole(t *testing.T) {
	h := newCapHarness(t, 3500)
	gang := tasks(4, 1000)
	gang.Gang = true
	h.submitFor(cappedTenant, "0000000000000001", gang)
	if got := len(h.planAndCarryOut()); got != 0 {
		t.Errorf("%d members start with a limit of 3.5 members, want none", got)
	}
	if e := h.entryOf(t); e.Usage.Next.CPU != 4000 || e.Usage.Member.CPU != 1000 {
		t.Errorf("reported next %+v, member %+v, want the whole gang of 4000 and 1000", e.Usage.Next, e.Usage.Member)
	}
	h.allow(4000)
	if got := len(h.planAndCarryOut()); got != 4 {
		t.Errorf("%d members start with a limit of 4 members, want 4", got)
	}
}

// Guards against a suspect task that starts above the limit because its trial is planned apart from other tasks.
func TestTrialStaysWithinLimit(t *testing.T) {
	h := newCapHarness(t, 1000)
	h.submitFor(cappedTenant, "0000000000000001", tasks(1, 1000))
	start := h.planAndCarryOut()[0]
	h.crash(start.Target)
	if !h.pool.jobs["0000000000000001"].occurrences[0].steps[0].tasks[0].crashes.OnTrial() {
		t.Fatal("the task is not on trial after its target has crashed")
	}
	h.allow(500)
	for range 30 {
		h.now = h.now.Add(time.Second)
		for id := range h.pool.targets {
			h.deliverReport(id)
		}
		h.pool.Tick(h.now)
		if got := h.planAndCarryOut(); len(got) != 0 {
			t.Fatalf("started %+v above the limit", got[0].Task)
		}
	}
	h.allow(1000)
	if got := len(h.planAndCarryOut()); got != 1 {
		t.Errorf("%d starts after the limit was raised, want 1", got)
	}
}

// Guards against tasks that don't count while they may still run: on a silent target, and while they are being stopped.
func TestSilentAndStoppingRunsAreHeld(t *testing.T) {
	h := newCapHarness(t, 4000)
	h.submitFor(cappedTenant, "0000000000000001", tasks(4, 1000))
	starts := h.planAndCarryOut()
	h.pool.Cancel(h.now, "0000000000000001")
	for id := range h.pool.targets {
		h.pool.MarkUnreachable(h.now, id)
	}
	if got := h.entryOf(t).Usage.Held.CPU; got != 4000 {
		t.Errorf("%d held by tasks that are being stopped on silent targets, want 4000", got)
	}
	h.pool.MarkLeaseExpired(h.now, starts[0].Target)
	if got := h.entryOf(t).Usage.Held.CPU; got >= 4000 {
		t.Errorf("%d held after the lease of a target has expired, want less than 4000", got)
	}
}

// Guards against a next owner that doesn't count what runs, and against one that doesn't know the cap of a tenant that was
// removed from the configuration meanwhile.
func TestNextOwnerKnowsHoldingsAndCaps(t *testing.T) {
	h := newCapHarness(t, 4000)
	h.submitFor(cappedTenant, "0000000000000001", tasks(6, 1000))
	h.submitFor(freeTenant, "0000000000000002", tasks(2, 1000))
	h.planAndCarryOut()
	limits := h.pool.caps.limits
	for _, test := range []struct {
		name    string
		version int64
		tenants []work.Tenant
		limits  map[work.TenantID]quota.Limit
		allowed work.Millicores
		free    bool // the tenant without a cap is not limited
	}{
		{"same configuration", 1, []work.Tenant{{ID: cappedTenant, Cap: testCap}, {ID: freeTenant}}, limits, 4000, true},
		{"tenants removed", 2, nil, limits, 4000, true},
		{"tenants removed, no limit here", 2, nil, nil, 0, true},
		{"configuration not read", 0, nil, limits, 4000, true},
		{"lower cap", 2, []work.Tenant{{ID: cappedTenant, Cap: work.Resources{CPU: 7000}}, {ID: freeTenant}}, limits, 0, true},
		{"higher cap", 2, []work.Tenant{{ID: cappedTenant, Cap: work.Resources{CPU: 70000}}, {ID: freeTenant}}, limits, 4000, true},
		{"new cap", 2, []work.Tenant{{ID: cappedTenant, Cap: testCap}, {ID: freeTenant, Cap: testCap}}, limits, 4000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			next := NewPool("pool")
			next.SetLimits(test.limits)
			if err := restoreAll(next, h.now, h.store); err != nil {
				t.Fatal(err)
			}
			next.SetTenants(test.version, test.tenants)
			if got := next.caps.held[cappedTenant].CPU; got != 4000 {
				t.Errorf("%d held, want 4000", got)
			}
			c, limit := next.capOf(cappedTenant)
			if !quota.Limits(c) || limit.Allowed.CPU != test.allowed {
				t.Errorf("cap %+v, %d allowed, want a cap and %d", c, limit.Allowed.CPU, test.allowed)
			}
			if c, _ := next.capOf(freeTenant); quota.Limits(c) == test.free {
				t.Errorf("cap %+v of the tenant that had none, want that it is limited: %v", c, !test.free)
			}
		})
	}
}

// Guards against an owner that starts tasks of a tenant that only a newer configuration has, and limits.
func TestUnknownTenantStartsNothing(t *testing.T) {
	h := newCapHarness(t, 4000)
	h.submitFor("new", "0000000000000001", tasks(1, 1000))
	if got := len(h.planAndCarryOut()); got != 0 {
		t.Errorf("%d starts of a tenant that is not known, want none", got)
	}
	h.pool.SetTenants(2, []work.Tenant{{ID: cappedTenant, Cap: testCap}, {ID: "new"}})
	if got := len(h.planAndCarryOut()); got != 1 {
		t.Errorf("%d starts once the tenant is known to have no cap, want 1", got)
	}
}

// Guards against a task above the cap that starts beside other tasks.
func TestTaskAboveCapStartsAlone(t *testing.T) {
	h := newCapHarness(t, 8000)
	h.submitFor(cappedTenant, "0000000000000001", tasks(1, 1000))
	h.submitFor(cappedTenant, "0000000000000002", tasks(1, 9000))
	whole := h.pool.caps.limits[cappedTenant]
	whole.Whole = true
	h.pool.SetLimits(map[work.TenantID]quota.Limit{cappedTenant: whole})
	starts := h.planAndCarryOut()
	if len(starts) != 1 || starts[0].Task.Job != "0000000000000001" {
		t.Fatalf("started %v, want the small task alone", starts)
	}
	h.endRun(starts[0].Target, starts[0].Task, starts[0].Attempt, work.EndDone)
	if got := len(h.planAndCarryOut()); got != 1 {
		t.Errorf("%d starts of the large task while nothing is held, want 1", got)
	}
}

// Guards against a job that is accepted although its tenant's own backlog lets it complete far too late by the cap, against
// others that are refused for it, and against a demand for VMs by work that a cap holds back.
func TestBacklogBehindCapRefuses(t *testing.T) {
	h := newCapHarness(t, 8000)
	refusedAt := 0
	for n := range 40 {
		id := work.JobID(fmt.Sprintf("%016x", n+1))
		if a := h.pool.Submit(h.now, id, testQueue, &work.Spec{Steps: []work.Step{tasks(8, 1000)}, Tenant: cappedTenant}); a.Refused {
			refusedAt = n
			if a.RetryAfter <= 0 {
				t.Errorf("refused without a time to retry")
			}
			break
		}
	}
	// The objective is 2.2 s: behind a backlog of more than 5.6 s a job of 1 s completes after three times that.
	if want := 6; refusedAt != want {
		t.Errorf("job %d is refused, want %d", refusedAt, want)
	}
	h.submitFor(freeTenant, "00000000000000ff", tasks(8, 1000))
	h.planAndCarryOut()
	for range 8 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.pool.Tick(h.now)
	}
	before := h.pool.arrivals.slow
	h.pool.NoteArrival(h.now, "00000000000000fe", testQueue, &work.Spec{Steps: []work.Step{tasks(8, 1000)}, Tenant: cappedTenant})
	if got := h.pool.arrivals.slow; got > before {
		t.Errorf("arrival rate %v after work of a tenant at its cap, want at most %v", got, before)
	}
}

// Guards against jobs that can never run, and for which a cap would keep allowances from other pools.
func TestJobsThatCannotRunAskForNothing(t *testing.T) {
	h := newCapHarness(t, 2000)
	label := tasks(4, 1000)
	label.Label = "none has it"
	h.submitFor(cappedTenant, "0000000000000001", label)
	h.submitFor(cappedTenant, "0000000000000002", tasks(1, 17_000))
	h.planAndCarryOut()
	if e := h.entryOf(t); e.Usage.Waiting != (work.Resources{}) || e.Usage.Wanted != (work.Resources{}) || e.Usage.Next != (work.Resources{}) {
		t.Errorf("reported %+v, want nothing that waits", e.Usage)
	}
}

// Guards against log lines at each round while a tenant is at its cap.
func TestHeldBackIsReportedOnce(t *testing.T) {
	h := newCapHarness(t, 4000)
	events := map[EventKind]int{}
	h.pool.Events = func(e Event) { events[e.Kind]++ }
	h.submitFor(cappedTenant, "0000000000000001", tasks(8, 1000))
	h.planAndCarryOut()
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.pool.Tick(h.now)
	}
	h.allow(8000)
	h.planAndCarryOut()
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.pool.Tick(h.now)
	}
	if events[EventHeldBack] != 1 || events[EventReleased] != 1 {
		t.Errorf("%d lines that the tenant is held back, %d that it isn't any more, want one of each", events[EventHeldBack], events[EventReleased])
	}
}

// Guards against records, messages and counts for deployments without tenants.
func TestNothingIsKeptWithoutTenants(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.SetTenants(1, nil)
	h.submit(smallStep)
	h.planAndCarryOut()
	c := &h.pool.caps
	if len(c.views)+len(c.held)+len(c.heldBack) != 0 || !c.usageAt.IsZero() {
		t.Errorf("state of caps %+v, want none", c)
	}
	if r, err := DecodeRecord(h.store["0000000000000001"]); err != nil || r.Cap != nil {
		t.Errorf("record with the cap %+v, error %v, want none", r.Cap, err)
	}
}

// BenchmarkCapEntries measures the report of a pool whose jobs belong to tenants that all wait for their caps.
func BenchmarkCapEntries(b *testing.B) {
	for _, size := range [][3]int{{80, 800, 20}, {80, 4000, 120}} {
		b.Run(fmt.Sprintf("targets=%d/jobs=%d/tenants=%d", size[0], size[1], size[2]), func(b *testing.B) {
			p, now := newLoadedPool(b, size[0], size[1])
			var tenants []work.Tenant
			for n := range size[2] {
				tenants = append(tenants, work.Tenant{ID: work.TenantID(fmt.Sprint("tenant-", n)), Cap: testCap})
			}
			p.SetTenants(1, tenants)
			for n, j := range p.active {
				j.tenant = tenants[n%len(tenants)].ID
			}
			for b.Loop() {
				now = now.Add(usageValidity)
				p.CapEntries(now, &quota.Grant{})
			}
		})
	}
}
