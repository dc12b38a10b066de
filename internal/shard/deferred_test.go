package shard

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// startShardWithin starts a shard whose jobs may take some memory.
func startShardWithin(t *testing.T, log plog.Log, epoch plog.Epoch, limit ident.Bytes, total *space.Total) *Shard {
	t.Helper()
	s := newShard(log, epoch, time.Now)
	s.Space = space.Account{Limit: limit, Total: total}
	s.Bounds = jobs.Bounds{Retention: time.Minute, MaxRecord: 256 << 10}
	return runShard(t, s)
}

// Guards against an owner that takes in more stored jobs than it has memory for, or loses those for which it has none: they
// are known, shown and counted, a cancellation of one is carried out, and all are in memory once others have gone.
func TestDeferredJobs(t *testing.T) {
	const count = 40
	log := &fakes.Log{PageRecords: 7}
	large := &work.Spec{Steps: []work.Step{{Count: 150, Need: work.Resources{CPU: 100}, DataRack: strings.Repeat("x", 10_000)}}} // with segments
	id := func(i int) work.JobID { return work.JobID(fmt.Sprintf("%016x", i)) }
	ctx := t.Context()
	first := startShardWithin(t, log, 1, 0, nil)
	for i := range count {
		if err := first.Submit(ctx, testQueue, id(i), large); err != nil {
			t.Fatalf("submit: %v", err)
		}
	}
	first.Stop()

	const limit = 400_000 // the jobs take 1.7 MB
	total := &space.Total{Limit: 2 * limit}
	next := startShardWithin(t, log, 2, limit, total)
	if got := total.Used(); got > limit {
		t.Errorf("space in use after the takeover: got %d bytes, want at most %d", got, limit)
	}
	if got, err := next.Pending(ctx, "p", "q"); got != count || err != nil {
		t.Errorf("pending: got %d, %v, want %d", got, err, count)
	}
	if err := next.Submit(ctx, testQueue, "1000000000000000", testSpec); err != nil {
		t.Errorf("submission of a small job: %v, want success", err)
	}
	if err := next.Submit(ctx, testQueue, "1000000000000001", large); err == nil {
		t.Error("submission of a large job while stored ones have no space: got success, want a refusal")
	}
	for i := count - 1; i >= 0; i-- {
		if err := next.Submit(ctx, testQueue, id(i), large); err != nil {
			t.Errorf("repeated submission of %s: %v, want success", id(i), err)
		}
		if got, known, err := next.State(ctx, anyone, "p", id(i)); got != work.Queued || !known || err != nil {
			t.Errorf("state of %s: got %s, %v, %v, want %s", id(i), got, known, err, work.Queued)
		}
	}
	for i := count - 1; i >= 0; i-- {
		if known, err := next.Cancel(ctx, anyone, "p", id(i)); !known || err != nil {
			t.Fatalf("cancellation of %s: got %v, %v, want success", id(i), known, err)
		}
		if got, known, err := next.State(ctx, anyone, "p", id(i)); got != work.Canceled || !known || err != nil {
			t.Errorf("state of %s: got %s, %v, %v, want %s", id(i), got, known, err, work.Canceled)
		}
	}
	next.Stop()
	if got := total.Used(); got != 0 {
		t.Errorf("space in use after the partition was released: got %d bytes, want 0", got)
	}

	// The next owner has the canceled jobs, and no space for their tasks.
	last := startShardWithin(t, log, 3, limit, nil)
	for i := range count {
		if got, known, err := last.State(ctx, anyone, "p", id(i)); got != work.Canceled || !known || err != nil {
			t.Errorf("state of %s at the next owner: got %s, %v, %v, want %s", id(i), got, known, err, work.Canceled)
		}
	}
	if got, _ := last.Pending(ctx, "p", "q"); got != 1 {
		t.Errorf("pending: got %d, want 1, the small job", got)
	}
}

// Guards against a stored job that is denied because its record can't be decoded once there is space for it.
func TestUndecodedDeferredJobIsNotDenied(t *testing.T) {
	const id = "0000000000000002"
	log := &fakes.Log{}
	ctx := t.Context()
	large := &work.Spec{Steps: []work.Step{{Count: 100, Need: work.Resources{CPU: 100}}}}
	first := startShardWithin(t, log, 1, 0, nil)
	for _, job := range []work.JobID{"0000000000000001", id} {
		if err := first.Submit(ctx, testQueue, job, large); err != nil {
			t.Fatalf("submit: %v", err)
		}
	}
	first.Stop()
	next := startShardWithin(t, log, 2, 20_000, nil) // enough for the first one
	if err := log.Append(ctx, next.topicPartition(), plog.Writer{}, []plog.Record{{Key: id, Value: []byte("of a later version")}}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if known, err := next.Cancel(ctx, anyone, "p", id); !errors.Is(err, ErrUndecoded) {
			t.Errorf("cancellation: got %v, %v, want %v", known, err, ErrUndecoded)
		}
	}
	if _, _, err := next.State(ctx, anyone, "p", id); !errors.Is(err, ErrUndecoded) {
		t.Errorf("state: got error %v, want %v", err, ErrUndecoded)
	}
}
