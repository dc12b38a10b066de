package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against a burst that is admitted whole because its own jobs don't count yet, and against work that counts long after
// it has ended.
func TestAdmissionCountsJobsOfTheSameMoment(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.SetTenants(1, []work.Tenant{{ID: cappedTenant, Weight: 1, Cap: work.Resources{CPU: 4000}}})
	demand := admit.Demand{CPUTime: time.Second}
	submit := func(n int) {
		h.submitFor(cappedTenant, work.JobID(fmt.Sprintf("%016x", n)), work.Step{Count: 1, Need: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second})
	}
	for n := 1; n <= 4; n++ {
		submit(n)
		want := time.Duration(n) * time.Second
		if got := h.pool.load(h.now, cappedTenant, demand); got.Backlog != want || got.Tenant.Backlog != want {
			t.Errorf("after %d jobs of 1 s: backlog %v, of the tenant %v, want %v", n, got.Backlog, got.Tenant.Backlog, want)
		}
		if got, want := h.pool.capBacklog(h.now, cappedTenant, work.Resources{CPU: 4000}).CPU, time.Duration(n)*time.Second/4; got != want {
			t.Errorf("after %d jobs of 1 s: %v behind a cap of 4 cores, want %v", n, got, want)
		}
	}
	for n := 1; n <= 4; n++ {
		if _, known := h.pool.Cancel(h.now, work.JobID(fmt.Sprintf("%016x", n))); !known {
			t.Fatal("a job is not known")
		}
	}
	h.now = h.now.Add(workloadAge)
	if got := h.pool.load(h.now, cappedTenant, demand).Backlog; got != 0 {
		t.Errorf("backlog %v after all jobs were canceled, want 0", got)
	}
	if got := h.pool.capBacklog(h.now, cappedTenant, work.Resources{CPU: 4000}).CPU; got != 0 {
		t.Errorf("%v behind the cap after all jobs were canceled, want 0", got)
	}
}
