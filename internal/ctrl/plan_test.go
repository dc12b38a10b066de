package ctrl

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

func newTestSteer() *Controller {
	return &Controller{
		Logger: hclog.NewNullLogger(), store: &store{orders: map[work.MachineID]intent{}}, orders: map[work.MachineID]*order{},
		cordons: map[ident.PoolID]map[work.TargetID]jobs.CordonReason{},
	}
}

// Guards against VMs that can't be moved for seconds after a move, since the pool that they left still names them and its
// view was taken for the present one (overload day of carretilla-quito-grown: 61 idle VMs, 3 to 11 moves a round).
func TestMovedVMCanMoveAgain(t *testing.T) {
	room := work.Resources{CPU: 16000, Memory: 65536}
	vm := func(machine work.MachineID, id work.TargetID) sizer.Target {
		return sizer.Target{ID: id, Machine: machine, Capacity: room, Reachable: true, IdleFor: time.Second}
	}
	machines := map[work.MachineID]work.Machine{}
	idle, short := sizer.Pool{ID: "idle"}, sizer.Pool{ID: "short", Runnable: work.Resources{CPU: 32000}}
	for _, m := range []work.MachineID{"m1", "m2", "m3", "m4"} {
		now := vm(m, work.TargetID(m)+"-now")
		now.Cordoned = true
		idle.Targets = append(idle.Targets, now)
		short.Targets = append(short.Targets, vm(m, work.TargetID(m)+"-before"))
		machines[m] = work.Machine{ID: m, Pool: "idle", State: work.MachineUp, Capacity: room, Target: now.ID}
	}
	ready := newTestSteer().planMoves(time.Now(), machines, []sizer.Pool{idle, short}, cordonSet{})
	if len(ready) < 3 {
		t.Errorf("%d VMs are ordered to move, want three: %+v", len(ready), ready)
	}
	for _, r := range ready {
		if want := work.TargetID(r.machine) + "-now"; r.target != want || r.from != "idle" || r.to != "short" {
			t.Errorf("order %+v, want %s from idle to short", r, want)
		}
	}
}
