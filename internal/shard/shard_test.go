package shard

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// noTargets implements Targets without any target.
type noTargets struct{}

func (noTargets) Client(work.Registration) agent.Client     { return nil }
func (noTargets) Snapshot(ident.PoolID) []work.Registration { return nil }
func (noTargets) Newest(work.VMID) lookup.NewestTarget      { return lookup.NewestTarget{} }
func (noTargets) WaitSynced(context.Context)                {}

func startShard(t *testing.T, log plog.Log, epoch plog.Epoch) *Shard {
	t.Helper()
	return startConfirmedShard(t, log, epoch, time.Now)
}

// startConfirmedShard starts a shard whose ownership was confirmed at the time that lastConfirmed returns.
func startConfirmedShard(t *testing.T, log plog.Log, epoch plog.Epoch, lastConfirmed func() time.Time) *Shard {
	t.Helper()
	return runShard(t, newShard(log, epoch, lastConfirmed))
}

// newShard returns a shard that may be changed before [runShard].
func newShard(log plog.Log, epoch plog.Epoch, lastConfirmed func() time.Time) *Shard {
	return &Shard{
		Partitions: 1, Epoch: epoch, Log: log, Targets: noTargets{}, Clock: clock.System(), Logger: hclog.NewNullLogger(),
		Queues: func() []work.Queue { return nil }, WallOffset: func() time.Duration { return 0 }, LastConfirmed: lastConfirmed,
	}
}

// runShard runs a shard until the end of the test, and returns it once it is ready.
func runShard(t *testing.T, s *Shard) *Shard {
	t.Helper()
	s.Init(context.Background())
	go s.Run()
	t.Cleanup(s.Stop)
	<-s.Ready()
	return s
}

// anyone is the caller of a configuration without tenants.
var anyone = work.Caller{Access: work.AccessOpen}

var (
	testQueue = work.Queue{ID: "q", Pool: "p", MaxAttempts: 2, SlackFactor: 2, Objective: time.Second}
	testSpec  = &work.Spec{Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 100}, Estimate: time.Second}}}
)

// Guards against an owner that doesn't know of the next owner and says that a job
// doesn't exist, so that a cancellation is answered with 410.
func TestPreviousOwnerDeniesNoJob(t *testing.T) {
	log := &fakes.Log{}
	previous := startShard(t, log, 1)
	next := startShard(t, log, 2)
	ctx := t.Context()
	if err := next.Submit(ctx, testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatalf("submit: %v", err)
	}
	if known, err := previous.Cancel(ctx, anyone, "p", "0000000000000001"); err == nil {
		t.Errorf("the previous owner answers a cancel with known = %v, want an error", known)
	}
	if _, known, err := next.State(ctx, anyone, "p", "0000000000000002"); err != nil || known {
		t.Errorf("state of an unknown job: known %v, error %v, want false without an error", known, err)
	}
}

// Guards against a VM that is taken down by the report of a previous owner, which doesn't know of the tasks there.
func TestPreviousOwnerReportsNoPool(t *testing.T) {
	var confirmed atomic.Int64
	s := startConfirmedShard(t, &fakes.Log{}, 1, func() time.Time { return time.Unix(0, confirmed.Load()) })
	for _, test := range []struct {
		name string
		age  time.Duration
		want error
	}{
		{"the ownership was confirmed just now", 0, nil},
		{"it was confirmed when it may have passed on since", 2 * answerValidity, ErrNotOwner},
	} {
		confirmed.Store(time.Now().Add(-test.age).UnixNano())
		if _, got := s.Report(t.Context(), "p", jobs.Directives{}); !errors.Is(got, test.want) {
			t.Errorf("%s: report with error %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a job that is refused although a write without a response may still store it.
func TestUnansweredWriteIsNoRefusal(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	var calls atomic.Int32
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && calls.Add(1) == 1 {
			return true, plog.ErrNoResponse // carried out
		}
		if call == "append" && calls.Load() == 2 {
			return false, plog.ErrRefused // the repeat is refused, which says nothing about the first write
		}
		return true, nil
	}
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Errorf("submit: %v, want success after the write was answered", err)
	}
}

// Guards against clients that wait behind a write without a response until their time is over, and then hear that the outcome
// is unknown, although nothing of their jobs was sent. Guards also against a refusal of a job that is part of that write.
func TestJobsBehindUnansweredWriteAreRefused(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	silent := make(chan struct{})
	begun := make(chan struct{}, 100)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" {
			begun <- struct{}{}
			<-silent
		}
		return true, nil
	}
	inFlight := make(chan error, 2)
	submitFirst := func() { inFlight <- s.Submit(t.Context(), testQueue, "0000000000000001", testSpec) }
	go submitFirst()
	<-begun
	if err := s.Submit(t.Context(), testQueue, "0000000000000002", testSpec); !errors.Is(err, ErrNotStored) {
		t.Errorf("submit behind an unanswered write: %v, want %v", err, ErrNotStored)
	}
	go submitFirst() // a repeat
	select {
	case err := <-inFlight:
		t.Errorf("submit in an unanswered write: %v, want no answer before its outcome is known", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(silent)
	for range 2 {
		if err := <-inFlight; err != nil {
			t.Errorf("submit in a write that was answered late: %v", err)
		}
	}
	if _, known, err := s.State(t.Context(), anyone, "p", "0000000000000002"); known || err != nil {
		t.Errorf("the refused job is known: %v, error %v", known, err)
	}
}

// Guards against jobs that are stored although their clients were told that they were not.
func TestRefusedWriteStoresNothing(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	var down atomic.Bool
	down.Store(true)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && down.Load() {
			return false, plog.ErrRefused
		}
		return true, nil
	}
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); !errors.Is(err, ErrNotStored) {
		t.Fatalf("submit: %v, want %v", err, ErrNotStored)
	}
	down.Store(false)
	time.Sleep(2 * refusedPause)
	if err := s.Submit(t.Context(), testQueue, "0000000000000002", testSpec); err != nil {
		t.Fatalf("submit: %v", err)
	}
	page, err := log.Newest(t.Context(), s.topicPartition(), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		if r.Key == "0000000000000001" {
			t.Error("the refused job is stored")
		}
	}
}

// Guards against jobs that are lost when another process takes over, and against a previous owner that still stores jobs.
func TestNextOwnerKnowsStoredJobs(t *testing.T) {
	log := &fakes.Log{}
	previous := startShard(t, log, 1)
	if err := previous.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatalf("submit: %v", err)
	}
	next := startShard(t, log, 2)
	state, known, err := next.State(t.Context(), anyone, "p", "0000000000000001")
	if err != nil || !known || state != work.Queued {
		t.Errorf("state %q, known %v, error %v, want %q", state, known, err, work.Queued)
	}
	if err := previous.Submit(t.Context(), testQueue, "0000000000000002", testSpec); err == nil {
		t.Error("the previous owner stores a job")
	}
}

// Guards against an owner that proves its ownership with an empty append. Such an
// append takes no sequence number, so the log rejects the next append as out of
// sequence and the owner stops.
func TestProofKeepsTheSequence(t *testing.T) {
	s := startShard(t, &fakes.Log{}, 1)
	for i, id := range []work.JobID{"0000000000000001", "0000000000000002"} {
		if err := s.Submit(t.Context(), testQueue, id, testSpec); err != nil {
			t.Fatalf("submit %d: %v", i, err)
		}
		if _, known, err := s.State(t.Context(), anyone, "p", "00000000000000ff"); err != nil || known {
			t.Fatalf("state of an unknown job: known %v, error %v", known, err)
		}
	}
	select {
	case <-s.Done():
		t.Error("the owner has ended")
	default:
	}
}

// Guards against jobs that are refused although they are stored: a write takes several
// appends, and a later one is refused after an earlier one was stored.
func TestRefusalAfterStoredChunkWithdrawsNothing(t *testing.T) {
	const attempts = 20
	for range attempts {
		if submitManyRefusingThirdAppend(t) {
			return
		}
	}
	t.Fatalf("no append was refused in %d attempts", attempts)
}

// submitManyRefusingThirdAppend submits jobs that need more than one append and compares the responses with what is stored.
// It reports whether an append was refused: usually the second one of a write, unless many jobs came too late for that write.
func submitManyRefusingThirdAppend(t *testing.T) (refused bool) {
	t.Helper()
	const count = 300 // their payloads need more than one append
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	var calls atomic.Int32
	begun, allSubmitted := make(chan struct{}), make(chan struct{})
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call != "append" {
			return true, nil
		}
		switch calls.Add(1) {
		case 1:
			close(begun)
			<-allSubmitted // the jobs submitted meanwhile share the next write
		case 3:
			return false, plog.ErrRefused
		}
		return true, nil
	}
	spec := *testSpec
	spec.Payload = strings.Repeat("x", 4000)
	results := make([]error, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { results[i] = s.Submit(t.Context(), testQueue, work.JobID(fmt.Sprintf("%016x", i+1)), &spec) })
		if i == 0 {
			<-begun
		}
	}
	time.Sleep(100 * time.Millisecond) // most of the jobs are in the mailbox or accepted
	close(allSubmitted)
	wg.Wait()
	stored := map[string]bool{}
	for after, more := "", true; more; {
		page, err := log.Newest(t.Context(), s.topicPartition(), after)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			stored[r.Key], after = true, r.Key
		}
		more = page.More
	}
	for i, err := range results {
		// The refused append may also be the first of a write; then its jobs are rightly refused.
		if id := fmt.Sprintf("%016x", i+1); stored[id] != (err == nil) {
			t.Fatalf("job %s: submit returned %v, stored %v", id, err, stored[id])
		}
	}
	return calls.Load() >= 3
}

// Guards against a panic in one partition's owner that ends the process, or that leaves requests without an answer. The
// next owner continues from the stored state.
func TestPanicEndsOnlyItsOwner(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatal(err)
	}
	var noResponse atomic.Bool
	noResponse.Store(true)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && noResponse.Load() {
			return false, plog.ErrNoResponse
		}
		return true, nil
	}
	requestErr := make(chan error, 1)
	go func() {
		_, _, err := s.State(t.Context(), anyone, "p", "0000000000000002") // waits for a proof of ownership, or finds the owner ended
		requestErr <- err
	}()
	s.post(func(time.Time) { panic("a malformed job") })
	<-s.Done()
	if err := <-requestErr; err == nil {
		t.Error("a request to an owner that has panicked succeeds")
	}
	noResponse.Store(false)
	next := startShard(t, log, 2)
	if _, known, err := next.State(t.Context(), anyone, "p", "0000000000000001"); err != nil || !known {
		t.Errorf("the next owner: known %v, error %v, want the stored job", known, err)
	}
}

// Guards against events that share a round and are handled with the time of the first one: an answered start seemed to be
// older than a run report that was requested before it, and that doesn't name the run; the task then ran twice.
func TestEventsOfARoundHaveTheirOwnTime(t *testing.T) {
	s := startShard(t, &fakes.Log{}, 1)
	begun, release := make(chan struct{}), make(chan struct{})
	s.post(func(time.Time) {
		close(begun)
		<-release
	})
	<-begun
	handled := make(chan time.Time, 1)
	time.Sleep(20 * time.Millisecond)
	posted := time.Now()
	s.post(func(now time.Time) { handled <- now })
	close(release)
	if got := <-handled; got.Before(posted) {
		t.Errorf("an event is handled as of %v before it was posted", posted.Sub(got))
	}
}

// partialLog returns pages that hold a part of the newest records.
type partialLog struct{ *fakes.Log }

func (l partialLog) Newest(ctx context.Context, from plog.TopicPartition, after string) (plog.Page, error) {
	page, err := l.Log.Newest(ctx, from, after)
	page.Partial = true
	return page, err
}

// Guards against a job that is denied by an owner which could read only a part of what is stored.
func TestPartOfTheRecordsDeniesNoJob(t *testing.T) {
	s := startShard(t, partialLog{&fakes.Log{}}, 1)
	if _, known, err := s.State(t.Context(), anyone, "p", "0000000000000001"); !errors.Is(err, ErrUndecoded) {
		t.Errorf("state: known %v, error %v, want %v", known, err, ErrUndecoded)
	}
	if known, err := s.Cancel(t.Context(), anyone, "p", "0000000000000001"); !errors.Is(err, ErrUndecoded) {
		t.Errorf("cancel: known %v, error %v, want %v", known, err, ErrUndecoded)
	}
	if err := s.Submit(t.Context(), testQueue, "0000000000000002", testSpec); err != nil {
		t.Errorf("submit: %v", err)
	}
}

// Guards against a log that answers slowly and is taken for one that doesn't answer: every submission behind a write would be
// refused. Load: each append takes longer than minWriteLimit, and submissions arrive meanwhile.
func TestSubmissionsWaitForSlowLog(t *testing.T) {
	const appendTime = minWriteLimit + 50*time.Millisecond
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" {
			time.Sleep(appendTime)
		}
		return true, nil
	}
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatalf("first submission: %v", err)
	}
	results := make(chan error, 2)
	for i := range 2 { // the second one waits behind the write of the first
		go func() {
			results <- s.Submit(t.Context(), testQueue, work.JobID(fmt.Sprintf("%016x", i+2)), testSpec)
		}()
		time.Sleep(appendTime / 4)
	}
	for range 2 {
		if err := <-results; err != nil {
			t.Errorf("submission behind a slow write: %v, want it stored", err)
		}
	}
}
