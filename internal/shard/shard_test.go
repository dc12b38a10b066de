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
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// noTargets is a platform without targets.
type noTargets struct{}

func (noTargets) Client(work.Registration) agent.Client                     { return nil }
func (noTargets) Snapshot(ident.PoolID) []work.Registration                 { return nil }
func (noTargets) Incarnation(work.MachineID) (id work.TargetID, born int64) { return "", 0 }
func (noTargets) WaitSynced(context.Context)                                {}
func start(t *testing.T, log plog.Log, epoch plog.Epoch) *Shard {
	t.Helper()
	s := &Shard{
		Partitions: 1, Epoch: epoch, Log: log, Targets: noTargets{}, Clock: clock.System(), Logger: hclog.NewNullLogger(),
		Queues: func() []work.Queue { return nil }, WallOffset: func() time.Duration { return 0 }, LastConfirmed: time.Now,
	}
	s.Init(context.Background())
	go s.Run()
	t.Cleanup(s.Stop)
	<-s.Ready()
	return s
}

var (
	testQueue = work.Queue{ID: "q", Pool: "p", MaxAttempts: 2, SlackFactor: 2, Objective: time.Second}
	testSpec  = &work.Spec{Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 100}, Estimate: time.Second}}}
)

// Guards against an owner that doesn't know of its successor and says that a
// job doesn't exist (UNASKED, umurimo-hatch hunt-35d6-3: the cancel was answered 410).
func TestFormerOwnerDenysNoJob(t *testing.T) {
	log := &fakes.Log{}
	former := start(t, log, 1)
	present := start(t, log, 2)
	ctx := t.Context()
	if err := present.Submit(ctx, testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatalf("submit: %v", err)
	}
	if known, err := former.Cancel(ctx, "p", "0000000000000001"); err == nil {
		t.Errorf("the former owner answers a cancel with known = %v, want an error", known)
	}
	if _, known, err := present.State(ctx, "p", "0000000000000002"); err != nil || known {
		t.Errorf("state of an unknown job: known %v, error %v, want false without an error", known, err)
	}
}

// Guards against a job that is refused although a write that may still take effect names it.
func TestUnansweredWriteIsNoRefusal(t *testing.T) {
	log := &fakes.Log{}
	s := start(t, log, 1)
	var calls atomic.Int32
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && calls.Add(1) == 1 {
			return true, plog.ErrNoAnswer // carried out
		}
		if call == "append" && calls.Load() == 2 {
			return false, plog.ErrRefused // the repeat is refused, which says nothing of the first
		}
		return true, nil
	}
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Errorf("submit: %v, want success after the write was answered", err)
	}
}

// Guards against false refusals, and against jobs that are stored after their refusal.
func TestRefusedWriteStoresNothing(t *testing.T) {
	log := &fakes.Log{}
	s := start(t, log, 1)
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
	page, err := log.Newest(t.Context(), s.position(), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		if r.Key == "0000000000000001" {
			t.Error("the refused job is stored")
		}
	}
}

// Guards against jobs that are lost when their owner is replaced.
func TestSuccessorKnowsStoredJobs(t *testing.T) {
	log := &fakes.Log{}
	former := start(t, log, 1)
	if err := former.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatalf("submit: %v", err)
	}
	present := start(t, log, 2)
	state, known, err := present.State(t.Context(), "p", "0000000000000001")
	if err != nil || !known || state != work.Queued {
		t.Errorf("state %q, known %v, error %v, want %q", state, known, err, work.Queued)
	}
	if err := former.Submit(t.Context(), testQueue, "0000000000000002", testSpec); err == nil {
		t.Error("the former owner stores a job")
	}
}

// Guards against an owner that loses its place in the log's sequence by proving
// that it is the owner (ownership lost with "the log expects append", incident
// inc-ca77 of carretilla-quito): an empty append takes no number.
func TestProofKeepsTheSequence(t *testing.T) {
	s := start(t, &fakes.Log{}, 1)
	for i, id := range []work.JobID{"0000000000000001", "0000000000000002"} {
		if err := s.Submit(t.Context(), testQueue, id, testSpec); err != nil {
			t.Fatalf("submit %d: %v", i, err)
		}
		if _, known, err := s.State(t.Context(), "p", "00000000000000ff"); err != nil || known {
			t.Fatalf("state of an unknown job: known %v, error %v", known, err)
		}
	}
	select {
	case <-s.Done():
		t.Error("the owner has ended")
	default:
	}
}

// Guards against stored jobs that are refused: a write that takes several
// appends, of which a later one is refused after an earlier one was stored.
func TestRefusalAfterAStoredPartWithdrawsNothing(t *testing.T) {
	const count = 300 // with their payloads more than one append takes
	log := &fakes.Log{}
	s := start(t, log, 1)
	var calls atomic.Int32
	gathered := make(chan struct{})
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call != "append" {
			return true, nil
		}
		switch calls.Add(1) {
		case 1:
			<-gathered // the jobs that come meanwhile share the next write
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
	}
	time.Sleep(100 * time.Millisecond) // most of the jobs are in the mailbox or taken in
	close(gathered)
	wg.Wait()
	stored := map[string]bool{}
	for after, more := "", true; more; {
		page, err := log.Newest(t.Context(), s.position(), after)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			stored[r.Key], after = true, r.Key
		}
		more = page.More
	}
	for i, err := range results {
		// The refused append may also be the first of a write, whose jobs are refused truthfully.
		if id := fmt.Sprintf("%016x", i+1); stored[id] != (err == nil) {
			t.Fatalf("job %s: submit %v, stored %v", id, err, stored[id])
		}
	}
	if got := calls.Load(); got < 3 {
		t.Fatalf("%d appends, none of them was refused", got)
	}
}

// Guards against a panic of the owner of one partition that takes the process down, and against clients that wait for its
// answer: the next owner goes on with what is stored.
func TestPanicEndsOneOwner(t *testing.T) {
	log := &fakes.Log{}
	s := start(t, log, 1)
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatal(err)
	}
	var mute atomic.Bool
	mute.Store(true)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && mute.Load() {
			return false, plog.ErrNoAnswer
		}
		return true, nil
	}
	broken := make(chan error, 1)
	go func() {
		_, _, err := s.State(t.Context(), "p", "0000000000000002") // waits for a proof, or comes too late
		broken <- err
	}()
	s.post(func(time.Time) { panic("a malformed job") })
	<-s.Done()
	if err := <-broken; err == nil {
		t.Error("a request to an owner that has panicked succeeds")
	}
	mute.Store(false)
	next := start(t, log, 2)
	if _, known, err := next.State(t.Context(), "p", "0000000000000001"); err != nil || !known {
		t.Errorf("the next owner: known %v, error %v, want the stored job", known, err)
	}
}
