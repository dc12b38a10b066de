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
	Remaining []Machine     // VMs of the wave whose upkeep has not begun
	Down      int           // VMs that are down for it, or may be
	TimeLeft  time.Duration // until the wave should be completed
}

// Machine is a VM that waits for its upkeep.
type Machine struct {
	ID           work.MachineID
	Pool         ident.PoolID
	PoweredOff   bool // it serves no pool at present
	Runs         int
	ServiceTasks int
	// Spare is how many VMs its pool has beyond its need.
	Spare    int
	Cordoned bool // being emptied for its upkeep
}

const (
	// emptying is what a VM with tasks takes to become empty, as a rule.
	emptying = time.Second
	// rejoining is what a VM takes from the end of its upkeep until it serves again.
	rejoining = time.Second
	// slackFactor is how many times the time that the rest of a wave needs must be left, or else load no longer counts.
	slackFactor = 1.4
)

// ChooseNext returns the VMs to empty and take down next, at most as many as the wave allows at once.
// VMs that serve nobody come first; VMs that their pool needs are left alone while there is time.
func ChooseNext(w Wave, duration time.Duration) []Machine {
	free := w.AtOnce - w.Down
	if free <= 0 {
		return nil
	}
	urgent := w.TimeLeft < need(len(w.Remaining), w.AtOnce, duration)
	left := append([]Machine(nil), w.Remaining...)
	sort.SliceStable(left, func(i, j int) bool { return cost(&left[i]) < cost(&left[j]) })
	taken := map[ident.PoolID]int{}
	var out []Machine
	for _, m := range left {
		if len(out) == free {
			break
		}
		if !m.PoweredOff && !urgent && !m.Cordoned && m.Spare-taken[m.Pool] <= 0 {
			continue
		}
		taken[m.Pool]++
		out = append(out, m)
	}
	return out
}

// need is how long the rest of a wave takes, with a reserve.
func need(left, atOnce int, duration time.Duration) time.Duration {
	rounds := (left + atOnce - 1) / max(atOnce, 1)
	return time.Duration(slackFactor * float64(time.Duration(rounds)*(duration+emptying+rejoining)))
}

func cost(m *Machine) int {
	switch {
	case m.Cordoned:
		return -2 // already being emptied
	case m.PoweredOff:
		return -1
	default:
		return 10*m.ServiceTasks + m.Runs - m.Spare
	}
}
