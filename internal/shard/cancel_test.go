package shard

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const lateJob work.JobID = "0000000000000001"

// wallOffset is the offset of a shard's wall clock, which a test advances.
type wallOffset struct{ atomic.Int64 }

func (o *wallOffset) get() time.Duration { return time.Duration(o.Load()) }

// startAt starts an owner with a wall clock.
func (o *wallOffset) startAt(t *testing.T, log plog.Log, epoch plog.Epoch) *Shard {
	t.Helper()
	s := newShard(log, epoch, time.Now)
	s.WallOffset = o.get
	return runShard(t, s)
}

func cancelUnknown(t *testing.T, s *Shard, caller work.Caller, id work.JobID) {
	t.Helper()
	if known, err := s.Cancel(t.Context(), caller, "p", id); known || err != nil {
		t.Fatalf("cancel of an unknown job: known %v, error %v, want neither", known, err)
	}
}

// Guards against a job that starts after its cancellation was confirmed, because its submission arrives later: with the owner that
// has confirmed it and with the next one, for as long as a submission may be late, and not longer.
func TestSubmissionAfterCancellationIsRefused(t *testing.T) {
	log, wall := &fakes.Log{}, &wallOffset{}
	first := wall.startAt(t, log, 1)
	cancelUnknown(t, first, anyone, lateJob)
	next := wall.startAt(t, log, 2)
	wall.Add(int64(cancellationTime - time.Second))
	check := func(when string, s *Shard, want error) {
		t.Helper()
		if got := s.Submit(t.Context(), testQueue, lateJob, testSpec); !errors.Is(got, want) {
			t.Errorf("submission %s: error %v, want %v", when, got, want)
		}
	}
	check("to the former owner", first, ErrNotOwner)
	check("to the next owner", next, ErrCanceled)
	if _, known, err := next.State(t.Context(), anyone, "p", lateJob); known || err != nil {
		t.Errorf("state of the job: known %v, error %v, want an unknown job", known, err)
	}
	wall.Add(int64(2 * time.Second))
	check("after the cancellation has expired", next, nil)
}

// Guards against a cancellation that concerns the jobs of another tenant or pool, or not those that its caller may cancel.
func TestCancellationConcernsItsCaller(t *testing.T) {
	s := startShard(t, &fakes.Log{}, 1)
	other := testQueue
	other.Pool = "other"
	for i, test := range []struct {
		name   string
		caller work.Caller
		queue  work.Queue
		tenant work.TenantID
		want   error
	}{
		{"no tenants", anyone, testQueue, "", ErrCanceled},
		{"canceled before there were tenants", anyone, testQueue, "a", ErrCanceled},
		{"the tenant itself", callerOf("a"), testQueue, "a", ErrCanceled},
		{"another tenant", callerOf("b"), testQueue, "a", nil},
		{"a public job", callerOf("b"), testQueue, "", ErrCanceled},
		{"a tenant's job without a key", work.Caller{Access: work.AccessPublic}, testQueue, "a", nil},
		{"another pool", anyone, other, "", nil},
	} {
		id := work.JobID(fmt.Sprintf("%016d", i))
		cancelUnknown(t, s, test.caller, id)
		if test.tenant != "" {
			cancelUnknown(t, s, callerOf("c"), id) // must not replace the first
		}
		if got := s.Submit(t.Context(), test.queue, id, tenantSpec(test.tenant)); !errors.Is(got, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a submission that is refused as canceled while the cancellation isn't stored: the next owner would run the job.
func TestUnstoredCancellationRefusesNothing(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	var refusing atomic.Bool
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && refusing.Load() {
			return false, plog.ErrRefused
		}
		return true, nil
	}
	refusing.Store(true)
	if known, err := s.Cancel(t.Context(), anyone, "p", lateJob); err == nil {
		t.Fatalf("cancel while the log refuses writes: known %v, want an error", known)
	}
	if got := s.Submit(t.Context(), testQueue, lateJob, testSpec); !errors.Is(got, ErrNotStored) {
		t.Errorf("submission while the log refuses writes: error %v, want %v", got, ErrNotStored)
	}
	refusing.Store(false)
	time.Sleep(2 * refusedPause)
	got := s.Submit(t.Context(), testQueue, lateJob, testSpec)
	next := startShard(t, log, 2)
	if later := next.Submit(t.Context(), testQueue, lateJob, testSpec); !errors.Is(later, got) {
		t.Errorf("submission: error %v, and %v by the next owner, want the same", got, later)
	}
}

// Guards against an owner that keeps cancellations without a bound, or confirms one that it doesn't keep. Load: a client cancels
// thousands of jobs that nobody submits.
func TestCancellationsAreBounded(t *testing.T) {
	const limit ident.Bytes = 20_000
	log, wall := &fakes.Log{}, &wallOffset{}
	s := newShard(log, 1, time.Now)
	s.WallOffset, s.Space = wall.get, space.Account{Cancellations: limit}
	runShard(t, s)
	confirmed := map[work.JobID]bool{}
	for i := range 3000 {
		id := work.JobID(fmt.Sprintf("%016d", i))
		var refused *RefusedError
		switch known, err := s.Cancel(t.Context(), anyone, "p", id); {
		case err == nil && !known:
			confirmed[id] = true
		case !errors.As(err, &refused):
			t.Fatalf("cancel: known %v, error %v, want a confirmation or a refusal", known, err)
		case refused.RetryAfter <= 0 || refused.RetryAfter > cancellationTime:
			t.Errorf("refusal: come back in %v, want at most %v", refused.RetryAfter, cancellationTime)
		}
	}
	if got, want := len(confirmed), int(limit/300); got < want || got > int(limit/cancellationSize) {
		t.Errorf("confirmed cancellations: got %d, want %d to %d", got, want, limit/cancellationSize)
	}
	next := wall.startAt(t, log, 2)
	for id := range confirmed {
		if got := next.Submit(t.Context(), testQueue, id, testSpec); !errors.Is(got, ErrCanceled) {
			t.Errorf("submission of job %s, canceled before: error %v, want %v", id, got, ErrCanceled)
		}
	}
}

// Guards against cancellations that stay in memory or in the log once they hold no longer.
func TestCancellationsExpire(t *testing.T) {
	log, wall := &fakes.Log{}, &wallOffset{}
	s := wall.startAt(t, log, 1)
	for i := range 20 {
		cancelUnknown(t, s, anyone, work.JobID(fmt.Sprintf("%016d", i)))
	}
	wall.Add(int64(cancellationTime + time.Second))
	await(t, "expired cancellations to be removed", func() bool {
		page, err := log.Newest(t.Context(), plog.TopicPartition{Topic: JobsTopic}, "")
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for _, r := range page.Records {
			if r.Key != proofKey {
				n++
			}
		}
		return n == 0
	})
	s.Stop()
	if got := s.Space.Used(space.Cancellations); got != 0 {
		t.Errorf("bytes of cancellations: got %d, want 0", got)
	}
}
