package maint

import (
	"sort"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Wave is the state of a wave in progress.
type Wave struct {
	work.Wave
	Remaining []VM          // VMs of the wave whose maintenance has not begun
	Down      int           // VMs that are, or may be, down for it
	TimeLeft  time.Duration // until the wave should be completed
}

// VM is a VM that waits for its maintenance.
type VM struct {
	ID           work.VMID
	Pool         ident.PoolID
	PoweredOff   bool // it is off and serves no pool
	Runs         int  // tasks that run or may run on it
	ServiceTasks int  // those of Runs that run until their job is canceled
	// Spare is how many VMs its pool has beyond its need.
	Spare    int
	Cordoned bool // being drained for its maintenance
}

const (
	// drainTime is the usual time until the tasks of a VM have ended.
	drainTime = time.Second
	// rejoinTime is the time from the end of a VM's maintenance until it runs tasks again.
	rejoinTime = time.Second
	// slackFactor is a safety margin: a wave becomes urgent, and load no longer counts, once less than this multiple of
	// the time that its remaining VMs need is left.
	slackFactor = 1.4
)

// ChooseNext returns the VMs to drain and take down next, at most as many as the wave allows to be down at once. A VM
// that its pool needs is chosen only if it is being drained already or the wave is urgent. duration is the length of
// one VM's maintenance.
func ChooseNext(w Wave, duration time.Duration) []VM {
	limit := w.MaxDown - w.Down
	if limit <= 0 {
		return nil
	}
	urgent := w.TimeLeft < timeNeeded(len(w.Remaining), w.MaxDown, duration)
	byCost := append([]VM(nil), w.Remaining...)
	sort.SliceStable(byCost, func(i, j int) bool { return drainCost(&byCost[i]) < drainCost(&byCost[j]) })
	taken := map[ident.PoolID]int{}
	var out []VM
	for _, vm := range byCost {
		if len(out) == limit {
			break
		}
		if !vm.PoweredOff && !urgent && !vm.Cordoned && vm.Spare-taken[vm.Pool] <= 0 {
			continue
		}
		taken[vm.Pool]++
		out = append(out, vm)
	}
	return out
}

// timeNeeded returns how long the rest of a wave takes, including the safety margin.
func timeNeeded(remaining, maxDown int, duration time.Duration) time.Duration {
	rounds := (remaining + maxDown - 1) / max(maxDown, 1)
	return time.Duration(slackFactor * float64(time.Duration(rounds)*(duration+drainTime+rejoinTime)))
}

// drainCost orders the VMs of a wave: those with the lowest cost are taken down first.
func drainCost(vm *VM) int {
	switch {
	case vm.Cordoned:
		return -2 // already being drained
	case vm.PoweredOff:
		return -1
	default:
		return 10*vm.ServiceTasks + vm.Runs - vm.Spare
	}
}
