package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// waveIndex finds the waves that affect a VM.
type waveIndex struct {
	zones map[ident.ZoneID][]*fleet.Wave
	racks map[ident.RackID][]*fleet.Wave
}

func newWaveIndex(waves []fleet.Wave) *waveIndex {
	x := &waveIndex{zones: map[ident.ZoneID][]*fleet.Wave{}, racks: map[ident.RackID][]*fleet.Wave{}}
	for i := range waves {
		w := &waves[i]
		if len(w.Racks) == 0 {
			for _, z := range w.Zones {
				x.zones[z] = append(x.zones[z], w)
			}
		}
		for _, r := range w.Racks {
			x.racks[r] = append(x.racks[r], w)
		}
	}
	return x
}

// mark sets the open wave and the next wave of a VM. A wave that names racks
// and zones affects those racks within those zones. A VM that returns before a
// wave closes is not rebooted by it.
func (x *waveIndex) mark(vm *vmState, now time.Time) {
	for _, w := range x.zones[vm.Zone] {
		vm.considerWave(w, now)
	}
	for _, w := range x.racks[vm.Rack] {
		if len(w.Zones) == 0 || slices.Contains(w.Zones, vm.Zone) {
			vm.considerWave(w, now)
		}
	}
}

// considerWave takes w as the VM's open wave if none closes earlier, or as its next
// wave if none opens earlier.
func (vm *vmState) considerWave(w *fleet.Wave, now time.Time) {
	done := !vm.LastMaintained.Before(w.Opens)
	if done || !now.Before(w.Closes) || vm.returnsBefore(w.Closes) {
		return
	}
	if now.Before(w.Opens) {
		if vm.nextWaveOpens.IsZero() || w.Opens.Before(vm.nextWaveOpens) {
			vm.nextWaveOpens = w.Opens
		}
		return
	}
	if vm.wave == nil || w.Closes.Before(vm.wave.Closes) {
		vm.wave = w
	}
}

// latestReboot is the latest time at which a reboot may start and still end before w closes.
func (pl *planner) latestReboot(w *fleet.Wave) time.Time {
	return w.Closes.Add(-pl.opt.ClockMargin - w.Length)
}

// cycle is the time that one VM of a wave is out of service: the drain and the reboot.
func (pl *planner) cycle(w *fleet.Wave) time.Duration { return pl.opt.DrainTime + w.Length }

// rounds is the number of reboots, one after another, that still fit into w.
func (pl *planner) rounds(w *fleet.Wave) int {
	left := w.Closes.Add(-pl.opt.ClockMargin).Sub(pl.now)
	return int(left / pl.cycle(w))
}

// dueWave returns the pool's VMs that open waves have yet to drain, the earliest closing wave
// first and rack by rack, and that wave.
func (p *poolState) dueWave() ([]*vmState, *fleet.Wave) {
	var due []*vmState
	for _, vm := range p.members {
		if vm.wave != nil && vm.inService() && !vm.hasAction {
			due = append(due, vm)
		}
	}
	if len(due) == 0 {
		return nil, nil
	}
	slices.SortFunc(due, func(a, b *vmState) int {
		return cmp.Or(a.wave.Closes.Compare(b.wave.Closes), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return due, due[0].wave
}

// drainWaves drains VMs for the reboots of open waves, as many at a time as each pool's headroom allows.
func (pl *planner) drainWaves() {
	for _, p := range pl.poolList {
		due, first := p.dueWave()
		if first == nil {
			continue
		}
		urgent := pl.urgent(p, len(due), first)
		batch := len(due)
		if p.spare && pl.pol.lookahead {
			// Half of the spare VMs stay ready for failures.
			batch = max(1, (p.up+p.waveStarted)/2) - p.waveStarted
		}
		for _, vm := range due {
			if batch <= 0 {
				break
			}
			late := pl.now.Add(pl.opt.DrainTime).After(pl.latestReboot(vm.wave))
			if late || !p.canDrain(vm, urgent) {
				continue
			}
			pl.drain(vm, "wave "+string(vm.wave.ID))
			batch--
			if urgent && p.slack() < 0 {
				break // a pool without headroom drains one VM at a time
			}
		}
	}
}

// urgent reports whether the reboots of a wave do not end in time unless the pool gives up its headroom.
func (pl *planner) urgent(p *poolState, due int, w *fleet.Wave) bool {
	concurrent := p.waveStarted + max(0, p.slack())
	if concurrent == 0 {
		return pl.rounds(w) <= due
	}
	return pl.rounds(w) < ceilDiv(due, concurrent)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
