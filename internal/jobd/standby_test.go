package jobd

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

// startAnnounced starts a daemon that answers pings and whose VM is announced with the given processor capacity.
func startAnnounced(t *testing.T, log plog.Log, cpu work.Millicores) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	addr := local.Addr()
	l, err := link.Listen(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Listener: l, Handler: func(context.Context, link.Method, []byte) ([]byte, error) { return nil, nil }}
	go func() { _ = server.Run(ctx) }() // ends with the context
	s := &standby{Log: log, PeerAddress: addr, CPU: cpu}
	if err := s.announce(ctx); err != nil {
		t.Fatal(err)
	}
	return cancel
}

// Guards against daemons on weaker VMs that own all partitions because those on stronger VMs, although running, own none
// (deployment grown of deploy/regression, scenario quiet-1, seed 931624837478).
func TestWeakerDaemonStandsBy(t *testing.T) {
	log := &fakes.Log{}
	table := &ownerTable{byPartition: map[plog.TopicPartition]string{}}
	weak := &standby{
		Log: log, PeerAddress: local.Addr(), CPU: 192, PeerClient: &link.Client{}, Owners: table, Partitions: 2, Clock: clock.System(), Logger: hclog.NewNullLogger(),
	}
	var stops []func()
	for i := range 3 {
		if weak.check(t.Context()); weak.On() {
			t.Fatalf("stands by for %d stronger daemons, want %d", i, minStronger)
		}
		stops = append(stops, startAnnounced(t, log, 800))
	}
	startAnnounced(t, log, 192)
	if weak.check(t.Context()); !weak.On() {
		t.Fatal("does not stand by for three stronger daemons that own no partition yet")
	}
	for _, stop := range stops {
		stop()
	}
	time.Sleep(50 * time.Millisecond) // until their connections have ended
	for n := range 2 {
		table.byPartition[plog.TopicPartition{Topic: "t", Partition: plog.Partition(n)}] = fmt.Sprint(n)
	}
	if weak.check(t.Context()); !weak.On() {
		t.Error("stops standing by while all partitions have an owner")
	}
	clear(table.byPartition)
	for range unownedChecks {
		weak.check(t.Context())
	}
	if weak.On() {
		t.Error("still stands by although the partitions have no owner and the stronger daemons have stopped")
	}
}

// Guards against partitions that change owners twice after the loss of all daemons: weaker daemons join because the
// stronger ones don't answer yet, and leave again (deployment grown of deploy/regression, scenario trouble-2, 2 s after
// the daemons were back).
func TestStartingWeakerDaemonWaitsForStronger(t *testing.T) {
	log := &fakes.Log{}
	weak := &standby{
		Log: log, PeerAddress: local.Addr(), CPU: 192, PeerClient: &link.Client{}, Owners: &ownerTable{}, Partitions: 2, Clock: clock.System(), Logger: hclog.NewNullLogger(),
	}
	for range minStronger {
		addr := local.Addr()
		s := &standby{Log: log, PeerAddress: addr, CPU: 800}
		if err := s.announce(t.Context()); err != nil { // before the loss of all daemons
			t.Fatal(err)
		}
		time.AfterFunc(400*time.Millisecond, func() {
			l, err := link.Listen(t.Context(), addr)
			if err != nil {
				return // the test has ended
			}
			server := &link.Server{Listener: l, Handler: func(context.Context, link.Method, []byte) ([]byte, error) { return nil, nil }}
			_ = server.Run(t.Context()) // ends with the test
		})
	}
	began := time.Now()
	if weak.awaitStronger(t.Context()); !weak.On() {
		t.Errorf("joins after %v although three stronger daemons are starting", time.Since(began))
	}
}

// Guards against a weaker daemon that starts while its zone is cut off, so that it can't read the announced VMs, and
// joins as soon as the zone is reachable (deployment grown of deploy/regression, scenario scale-1: it owned two
// partitions for 10 s, far overloaded).
func TestWeakerDaemonReadsAnnouncedVMsBeforeItJoins(t *testing.T) {
	log := &fakes.Log{}
	for range minStronger {
		startAnnounced(t, log, 800)
	}
	var down atomic.Bool
	down.Store(true)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if down.Load() {
			return false, plog.ErrNoResponse
		}
		return true, nil
	}
	weak := &standby{
		Log: log, PeerAddress: local.Addr(), CPU: 192, PeerClient: &link.Client{}, Owners: &ownerTable{}, Partitions: 2, Clock: clock.System(), Logger: hclog.NewNullLogger(),
	}
	time.AfterFunc(startupWait+300*time.Millisecond, func() { down.Store(false) })
	if weak.awaitStronger(t.Context()); !weak.On() {
		t.Error("joins before it has read the announced VMs")
	}
}

// Guards against a weaker daemon that is too busy to have its pings answered in time: it took a partition, and jobs were
// without an owner that could serve them (grown/carretilla-quito-grown, scale-1, seed 239037201).
func TestBusyWeakerDaemonStandsByForOwners(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration // of the owner table
		want bool
	}{{"owners of this moment", 0, true}, {"owners of a while ago", 2 * ownersValidity, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			log := &fakes.Log{}
			table := &ownerTable{byPartition: map[plog.TopicPartition]string{}, readAt: time.Now().Add(-test.age), Clock: clock.System()}
			for n := range minStronger {
				addr := local.Addr() // nothing answers there
				if err := (&standby{Log: log, PeerAddress: addr, CPU: 800}).announce(t.Context()); err != nil {
					t.Fatal(err)
				}
				table.byPartition[plog.TopicPartition{Topic: "t", Partition: plog.Partition(n)}] = addr
			}
			weak := &standby{
				Log: log, PeerAddress: local.Addr(), CPU: 192, PeerClient: &link.Client{}, Owners: table, Partitions: minStronger, Clock: clock.System(), Logger: hclog.NewNullLogger(),
			}
			if weak.awaitStronger(t.Context()); weak.On() != test.want {
				t.Errorf("stands by: %v, want %v", weak.On(), test.want)
			}
			log.BeforeCall = func(string, plog.TopicPartition) (bool, error) { return false, plog.ErrNoResponse }
			weak.on.Store(false)
			if weak.check(t.Context()); weak.On() != test.want {
				t.Errorf("stands by: %v while the announced VMs can't be read once more, want %v", weak.On(), test.want)
			}
		})
	}
}
