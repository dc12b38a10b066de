package sizer

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

var testCapacity = work.Resources{CPU: 16000, Memory: 65536}

func pool(id ident.PoolID, targets int) Pool {
	p := Pool{ID: id}
	for i := range targets {
		p.Targets = append(p.Targets, Target{
			ID: work.TargetID(fmt.Sprintf("%s-%d", id, i)), VM: work.VMID(fmt.Sprintf("m-%s-%d", id, i)),
			Capacity: testCapacity, Reachable: true, IdleFor: time.Minute,
		})
	}
	return p
}

func count(moves []Move, from, to ident.PoolID) int {
	n := 0
	for _, m := range moves {
		if m.From == from && m.To == to {
			n++
		}
	}
	return n
}

// Guards against a pool that stays without the VMs that it needs at its peak while others are idle.
func TestMovesVMsToPoolThatIsShort(t *testing.T) {
	busy := pool("busy", 4)
	busy.Running = work.Resources{CPU: 64000}
	busy.Runnable = work.Resources{CPU: 32000}
	for i := range busy.Targets {
		busy.Targets[i].Runs = 8
	}
	off := pool("off", 2)
	off.PoweredOff = true
	moves := NewPlan([]Pool{busy, pool("idle", 8), off}).Moves()
	// 96 cores with headroom need eight VMs and a spare one; balancing may move up to balanceGap more.
	if got, least, most := count(moves, "off", "busy")+count(moves, "idle", "busy"), 5, 5+balanceGap; got < least || got > most {
		t.Errorf("%d VMs move to the pool that has too few, want %d to %d: %+v", got, least, most, moves)
	}
	if got, want := count(moves, "off", "busy"), 2; got != want {
		t.Errorf("%d powered-off VMs are moved, want %d", got, want)
	}
}

// Guards against service tasks that are lost because each needs a target of its own
// and the pool has given too many targets away.
func TestKeepsATargetForEachExclusiveTask(t *testing.T) {
	p := pool("p", 6)
	p.MinTargets = 5
	p.Service = work.Resources{CPU: 5000}
	for i := range 4 {
		p.Targets[i].Runs, p.Targets[i].ServiceTasks = 1, 1
	}
	p.Targets[5].Excluded = true // down for maintenance
	off := pool("off", 3)
	off.PoweredOff = true
	moves := NewPlan([]Pool{p, off}).Moves()
	if got := count(moves, "p", "off"); got != 0 {
		t.Errorf("%d VMs are powered off, want none", got)
	}
	if got := count(moves, "off", "p"); got == 0 {
		t.Error("no VM is moved to the pool, although five tasks need a target each and one VM is down")
	}
}

// Guards against VMs that stay on between two peaks although no pool needs them.
func TestPowersOffUnneededVMs(t *testing.T) {
	off := pool("off", 0)
	off.PoweredOff = true
	moves := NewPlan([]Pool{pool("idle", 8), off}).Moves()
	if got, want := count(moves, "idle", "off"), 7-sparesKept; got != want {
		t.Errorf("%d VMs are powered off, want %d", got, want)
	}
}

// Guards against a pool without spare VMs at the start of its peak. It isn't known which pool peaks next, so each
// has to have some.
func TestBalancesSpareVMs(t *testing.T) {
	full, bare := pool("full", 9), pool("bare", 1)
	for i := range full.Targets {
		full.Targets[i].IdleFor = time.Second
	}
	moves := NewPlan([]Pool{full, bare}).Moves()
	if got := count(moves, "full", "bare"); got < 3 || got > 5 {
		t.Errorf("%d VMs move from a pool with eight spare VMs to one with none, want 3 to 5: %+v", got, moves)
	}
	if got := len(NewPlan([]Pool{pool("a", 4), pool("b", 6)}).Moves()); got != 0 {
		t.Errorf("%d moves for a difference below balanceGap, want none", got)
	}
}

// Guards against a peak that directly follows another pool's and gets no VMs, since those of the earlier pool still
// have tasks and are given new ones. They have to be drained instead.
func TestDrainsVMsOfPoolWithSpareVMs(t *testing.T) {
	fading, rising := pool("fading", 12), pool("rising", 2)
	for i := range fading.Targets {
		fading.Targets[i].Runs, fading.Targets[i].IdleFor = 1+i, 0
	}
	fading.Targets[0].ServiceTasks = 1
	fading.Targets[7].Cordoned = true // chosen in an earlier round
	fading.Running = work.Resources{CPU: 4 * testCapacity.CPU}
	rising.Running, rising.Runnable = work.Resources{CPU: 2 * testCapacity.CPU}, work.Resources{CPU: 2 * testCapacity.CPU}
	for i := range rising.Targets {
		rising.Targets[i].Runs = 8
	}
	moves := NewPlan([]Pool{fading, rising}).Moves()
	if got, want := count(moves, "fading", "rising"), 4; got != want { // demand for four VMs with headroom needs five and a spare one; it has two
		t.Fatalf("%d moves, want %d: %+v", got, want, moves)
	}
	for i, want := range []work.TargetID{"fading-7", "fading-1", "fading-2", "fading-3"} {
		if got := moves[i].Target; got != want {
			t.Errorf("move %d drains %s, want %s", i, got, want)
		}
	}
}

// Guards against a drained VM that isn't moved when its last task ends, because it has not been idle for long, and
// is given tasks again. In an overload test 5 to 10 VMs moved in each round where 50 were spare.
func TestMovesDrainedVMAtOnce(t *testing.T) {
	fading, rising := pool("fading", 6), pool("rising", 1)
	for i := range fading.Targets {
		fading.Targets[i].Runs, fading.Targets[i].IdleFor = 3, 0
	}
	fading.Targets[4].Runs, fading.Targets[4].Cordoned = 0, true
	fading.Running = work.Resources{CPU: 2 * testCapacity.CPU}
	rising.Runnable = work.Resources{CPU: testCapacity.CPU}
	moves := NewPlan([]Pool{fading, rising}).Moves()
	if len(moves) == 0 || moves[0].Target != "fading-4" {
		t.Errorf("moves %+v, want the drained VM first", moves)
	}
}

// Guards against VMs that come too late for rising demand: the need has to cover the demand at the time of their
// arrival and the tasks that wait already.
func TestNeedCoversForecast(t *testing.T) {
	off := pool("off", 20)
	off.PoweredOff = true
	p := pool("p", 1)
	p.ArrivalRate, p.ForecastRate, p.Runnable = 2*testCapacity.CPU, 6*testCapacity.CPU, work.Resources{CPU: testCapacity.CPU}
	if got, want := count(NewPlan([]Pool{p, off}).Moves(), "off", "p"), 6; got != want {
		t.Errorf("%d VMs are moved for a forecast of six, want %d", got, want)
	}
	p.ForecastRate = 0
	if got, want := count(NewPlan([]Pool{p, off}).Moves(), "off", "p"), 4; got != want {
		t.Errorf("%d VMs are moved for an arrival rate of two with headroom and one VM of waiting tasks, want %d", got, want)
	}
}

// Guards against registrations of another writer that change how many VMs each pool needs: the median VM had the capacity
// that they state.
func TestUnreachableTargetsDoNotSetTheSize(t *testing.T) {
	busy := pool("busy", 4)
	busy.Running = work.Resources{CPU: 32000}
	want := NewPlan([]Pool{busy}).Sizes()["busy"]
	for range 20 {
		busy.Targets = append(busy.Targets, Target{ID: "odd", VM: "m-odd", Capacity: work.Resources{CPU: 1, Memory: 1}})
	}
	if got := NewPlan([]Pool{busy}).Sizes()["busy"]; got != want {
		t.Errorf("size %+v beside targets that don't answer, want %+v", got, want)
	}
}
