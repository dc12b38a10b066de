package ctrl

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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

// recordingService is a VM service that records the calls it receives. It doesn't check their tokens.
type recordingService struct {
	mu    sync.Mutex
	calls []sentCall
}

type sentCall struct {
	token work.Fence
	at    time.Time
}

func (c *recordingService) VMs(context.Context) ([]work.VM, error) { return nil, nil }

func (c *recordingService) Move(ctx context.Context, _ work.VMID, _ ident.PoolID, token work.Fence) error {
	if err := permit.Check(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, sentCall{token, time.Now()})
	return nil
}

func (c *recordingService) Maintain(ctx context.Context, id work.VMID, _ int64, token work.Fence) error {
	return c.Move(ctx, id, "", token)
}

func (c *recordingService) tokens() []work.Fence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []work.Fence
	for _, call := range c.calls {
		out = append(out, call.token)
	}
	return out
}

// singlePool implements Pools with one pool and no waves.
type singlePool struct{}

func (singlePool) Report(context.Context, ident.PoolID, jobs.Directives) (sizer.Pool, error) {
	return sizer.Pool{ID: "p"}, nil
}
func (singlePool) Configured() []work.PoolConfig { return []work.PoolConfig{{ID: "p"}} }
func (singlePool) Waves() []work.Wave            { return nil }

const testLease = 3 * time.Second

func newTestController(t *testing.T, log plog.Log, cloud *recordingService, epoch plog.Epoch, c clock.Clock, wallOffset time.Duration) *Controller {
	t.Helper()
	s := &Controller{
		Cloud: cloud, Pools: singlePool{}, Log: log, Token: work.Fence(epoch), Epoch: epoch, Lease: testLease,
		MaySend: func() bool { return true }, WallOffset: func() time.Duration { return wallOffset }, Clock: c, Logger: hclog.NewNullLogger(),
	}
	if err := s.init(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

var testCommand = command{kind: jobs.CordonMove, vm: "m", target: "t", from: "p", to: "q"}

// partitionedLog drops the response to the first write of an intent and blocks its repeats until reconnected is closed.
type partitionedLog struct {
	plog.Log
	stored, reconnected chan struct{}
	writes              atomic.Int32 // attempts of an append overlap
}

func (l *partitionedLog) Append(ctx context.Context, to plog.TopicPartition, w plog.Writer, records []plog.Record) error {
	if len(records) == 0 {
		return l.Log.Append(ctx, to, w, records)
	}
	if l.writes.Add(1) == 1 {
		defer close(l.stored)
		_ = l.Log.Append(ctx, to, w, records) // the response is lost
		return plog.ErrNoResponse
	}
	<-l.reconnected
	return l.Log.Append(ctx, to, w, records)
}

// Guards against commands for one VM by two controllers, the one with the lower token last. The previous controller's
// intent is stored, but the response is lost in a network partition. After the partition the log confirms the repeated
// write, although the next controller has taken over and sent its command.
func TestPreviousControllerSendsNoCommand(t *testing.T) {
	cloud := &recordingService{}
	log := &partitionedLog{Log: &fakes.Log{}, stored: make(chan struct{}), reconnected: make(chan struct{})}
	previous := newTestController(t, log, cloud, 10241, clock.System(), 0)
	done := make(chan error)
	go func() { done <- previous.execute(t.Context(), []command{testCommand}) }()
	<-log.stored
	next := newTestController(t, log.Log, cloud, 15361, clock.System(), 0)
	time.Sleep(testLease + 100*time.Millisecond)
	if !next.available(time.Now(), testCommand.vm) {
		t.Fatal("the next controller still leaves the VM alone after the lease")
	}
	if err := next.execute(t.Context(), []command{testCommand}); err != nil {
		t.Fatal(err)
	}
	close(log.reconnected)
	if err := <-done; err != nil {
		t.Logf("previous controller: %v", err)
	}
	if got := cloud.tokens(); !slices.IsSorted(got) || len(got) == 0 {
		t.Errorf("tokens of the commands for one VM: %v, want none below an earlier one", got)
	}
}

// Guards against a controller that was suspended between its intent and its command. The next controller sends commands
// once the lease has passed, so the command must not be sent late in the lease.
func TestPausedControllerSendsNoCommand(t *testing.T) {
	log, cloud, manual := &fakes.Log{}, &recordingService{}, clock.NewManual(time.Now())
	s := newTestController(t, log, cloud, 1, manual, 0)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" {
			manual.Advance(testLease / 2)
		}
		return true, nil
	}
	if err := s.execute(t.Context(), []command{testCommand}); err != nil {
		t.Fatal(err)
	}
	if got := cloud.tokens(); len(got) != 0 {
		t.Errorf("%d commands sent half a lease after their intent, want none", len(got))
	}
	if s.commands[testCommand.vm] != nil {
		t.Error("a command that was not sent is kept as one that may take effect")
	}
}

// Guards against a controller that sends commands too early because its clock is ahead of the previous controller's, and
// against one that leaves VMs alone although their leases have passed, as 39 of 49 VMs at each takeover in one test.
func TestNextControllerWaitsForLease(t *testing.T) {
	const ahead = testLease + 5*time.Second
	now := time.Now()
	for _, test := range []struct {
		age, wait time.Duration
	}{{0, testLease}, {testLease / 2, testLease/2 + maxSkew}, {testLease + maxSkew, 0}, {-time.Minute, testLease}} {
		log, cloud := &fakes.Log{}, &recordingService{}
		previous := newTestController(t, log, cloud, 1, clock.NewManual(now.Add(-test.age)), 0)
		if err := previous.execute(t.Context(), []command{testCommand}); err != nil {
			t.Fatal(err)
		}
		manual := clock.NewManual(now.Add(ahead))
		next := newTestController(t, log, cloud, 2, manual, -ahead)
		if test.wait > 0 {
			manual.Advance(test.wait - time.Millisecond)
			if next.available(manual.Now(), testCommand.vm) {
				t.Errorf("intent of age %v: the next controller may send a command after %v, want %v", test.age, test.wait-time.Millisecond, test.wait)
			}
			manual.Advance(time.Millisecond)
		}
		if !next.available(manual.Now(), testCommand.vm) {
			t.Errorf("intent of age %v: the next controller may not send a command after %v", test.age, test.wait)
		}
	}
}

// newVMService lists a VM that has been added just after the first list was made.
type newVMService struct {
	recordingService
	lists atomic.Int32
}

func (s *newVMService) VMs(context.Context) ([]work.VM, error) {
	list := []work.VM{{ID: "old", Pool: "p", State: work.VMUp}, {ID: "new", Pool: "p", State: work.VMUp}}
	if s.lists.Add(1) == 1 {
		return list[:1], nil
	}
	return list, nil
}

// newWave implements Pools with a wave that is published just after the first list of VMs was made.
type newWave struct {
	singlePool
	vms *newVMService
}

func (p newWave) Waves() []work.Wave {
	if p.vms.lists.Load() == 0 {
		return nil
	}
	return []work.Wave{{ID: 1, VMs: []work.VMID{"new"}, TimeLimit: time.Minute, MaxDown: 1}}
}

// Guards against a wave that is reported as completed by a list of VMs that is older than the wave: its VM counted as gone.
func TestWaveIsNotCompletedByAnOlderList(t *testing.T) {
	log, cloud := &fakes.Log{}, &newVMService{}
	c := newTestController(t, log, &cloud.recordingService, 1, clock.System(), 0)
	c.Cloud, c.Pools = cloud, newWave{vms: cloud}
	var statuses []bool
	c.EncodeStatus = func(_ int64, completed bool) (plog.Record, error) {
		statuses = append(statuses, completed)
		return plog.Record{Key: "wave/1", Value: []byte("x")}, nil
	}
	for range 2 {
		if err := c.round(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if want := []bool{false}; !slices.Equal(statuses, want) {
		t.Errorf("published as completed: %v, want %v", statuses, want)
	}
}
