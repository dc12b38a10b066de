package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against a job that loses its tenant when it is stored and read by the next owner, and against records of earlier
// versions that can't be read.
func TestRecordKeepsTenant(t *testing.T) {
	for _, tenant := range []work.TenantID{"", "a"} {
		h := newHarness(t, 1)
		spec := &work.Spec{Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 100}, Estimate: time.Second}}, Tenant: tenant}
		h.pool.Submit(h.now, "00000000000000aa", work.Queue{ID: "q", Pool: "p"}, spec)
		changes, _ := h.pool.BeginWrite()
		if len(changes) != 1 {
			t.Fatalf("%d changes, want 1", len(changes))
		}
		b, err := changes[0].Record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		r, err := DecodeRecord(b)
		if err != nil {
			t.Fatal(err)
		}
		next := NewPool("p")
		next.Restore(h.now, r)
		if got, known := next.Tenant("00000000000000aa"); got != tenant || !known {
			t.Errorf("tenant %q after a takeover, known %v, want %q", got, known, tenant)
		}
	}
}

// Guards against a finished job that belongs to nobody, and is shown to all, once its specification has been dropped.
func TestStrippedJobKeepsTenant(t *testing.T) {
	h := newHarness(t, 1)
	spec := &work.Spec{Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 100}, Estimate: time.Second}}, Tenant: "a"}
	const id = "00000000000000aa"
	h.pool.Submit(h.now, id, work.Queue{ID: "q", Pool: "p"}, spec)
	h.pool.Cancel(h.now, id)
	_, write := h.pool.BeginWrite()
	h.pool.MarkDurable(h.now, write)
	h.now = h.now.Add(maxCommandDelay + time.Second)
	h.pool.Expire(h.now)
	j := h.pool.jobs[id]
	if !j.stripped {
		t.Fatal("the job has not been stripped")
	}
	if got, _ := h.pool.Tenant(id); got != "a" || j.spec.Tenant != "a" {
		t.Errorf("tenant %q, and %q in its record, want a", got, j.spec.Tenant)
	}
}
