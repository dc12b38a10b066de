package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// needKind is the reason why a pool needs another VM; a lower value is served first.
type needKind int

const (
	needBudget   needKind = iota // fewer VMs serve than min_serving
	needHeadroom                 // the loss of one rack would leave fewer than min_serving
	needOwed                     // fewer VMs remain than owed, after returns and losses
	needWave                     // a wave cannot proceed, or not fast enough to end in time
	numNeedKinds
)

// shortfall returns how many VMs the pool lacks for one kind of need.
func (pl *planner) shortfall(p *poolState, kind needKind) int {
	switch {
	case kind == needOwed:
		return p.Owed - p.retained
	case p.spare:
		return 0
	case kind == needBudget:
		return p.MinServing - p.up - p.recentlyDown + pl.blockedReturns(p)
	case kind == needHeadroom:
		return p.MinServing + p.largestRack() - p.up - p.expectedBack
	default:
		return pl.waveShortfall(p)
	}
}

// blockedReturns is the number of VMs that still serve although their return is urgent, which means
// that the pool's budget keeps them.
func (pl *planner) blockedReturns(p *poolState) int {
	n := 0
	for _, vm := range p.members {
		n += b2i(vm.up() && pl.urgentReturn(vm))
	}
	return n
}

// waveShortfall is the number of VMs that the pool must take in to reboot its VMs in time.
func (pl *planner) waveShortfall(p *poolState) int {
	due, w := p.dueWave()
	if w == nil || pl.now.Add(pl.opt.DrainTime).After(pl.latestReboot(w)) {
		return 0
	}
	concurrent := ceilDiv(len(due)+p.waveStarted, max(1, pl.rounds(w)))
	return concurrent - max(0, p.slack()) - p.waveStarted
}

// fillPools moves VMs to the pools that lack some. It takes them from the spare
// pool, from available drained VMs and from pools that have more than they are owed.
func (pl *planner) fillPools() {
	for kind := needBudget; kind < numNeedKinds; kind++ {
		short := pl.shortPools(kind)
		if len(short) == 0 {
			continue
		}
		pl.movableVMs = slices.DeleteFunc(slices.Clone(pl.vms), func(vm *vmState) bool { return !pl.movable(vm, kind) })
		for _, p := range short {
			for n := pl.shortfall(p, kind) - p.incoming; n > 0; n-- {
				if !pl.fillOne(p, kind) {
					break
				}
			}
		}
	}
}

// shortPools returns the pools with a shortfall of one kind, the largest first.
func (pl *planner) shortPools(kind needKind) []*poolState {
	var out []*poolState
	for _, p := range pl.poolList {
		p.shortfall = pl.shortfall(p, kind)
		if p.shortfall > p.incoming {
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.shortfall, a.shortfall), cmp.Compare(b.waveDue, a.waveDue))
	})
	return out
}

// fillOne plans one more VM for a pool. It reports false when there is none.
func (pl *planner) fillOne(p *poolState, kind needKind) bool {
	for r := range p.regions {
		if pl.movingOut[r] > 0 { // a VM is already draining in order to move
			pl.movingOut[r]--
			p.incoming++
			return true
		}
	}
	best := pl.best(p, kind)
	if best == nil {
		return pl.pol.lookahead && (kind == needHeadroom || kind == needWave) && pl.fillIndirectly(p, kind)
	}
	pl.move(best, p)
	return true
}

// best returns the best VM to move to p, or nil.
func (pl *planner) best(p *poolState, kind needKind) *vmState {
	var best *vmState
	for _, vm := range pl.movableVMs {
		if pl.candidate(vm, p, kind) && (best == nil || pl.compare(vm, best, p) < 0) {
			best = vm
		}
	}
	return best
}

// fillIndirectly helps a pool p when every movable VM would only add to the
// risk of a rack loss there. It moves such a VM to another pool that has a VM
// suitable for p, so that a later plan can move that one to p.
func (pl *planner) fillIndirectly(p *poolState, kind needKind) bool {
	if !slices.ContainsFunc(pl.movableVMs, func(vm *vmState) bool { return pl.movable(vm, kind) && vm.pool != p }) {
		return false
	}
	for _, q := range pl.poolList {
		if q == p || q.spare || q.incoming > 0 || !slices.ContainsFunc(q.members, func(vm *vmState) bool {
			return vm.up() && vm.wave == nil && !pl.returning(vm) && p.accepts(vm.region) && !p.addsRackRisk(vm)
		}) {
			continue
		}
		if vm := pl.best(q, kind); vm != nil && vm.pool != p {
			pl.move(vm, q)
			p.incoming++
			return true
		}
	}
	return false
}

// move assigns a spare or drained VM to a pool, or drains one that serves elsewhere.
func (pl *planner) move(vm *vmState, p *poolState) {
	p.incoming++
	if vm.Phase == fold.Serving {
		vm.pool.movingOut++
		p.racks.entry(vm).members++ // so that the next VM chosen for p is in another rack
		pl.drain(vm, "move to "+string(p.ID))
	} else {
		pl.assign(vm, p)
	}
}

// candidate reports whether a VM may be moved to p.
func (pl *planner) candidate(vm *vmState, p *poolState, kind needKind) bool {
	if vm.pool == p || !p.accepts(vm.region) || !pl.movable(vm, kind) {
		return false
	}
	// A VM in a rack that holds as many of the pool's VMs as any other adds no headroom.
	return kind != needHeadroom && kind != needWave || !p.addsRackRisk(vm)
}

// movable reports whether a VM may be taken from its pool for a kind of need.
func (pl *planner) movable(vm *vmState, kind needKind) bool {
	if vm.hasAction || vm.down || pl.returning(vm) {
		return false
	}
	q := vm.pool
	switch vm.Phase {
	case fold.Spare:
		return q.canDrain(vm, false)
	case fold.Drained:
		return vm.available && (q.spare || q.retained > q.Owed || kind == needBudget)
	case fold.Serving:
		if vm.wave != nil || q.incoming > 0 {
			return false
		}
		if kind == needBudget { // other pools give up VMs beyond their own budget
			return q.canDrain(vm, true)
		}
		neededForWave := q.waveDue+q.waveStarted > 0 && kind > needHeadroom
		return !neededForWave && q.surplus() > 0 && q.canDrain(vm, false)
	default:
		return false
	}
}

// accepts reports whether the pool has VMs in the region, or none at all.
func (p *poolState) accepts(r ident.RegionID) bool { return len(p.regions) == 0 || p.regions[r] }

// addsRackRisk reports whether the VM would increase the largest number of the pool's members in one rack.
func (p *poolState) addsRackRisk(vm *vmState) bool {
	most := 1
	for i := range p.racks {
		most = max(most, p.racks[i].members)
	}
	return p.racks.entry(vm).members+1 > most
}

// compare orders two candidates for p, the better one first. It prefers VMs that add no rack risk,
// then VMs that need no drain, VMs of a pool with a surplus, VMs that are not returned, VMs of a
// pool whose next wave and then whose next return is latest, VMs in racks with few members of p,
// VMs that waves affect latest, and VMs in zones with few members of p. Without lookahead, only the
// need for a drain and the id count.
func (pl *planner) compare(a, b *vmState, p *poolState) int {
	if c := cmp.Compare(b2i(p.addsRackRisk(a)), b2i(p.addsRackRisk(b))); c != 0 && pl.pol.lookahead {
		return c
	}
	if c := cmp.Compare(b2i(a.Phase == fold.Serving), b2i(b.Phase == fold.Serving)); c != 0 {
		return c
	}
	if !pl.pol.lookahead {
		return cmp.Compare(a.ID, b.ID)
	}
	return cmp.Or(
		cmp.Compare(b2i(a.pool.surplus() <= 0), b2i(b.pool.surplus() <= 0)),
		cmp.Compare(b2i(!a.leaveBy.IsZero()), b2i(!b.leaveBy.IsZero())),
		-compareNext(a.pool.nextWaveOpens, b.pool.nextWaveOpens),
		-compareNext(a.pool.nextReturn, b.pool.nextReturn),
		cmp.Compare(p.racks.entry(a).members, p.racks.entry(b).members),
		cmp.Compare(a.exposure(), b.exposure()),
		cmp.Compare(p.membersInZone(a.Zone), p.membersInZone(b.Zone)),
		cmp.Compare(a.ID, b.ID),
	)
}

// exposure ranks the VM by the waves that affect it: 2 if one is open, 1 if one is yet to open, 0 if there is none.
func (vm *vmState) exposure() int {
	switch {
	case vm.wave != nil:
		return 2
	case !vm.nextWaveOpens.IsZero():
		return 1
	default:
		return 0
	}
}

// membersInZone is the number of the pool's retained members in a zone.
func (p *poolState) membersInZone(z ident.ZoneID) int {
	n := 0
	for i := range p.racks {
		if p.racks[i].zone == z {
			n += p.racks[i].members
		}
	}
	return n
}

// compareNext orders times in which zero means never and comes last.
func compareNext(a, b time.Time) int {
	if a.IsZero() || b.IsZero() {
		return b2i(a.IsZero()) - b2i(b.IsZero())
	}
	return a.Compare(b)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
