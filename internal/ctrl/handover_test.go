package ctrl

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// recordingCloud is a machine service that checks no tokens and notes the orders that reach it.
type recordingCloud struct {
	mu     sync.Mutex
	orders []sentOrder
}

type sentOrder struct {
	token work.Fence
	at    time.Time
}

func (c *recordingCloud) Machines(context.Context) ([]work.Machine, error) { return nil, nil }

func (c *recordingCloud) Move(ctx context.Context, _ work.MachineID, _ ident.PoolID, token work.Fence) error {
	if err := permit.Check(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, sentOrder{token, time.Now()})
	return nil
}

func (c *recordingCloud) Maintain(ctx context.Context, id work.MachineID, _ int64, token work.Fence) error {
	return c.Move(ctx, id, "", token)
}

func (c *recordingCloud) tokens() []work.Fence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []work.Fence
	for _, o := range c.orders {
		out = append(out, o.token)
	}
	return out
}

// onePool is a fleet of a single configured pool.
type onePool struct{}

func (onePool) Report(context.Context, ident.PoolID, jobs.Directives) (sizer.Pool, error) {
	return sizer.Pool{ID: "p"}, nil
}
func (onePool) Configured() []work.PoolConfig { return []work.PoolConfig{{ID: "p"}} }
func (onePool) Waves() []work.Wave            { return nil }

const testLease = 3 * time.Second

func newHolder(t *testing.T, log plog.Log, cloud *recordingCloud, epoch plog.Epoch, c clock.Clock, wallOffset time.Duration) *Controller {
	t.Helper()
	s := &Controller{
		Cloud: cloud, Pools: onePool{}, Log: log, Token: work.Fence(epoch), Epoch: epoch, Lease: testLease,
		MayOrder: func() bool { return true }, WallOffset: func() time.Duration { return wallOffset }, Clock: c, Logger: hclog.NewNullLogger(),
	}
	if err := s.init(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

var testMove = ready{kind: jobs.CordonMove, machine: "m", target: "t", from: "p", to: "q"}

// cutLog loses the answer to the first write of an intent and holds its repeats until healed.
type cutLog struct {
	plog.Log
	stored, healed chan struct{}
	writes         int
}

func (l *cutLog) Append(ctx context.Context, to plog.TopicPartition, w plog.Writer, records []plog.Record) error {
	if len(records) == 0 {
		return l.Log.Append(ctx, to, w, records)
	}
	if l.writes++; l.writes == 1 {
		defer close(l.stored)
		_ = l.Log.Append(ctx, to, w, records) // the answer is lost
		return plog.ErrNoAnswer
	}
	<-l.healed
	return l.Log.Append(ctx, to, w, records)
}

// Guards against orders for one VM under two tokens around a hand-over (ONE, umurimo-hatch scale-1: 15361 by the
// successor, then 10241 by the former holder whose zone's cut had healed). The former holder's write of its intent is
// stored but not answered; the log answers the repeat with success, although a later holder has taken over.
func TestFormerHolderSendsNoOrder(t *testing.T) {
	cloud := &recordingCloud{}
	log := &cutLog{Log: &fakes.Log{}, stored: make(chan struct{}), healed: make(chan struct{})}
	former := newHolder(t, log, cloud, 10241, clock.System(), 0)
	done := make(chan error)
	go func() { done <- former.perform(t.Context(), []ready{testMove}) }()
	<-log.stored
	successor := newHolder(t, log.Log, cloud, 15361, clock.System(), 0)
	time.Sleep(testLease + 100*time.Millisecond)
	if !successor.free(time.Now(), testMove.machine) {
		t.Fatal("the successor still leaves the VM alone after the lease")
	}
	if err := successor.perform(t.Context(), []ready{testMove}); err != nil {
		t.Fatal(err)
	}
	close(log.healed)
	if err := <-done; err != nil {
		t.Logf("the former holder: %v", err)
	}
	if got := cloud.tokens(); !slices.IsSorted(got) || len(got) == 0 {
		t.Errorf("tokens of the orders for one VM: %v, want none below an earlier one", got)
	}
}

// Guards against a holder that was paused between its intent and its order: the successor acts once the lease has
// passed, so an order may only leave well before that.
func TestPausedHolderSendsNoOrder(t *testing.T) {
	log, cloud, manual := &fakes.Log{}, &recordingCloud{}, clock.NewManual(time.Now())
	s := newHolder(t, log, cloud, 1, manual, 0)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" {
			manual.Advance(testLease / 2)
		}
		return true, nil
	}
	if err := s.perform(t.Context(), []ready{testMove}); err != nil {
		t.Fatal(err)
	}
	if got := cloud.tokens(); len(got) != 0 {
		t.Errorf("%d orders left half a lease after their intent, want none", len(got))
	}
	if s.orders[testMove.machine] != nil {
		t.Error("an order that wasn't sent is counted as one that may take effect")
	}
}

// Guards against a successor that acts too early since its clock is ahead of the former holder's (clock_step), and against
// one that leaves VMs alone for long whose lease has passed (cdmw-hatch trouble-1: 39 of 49 VMs held at each take-over).
func TestSuccessorWaitsForTheLease(t *testing.T) {
	const ahead = testLease + 5*time.Second
	now := time.Now()
	for _, test := range []struct {
		age, wait time.Duration
	}{{0, testLease}, {testLease / 2, testLease/2 + maxSkew}, {testLease + maxSkew, 0}, {-time.Minute, testLease}} {
		log, cloud := &fakes.Log{}, &recordingCloud{}
		former := newHolder(t, log, cloud, 1, clock.NewManual(now.Add(-test.age)), 0)
		if err := former.perform(t.Context(), []ready{testMove}); err != nil {
			t.Fatal(err)
		}
		manual := clock.NewManual(now.Add(ahead))
		successor := newHolder(t, log, cloud, 2, manual, -ahead)
		if test.wait > 0 {
			manual.Advance(test.wait - time.Millisecond)
			if successor.free(manual.Now(), testMove.machine) {
				t.Errorf("age %v: the successor may order after %v, want %v", test.age, test.wait-time.Millisecond, test.wait)
			}
			manual.Advance(time.Millisecond)
		}
		if !successor.free(manual.Now(), testMove.machine) {
			t.Errorf("age %v: the successor may not order after %v", test.age, test.wait)
		}
	}
}
