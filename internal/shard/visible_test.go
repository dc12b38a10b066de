package shard

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

func callerOf(tenant work.TenantID) work.Caller {
	return work.Caller{Access: work.AccessTenant, Tenant: tenant}
}

// tenantSpec returns a specification of a tenant's job.
func tenantSpec(tenant work.TenantID) *work.Spec {
	spec := *testSpec
	spec.Tenant = tenant
	return &spec
}

// Guards against a job that another tenant sees, cancels or replaces, with the owner that has stored it and with the next.
func TestJobIsVisibleToItsTenant(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	ctx := t.Context()
	const owned, common = "0000000000000001", "0000000000000002"
	for id, spec := range map[work.JobID]*work.Spec{owned: tenantSpec("a"), common: tenantSpec("")} {
		if err := s.Submit(ctx, testQueue, id, spec); err != nil {
			t.Fatalf("submit: %v", err)
		}
	}
	public := work.Caller{Access: work.AccessPublic}
	check := func(s *Shard, want work.JobState) {
		t.Helper()
		for _, test := range []struct {
			caller work.Caller
			id     work.JobID
			sees   bool
		}{
			{callerOf("a"), owned, true},
			{callerOf("b"), owned, false},
			{public, owned, false},
			{anyone, owned, true},
			{callerOf("a"), common, true},
			{callerOf("b"), common, true},
			{public, common, true},
			{anyone, common, true},
		} {
			state, known, err := s.State(ctx, test.caller, "p", test.id)
			if known != test.sees || err != nil || known != (state != "") || known && test.id == owned && state != want {
				t.Errorf("state of job %s for %+v: %q, known %v, error %v, want known %v", test.id, test.caller, state, known, err, test.sees)
			}
		}
		for _, other := range []work.TenantID{"b", ""} {
			if err := s.Submit(ctx, testQueue, owned, tenantSpec(other)); !errors.Is(err, ErrIDInUse) {
				t.Errorf("submission of tenant %q with the id of another tenant's job: error %v, want %v", other, err, ErrIDInUse)
			}
		}
		for _, id := range []work.JobID{owned, common} {
			if err := s.Submit(ctx, testQueue, id, tenantSpec("a")); err != nil {
				t.Errorf("repeated submission of job %s: error %v", id, err)
			}
		}
	}
	check(s, work.Queued)
	s = startShard(t, log, 2)
	check(s, work.Queued)
	for _, other := range []work.Caller{callerOf("b"), public} {
		if known, err := s.Cancel(ctx, other, "p", owned); known || err != nil {
			t.Errorf("cancel by %+v: known %v, error %v, want unknown", other, known, err)
		}
	}
	check(s, work.Queued)
	if known, err := s.Cancel(ctx, callerOf("a"), "p", owned); !known || err != nil {
		t.Errorf("cancel by its tenant: known %v, error %v, want known", known, err)
	}
	check(s, work.Canceled)
	check(startShard(t, log, 3), work.Canceled)
}

// Guards against an owner that tells a client of another tenant's job by answering without a proof of its ownership, sooner
// than for a job that doesn't exist.
func TestJobOfAnotherTenantNeedsProof(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", tenantSpec("a")); err != nil {
		t.Fatal(err)
	}
	var appends atomic.Int32
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" {
			appends.Add(1)
		}
		return true, nil
	}
	for name, ask := range map[string]func(work.JobID) (bool, error){
		"state": func(id work.JobID) (bool, error) {
			_, known, err := s.State(t.Context(), callerOf("b"), "p", id)
			return known, err
		},
		"cancel": func(id work.JobID) (bool, error) { return s.Cancel(t.Context(), callerOf("b"), "p", id) },
	} {
		for id, what := range map[work.JobID]string{"0000000000000001": "another tenant's job", "00000000000000ff": "a job that doesn't exist"} {
			before := appends.Load()
			if known, err := ask(id); known || err != nil {
				t.Errorf("%s of %s: known %v, error %v, want unknown", name, what, known, err)
			}
			if got := appends.Load() - before; got < 1 {
				t.Errorf("%s of %s was answered after %d writes, want a proof of ownership", name, what, got)
			}
		}
	}
}

// Guards against a submission that is denied for good because of another tenant's job which is not stored in the end.
func TestIDOfUnstoredJobIsNotInUse(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	begun, refuse := make(chan struct{}, 1), make(chan struct{})
	var calls atomic.Int32
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && calls.Add(1) == 1 {
			begun <- struct{}{}
			<-refuse
			return false, plog.ErrRefused
		}
		return true, nil
	}
	first := make(chan error, 1)
	go func() { first <- s.Submit(t.Context(), testQueue, "0000000000000001", tenantSpec("a")) }()
	<-begun
	second := make(chan error, 1)
	go func() { second <- s.Submit(t.Context(), testQueue, "0000000000000001", tenantSpec("b")) }()
	time.Sleep(50 * time.Millisecond) // it waits for the write of the first
	close(refuse)
	for name, got := range map[string]chan error{"first": first, "second": second} {
		if err := <-got; !errors.Is(err, ErrNotStored) {
			t.Errorf("%s submission: error %v, want %v", name, err, ErrNotStored)
		}
	}
	time.Sleep(2 * refusedPause)
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", tenantSpec("b")); err != nil {
		t.Errorf("repeated submission: error %v", err)
	}
}

// Guards against a report or a plan that depends on who the caller is: only clients' requests do.
func TestReportCountsJobsOfAllTenants(t *testing.T) {
	s := startShard(t, &fakes.Log{}, 1)
	for i, tenant := range []work.TenantID{"a", "b", ""} {
		if err := s.Submit(t.Context(), testQueue, work.JobID([]string{"0000000000000001", "0000000000000002", "0000000000000003"}[i]), tenantSpec(tenant)); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := s.Pending(t.Context(), "p", "q"); got != 3 || err != nil {
		t.Errorf("pending %d, error %v, want 3", got, err)
	}
	if _, err := s.Report(t.Context(), "p", jobs.Directives{}); err != nil {
		t.Errorf("report: %v", err)
	}
}

// Guards against a submission that is called invalid because the log rejects another tenant's job of that id.
func TestSubmitError(t *testing.T) {
	for _, test := range []struct {
		err   error
		inUse bool
		want  error
	}{
		{nil, false, nil},
		{nil, true, ErrIDInUse},
		{ErrInvalid, false, ErrInvalid},
		{ErrInvalid, true, ErrNotStored},
	} {
		if got := submitError(test.err, test.inUse); !errors.Is(got, test.want) {
			t.Errorf("error %v, in use %v: %v, want %v", test.err, test.inUse, got, test.want)
		}
	}
}
