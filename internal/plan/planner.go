package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// rackKey identifies a rack; rack ids are unique only within a zone.
type rackKey struct {
	zone ident.ZoneID
	id   ident.RackID
}

// vmState is one VM with what the planner derives for it.
type vmState struct {
	*fold.VM
	pool          *poolState
	region        ident.RegionID
	rack          int         // number of its rack, see rackNumber
	down          bool        // observed failing or missing
	failed        bool        // down long enough to be restarted
	recentlyDown  bool        // down too briefly to be replaced even in an emergency
	expectedBack  bool        // out of service, but expected back without a replacement
	lost          bool        // out of service for so long that the pool is refilled
	leaveBy       time.Time   // time by which the VM must be gone; zero when it stays
	wave          *fleet.Wave // open wave that has yet to reboot the VM, or nil
	nextWaveOpens time.Time   // opening of the next wave that will reboot the VM; zero when none
	available     bool        // drained and not needed for a return, a reboot or a restart
	hasAction     bool        // has an action in this plan
}

// poolState is one pool with counts of its members.
type poolState struct {
	fleet.Pool
	spare         bool // whether it is the spare pool
	up            int  // VMs that serve or, in the spare pool, could move to another pool at once
	expectedBack  int  // VMs out of service that are expected back soon
	recentlyDown  int  // members in service that are recentlyDown
	retained      int  // members that are neither lost nor returning soon
	waveDue       int  // VMs that an open wave has yet to drain
	waveStarted   int  // VMs of an open wave that are draining, drained or rebooting
	racks         rackCounts
	members       []*vmState
	regions       map[ident.RegionID]bool
	nextWaveOpens time.Time // opening of the next wave that affects the pool
	nextReturn    time.Time // when the pool's next return is due; zero when none
	movingOut     int       // VMs that drain in order to move to another pool
	incoming      int       // VMs that this plan moves into the pool
	shortfall     int       // VMs that the pool lacks for the current kind of need
}

// planner computes one plan: the fleet as derived from the state and the
// observations, and the actions chosen so far.
type planner struct {
	now            time.Time
	opt            Options
	pol            policy
	term           ident.Term
	pools          map[ident.PoolID]*poolState
	poolList       []*poolState
	spare          *poolState // nil when the file names no spare pool
	vms            []*vmState
	available      []*vmState             // drained VMs not needed for a return, a reboot or a restart
	movableVMs     []*vmState             // VMs that may be moved for the current kind of need
	movingOut      map[ident.RegionID]int // VMs that drain in order to move to another pool
	listUnreliable bool                   // too many VMs are missing from the live list to act on it
	actions        []Action
}

// newPlanner derives the VMs and pools from the state and counts the members of each pool.
func newPlanner(s *fold.State, now time.Time, opt Options, pol policy) *planner {
	pl := &planner{now: now, opt: opt, pol: pol, term: s.Planner.Term, pools: map[ident.PoolID]*poolState{}, movingOut: map[ident.RegionID]int{}}
	total := pl.checkLiveList(s)
	states := make([]vmState, 0, total)
	pl.vms = make([]*vmState, 0, total)
	racks := map[rackKey]int{}
	for _, p := range s.File.Pools {
		ps := &poolState{Pool: p, spare: p.ID == s.File.SparePool, regions: map[ident.RegionID]bool{}}
		pl.pools[p.ID] = ps
		pl.poolList = append(pl.poolList, ps)
		if ps.spare {
			pl.spare = ps
		}
	}
	waves := newWaveIndex(s.File.Waves)
	for vm := range s.VMs {
		if p := pl.pools[vm.Pool]; p != nil && vm.Phase != fold.Returned {
			states = append(states, vmState{VM: vm, pool: p, region: opt.Regions[vm.Zone], leaveBy: leaveTime(vm, opt.ClockMargin)})
			state := &states[len(states)-1]
			state.rack = rackNumber(racks, rackKey{vm.Zone, vm.Rack})
			pl.vms = append(pl.vms, state)
			pl.classify(state)
			waves.mark(state, now)
		}
	}
	slices.SortFunc(pl.vms, func(a, b *vmState) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range pl.vms {
		vm.pool.count(vm, pl)
	}
	return pl
}

// leaveTime returns the time by which a VM must have left: the deadline of its return less the
// margin for clock differences, or zero when the VM is not returned. The state keeps the deadline
// even after the file that set it is replaced.
func leaveTime(vm *fold.VM, margin time.Duration) time.Time {
	if vm.ReturnBy.IsZero() {
		return time.Time{}
	}
	return vm.ReturnBy.Add(-margin)
}

// rackNumber numbers the racks, so that counts per rack need no hashing of names.
func rackNumber(racks map[rackKey]int, r rackKey) int {
	n, ok := racks[r]
	if !ok {
		n = len(racks)
		racks[r] = n
	}
	return n
}

// checkLiveList returns the number of VMs. It marks the live list as unreliable when more than a
// quarter of the fleet is missing from it: the list itself is then taken to be wrong and is ignored.
func (pl *planner) checkLiveList(s *fold.State) int {
	const unreliableDivisor = 4 // unreliable when more than 1/4 of the VMs are missing
	missing, total := 0, 0
	for range s.VMs {
		total++
	}
	for id, obs := range pl.opt.Observations {
		missing += b2i(!obs.MissingSince.IsZero() && s.VM(id) != nil)
	}
	pl.listUnreliable = missing*unreliableDivisor > total
	return total
}

// classify derives the condition of a VM from its observation and its phase.
func (pl *planner) classify(vm *vmState) {
	obs := pl.opt.Observations[vm.ID]
	failing, missing := pl.age(obs.FailingSince), pl.age(obs.MissingSince)
	if pl.listUnreliable {
		missing = -1
	}
	outFor := pl.age(vm.Since)
	vm.down = failing >= 0 || missing >= 0
	vm.failed = failing >= pl.opt.RestartAfter || missing >= pl.opt.MissingAfter
	vm.recentlyDown = vm.down && failing < pl.opt.UrgentReplaceAfter && missing < pl.opt.MissingAfter
	if vm.inService() {
		vm.expectedBack = vm.down && failing < pl.opt.ReplaceAfter && missing < pl.opt.MissingAfter
		vm.lost = failing >= pl.opt.RefillAfter || missing >= pl.opt.RefillAfter
		return
	}
	expected := pl.opt.RestartTime
	if vm.wave != nil {
		expected = vm.wave.Length
	}
	vm.expectedBack = outFor < expected+pl.opt.DrainTime && !pl.returning(vm)
	vm.lost = outFor >= pl.opt.RefillAfter
}

// age returns how long ago t was, and -1 for the zero time.
func (pl *planner) age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(pl.now.Sub(t), 0)
}

// inService reports whether the VM serves or is a spare that is ready to serve.
func (vm *vmState) inService() bool { return vm.Phase == fold.Serving || vm.Phase == fold.Spare }

// up reports whether the VM is in service and not observed down.
func (vm *vmState) up() bool { return vm.inService() && !vm.down }

// returning reports whether it is time to begin the VM's return.
func (pl *planner) returning(vm *vmState) bool {
	return !vm.leaveBy.IsZero() && !pl.now.Before(vm.leaveBy.Add(-pl.opt.ReturnLead))
}

// returnsBefore reports whether the VM must leave before t.
func (vm *vmState) returnsBefore(t time.Time) bool {
	return !vm.leaveBy.IsZero() && vm.leaveBy.Before(t)
}

// count adds a VM to the counts of its pool.
func (p *poolState) count(vm *vmState, pl *planner) {
	p.members = append(p.members, vm)
	if vm.up() {
		p.up++
		p.racks.entry(vm).up++
	}
	p.regions[vm.region] = true
	p.recentlyDown += b2i(vm.recentlyDown && vm.inService())
	if vm.Phase == fold.Draining && vm.wave == nil && !vm.down && !pl.returning(vm) {
		p.movingOut++
		pl.movingOut[vm.region]++
	} else {
		p.expectedBack += b2i(vm.expectedBack)
	}
	if !vm.lost && !pl.returning(vm) {
		p.retained++
		p.racks.entry(vm).members++
	}
	if vm.wave != nil {
		if vm.inService() {
			p.waveDue++
		} else {
			p.waveStarted++
		}
	}
	if !vm.leaveBy.IsZero() && (p.nextReturn.IsZero() || vm.leaveBy.Before(p.nextReturn)) {
		p.nextReturn = vm.leaveBy
	}
	if !vm.nextWaveOpens.IsZero() && (p.nextWaveOpens.IsZero() || vm.nextWaveOpens.Before(p.nextWaveOpens)) {
		p.nextWaveOpens = vm.nextWaveOpens
	}
}

// rackCount counts the VMs that a pool has in one rack.
type rackCount struct {
	rack    int // number of the rack
	zone    ident.ZoneID
	up      int // serving VMs
	members int // retained members, including those that are out of service for a while
}

// rackCounts has one entry for each rack of a pool. It is a slice because a pool is in few racks.
type rackCounts []rackCount

// entry returns the entry for the VM's rack and adds one if there is none.
func (c *rackCounts) entry(vm *vmState) *rackCount {
	for i := range *c {
		if (*c)[i].rack == vm.rack {
			return &(*c)[i]
		}
	}
	*c = append(*c, rackCount{rack: vm.rack, zone: vm.Zone})
	return &(*c)[len(*c)-1]
}

// largestRack is the largest number of the pool's serving VMs that share one rack.
func (p *poolState) largestRack() int {
	most := 0
	for i := range p.racks {
		most = max(most, p.racks[i].up)
	}
	return most
}

// slack is the number of VMs that may stop now while the pool still keeps its budget after the loss
// of one rack; negative when the pool lacks that headroom.
func (p *poolState) slack() int { return p.up - p.largestRack() - p.MinServing }

// surplus is the number of members beyond the VMs that the pool is owed.
func (p *poolState) surplus() int { return p.retained - p.movingOut - p.Owed }

// canDrain reports whether the pool may lose the VM; urgent gives up the headroom for a rack loss.
func (p *poolState) canDrain(vm *vmState, urgent bool) bool {
	if !vm.up() {
		// Before RestartAfter or MissingAfter has passed, the VM may come back. If it is only missing
		// from the live list, it may even be serving.
		return vm.failed || urgent && p.up >= p.MinServing
	}
	if urgent || p.spare {
		return p.up-1 >= p.MinServing
	}
	p.racks.entry(vm).up--
	ok := p.up-1-p.largestRack() >= p.MinServing
	p.racks.entry(vm).up++
	return ok
}

// step returns the precondition of an action for the VM, and marks the VM as having one in this plan.
func (pl *planner) step(vm *vmState) fold.VMStep {
	vm.hasAction = true
	return fold.VMStep{VM: vm.ID, Epoch: vm.Epoch, Term: pl.term}
}

// drain plans a drain. A VM that was up no longer counts as serving.
func (pl *planner) drain(vm *vmState, reason string) {
	if vm.up() {
		vm.pool.up--
		vm.pool.racks.entry(vm).up--
	}
	pl.actions = append(pl.actions, Drain{pl.step(vm), reason})
}

// assign moves the VM into a pool. It does not count the VM as serving there, because the record
// of the assignment may have no effect.
func (pl *planner) assign(vm *vmState, to *poolState) {
	if vm.up() { // a spare VM
		vm.pool.up--
		vm.pool.racks.entry(vm).up--
	}
	if to != vm.pool {
		vm.pool.retained--
		to.retained++
		to.racks.entry(vm).members++
	}
	pl.actions = append(pl.actions, Assign{pl.step(vm), to.ID})
}
