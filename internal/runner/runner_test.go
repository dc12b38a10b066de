package runner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// fakeFleet is a fake of the log, of the state derived from it, and of the platform.
type fakeFleet struct {
	state       *fold.State
	stale       *fold.State // returned by Snapshot instead of state if not nil, as a paused runner sees it
	requests    []string
	live        bool
	notAccepted int // number of appended records that had no effect
}

func (l *fakeFleet) Snapshot() *fold.State {
	if l.stale != nil {
		return l.stale
	}
	return l.state
}

func (l *fakeFleet) Changed() (*fold.State, <-chan struct{}) { return l.Snapshot(), nil }

func (l *fakeFleet) Append(_ context.Context, r fold.Record) (fold.Outcome, error) {
	s, v := l.state.Apply(r)
	l.state = s
	if v.Result != fold.Accepted {
		l.notAccepted++
	}
	return v, nil
}

func (l *fakeFleet) Reboot(_ context.Context, vm ident.VMID, epoch ident.Epoch) error {
	l.requests = append(l.requests, fmt.Sprintf("reboot %s %d", vm, epoch))
	return nil
}

func (l *fakeFleet) Return(_ context.Context, vm ident.VMID, epoch ident.Epoch) error {
	l.requests = append(l.requests, fmt.Sprintf("return %s %d", vm, epoch))
	return nil
}

func (l *fakeFleet) List(context.Context) ([]plat.ListedVM, error) {
	if !l.live {
		return nil, nil
	}
	return []plat.ListedVM{{ID: "vm-0", Kind: plat.KindTarget, State: plat.Live}}, nil
}

var start = time.Date(2027, time.March, 1, 0, 0, 0, 0, time.UTC)

// newFakeFleet returns a fleet with a pool of two VMs, of which one may be out of service, and a wave for vm-0.
func newFakeFleet(t *testing.T) (*fakeFleet, *clock.Manual) {
	f := &fleet.File{SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}, {ID: "p", Owed: 2}}}
	for i, id := range []ident.VMID{"vm-0", "vm-1"} {
		f.VMs = append(f.VMs, fleet.VM{ID: id, Pool: "p", Zone: "z", Rack: ident.RackID(id), Address: fmt.Sprintf("10.0.0.%d:80", i+1)})
	}
	f.Waves = []fleet.Wave{{ID: "w", Opens: start, Closes: start.Add(8 * time.Hour), Racks: []ident.RackID{"vm-0"}, Length: 20 * time.Minute}}
	l := &fakeFleet{state: fold.Empty(), live: true}
	if v, _ := l.Append(context.Background(), fold.Publish{Header: fold.Header{ID: "file", Time: start}, File: f}); v.Result != fold.Accepted {
		t.Fatal(v.Reason)
	}
	return l, clock.NewManual(start)
}

func newRunner(l *fakeFleet, c clock.Clock, id ident.EntryID, view *peer.View) *Runner {
	return &Runner{
		Self: id, State: l, Log: l, Platform: l, Clock: c, Logger: hclog.NewNullLogger(),
		View:         func() *peer.View { return view },
		Observations: func() map[ident.VMID]plan.Observation { return nil },
		Healthy:      func(context.Context, *fold.VM) bool { return true },
	}
}

// viewOf returns a view of members in the given states.
func viewOf(states map[ident.EntryID]peer.State) *peer.View {
	v := &peer.View{Members: map[ident.EntryID]peer.Member{}}
	for id, s := range states {
		v.Members[id] = peer.Member{ID: id, State: s}
	}
	return v
}

// Guards against candidates that take the planner role at the same time, and against a previous
// holder that was paused and whose late records take effect after another entry has taken the role.
func TestCandidatesWaitByRankAndLateRecordsConflict(t *testing.T) {
	ctx := context.Background()
	l, c := newFakeFleet(t)
	view := viewOf(map[ident.EntryID]peer.State{"a": peer.Up, "b": peer.Up})
	ranked := peer.Rank("planner", slices.Collect(func(yield func(peer.Member) bool) {
		for _, m := range view.Members {
			if !yield(m) {
				return
			}
		}
	}))
	first, second := newRunner(l, c, ranked[0].ID, view), newRunner(l, c, ranked[1].ID, view)
	second.RunOnce(ctx)
	first.RunOnce(ctx)
	if got := l.state.Planner; got.Holder != first.Self || got.Term != 1 {
		t.Fatalf("planner = %+v, want %s with term 1", got, first.Self)
	}
	paused := &fakeFleet{stale: l.state}
	second.View = func() *peer.View {
		return viewOf(map[ident.EntryID]peer.State{first.Self: peer.Silent, second.Self: peer.Up})
	}
	second.RunOnce(ctx)
	if got := l.state.Planner; got.Holder != second.Self || got.Term != 2 {
		t.Fatalf("planner = %+v, want %s with term 2", got, second.Self)
	}
	first.State = paused // first continues with the snapshot from before the pause
	first.RunOnce(ctx)
	if vm := l.state.VM("vm-0"); vm.Phase != fold.Serving || l.notAccepted != 1 {
		t.Errorf("vm-0 is %s after %d records that were not accepted, want serving and 1", vm.Phase, l.notAccepted)
	}
}

// Guards against a reboot that is requested twice, or recorded as done before the VM was down and is back.
func TestWaveRebootsAVMOnce(t *testing.T) {
	ctx := context.Background()
	l, c := newFakeFleet(t)
	r := newRunner(l, c, "a", viewOf(map[ident.EntryID]peer.State{"a": peer.Up}))
	r.RunOnce(ctx) // takes the role
	r.RunOnce(ctx) // drains vm-0
	if v, _ := l.Append(ctx, fold.DrainDone{Header: fold.Header{ID: "drained", Time: start}, VMStep: fold.VMStep{VM: "vm-0"}}); v.Result != fold.Accepted {
		t.Fatal(v.Reason)
	}
	for range 3 {
		r.RunOnce(ctx)
	}
	if vm := l.state.VM("vm-0"); vm.Phase != fold.Rebooting {
		t.Fatalf("vm-0 is %s before it was seen down, want rebooting", vm.Phase)
	}
	l.live = false
	r.RunOnce(ctx)
	l.live = true
	r.RunOnce(ctx)
	if vm := l.state.VM("vm-0"); vm.Phase != fold.Serving || vm.LastMaintained.IsZero() {
		t.Errorf("vm-0 = %+v, want serving and maintained", vm)
	}
	if got, want := l.requests, []string{"reboot vm-0 0"}; !slices.Equal(got, want) {
		t.Errorf("requests to the platform: %q, want %q", got, want)
	}
}
