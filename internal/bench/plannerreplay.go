package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// policyFunc plans the actions for a fleet state; it is the planner or a baseline.
type policyFunc func(*fold.State, time.Time, plan.Options) []plan.Action

const (
	replayTick = 5 * time.Minute // also the length of a drain
	// A VM that fails is restarted, and replaced if that does not help, within failureResponseTime.
	// Until then its pool lacks the headroom that the failure used up.
	failureResponseTime   = time.Hour
	maxHeadroomGap        = 2 * time.Hour // longest time that a policy may take to restore the headroom of a pool
	maxReportedViolations = 20
	maxPlansPerTick       = 4
	idlePlanInterval      = 30 * time.Minute
	returnLookahead       = 9 * time.Hour
)

// replayStats holds the counts of one replay.
type replayStats struct {
	budgetViolations          int // times that a pool fell below min_serving and a plan could have avoided it
	unavoidableTwoRacks       int // times that a pool fell below min_serving because VMs of two racks failed within failureResponseTime
	unavoidableDuringRackLoss int // times that it did because a VM failed while a rack was lost and every reserve VM was in use
	lateReturns               int // VMs that were not returned by their deadline
	waveRebootsMissed         int // VMs not rebooted when their wave closed
	headroomGaps              int // times that a pool had no headroom for longer than maxHeadroomGap
	drainsWithoutHeadroom     int // planned drains that left the pool without headroom
	moves                     int // assignments to another pool
	unacceptedRecords         int // planned records that were not accepted
	rounds                    int
	planTime                  time.Duration
	violationsByPool          map[ident.PoolID]int // violations by the policy
	firstViolations           []string             // one line each
}

// keptEverything reports whether the policy kept every budget, deadline and headroom.
func (s *replayStats) keptEverything() bool { return s.policyViolations() == 0 }

// policyViolations returns the number of budgets, deadlines and headrooms that the policy did not keep.
func (s *replayStats) policyViolations() int {
	return s.budgetViolations + s.lateReturns + s.waveRebootsMissed + s.headroomGaps + s.drainsWithoutHeadroom
}

// recordViolation counts a violation of pool p and describes it if it is one of the first.
func (s *replayStats) recordViolation(at time.Time, p ident.PoolID, format string, args ...any) {
	s.violationsByPool[p]++
	if len(s.firstViolations) < maxReportedViolations {
		s.firstViolations = append(s.firstViolations, fmt.Sprintf("%s %s: %s", at.Format("01-02 15:04"), p, fmt.Sprintf(format, args...)))
	}
}

// poolState is the real state of a pool during a replay.
type poolState struct {
	fleet.Pool
	serving            int
	racks              map[ident.RackID]int // serving VMs by rack
	failures           []rackFailure        // within failureResponseTime
	belowBudget        bool                 // fewer than MinServing VMs serve
	noHeadroomSince    time.Time            // since when the pool has no headroom; zero if it has
	noHeadroomReported bool
	headroomDrainAt    time.Time // last planned drain that left the pool without headroom
}

// rackFailure is the failure of a serving VM in a rack.
type rackFailure struct {
	at   time.Time
	rack ident.RackID
}

// headroom returns the number of VMs that could stop serving such that the pool would still keep
// its budget after the loss of any one rack. It is negative if the pool has no headroom.
func (p *poolState) headroom() int {
	mostInRack := 0
	for _, n := range p.racks {
		mostInRack = max(mostInRack, n)
	}
	return p.serving - mostInRack - p.MinServing
}

// operation is a drain or reboot in progress.
type operation struct {
	end        time.Time
	doneRecord fold.Record // applied at the end
}

// replay simulates one region under one policy.
type replay struct {
	policy             policyFunc
	state              *fold.State
	now                time.Time
	recordCount        int
	plannedRecordCount int                   // recordCount at the last plan
	plannedAt          time.Time             // time of the last plan
	outages            []outage              // that have not begun, by start
	down               map[ident.VMID]outage // current outages, including outageListLag
	observations       map[ident.VMID]plan.Observation
	operations         map[ident.VMID]operation
	pools              map[ident.PoolID]*poolState
	stats              replayStats
}

// runReplay replays the calendar of r with the given reserve VMs in each pool.
func runReplay(r *region, reserve []int, policy policyFunc) *replayStats {
	f := r.fileWithReserve(reserve)
	p := &replay{
		policy: policy, now: plannerStart, state: fold.Empty(), down: map[ident.VMID]outage{}, observations: map[ident.VMID]plan.Observation{},
		operations: map[ident.VMID]operation{}, pools: map[ident.PoolID]*poolState{}, stats: replayStats{violationsByPool: map[ident.PoolID]int{}},
	}
	if next, outcome := p.state.Apply(fold.Publish{Header: p.header(), File: f}); outcome.Result == fold.Accepted {
		p.state = next
	} else {
		panic("bench: generated fleet file was not accepted: " + outcome.Reason)
	}
	p.apply(fold.TakePlanner{Header: p.header(), Term: 1, Holder: "planner"})
	for _, pool := range f.Pools {
		p.pools[pool.ID] = &poolState{Pool: pool, racks: map[ident.RackID]int{}}
	}
	for i := range f.VMs {
		p.outages = append(p.outages, r.outagesOf(&f.VMs[i])...)
		p.addToCounts(p.state.VM(f.VMs[i].ID), 1)
	}
	slices.SortFunc(p.outages, func(a, b outage) int { return a.from.Compare(b.from) })
	for end := plannerStart.Add(plannerPeriod); p.now.Before(end); p.now = p.now.Add(replayTick) {
		p.tick()
	}
	return &p.stats
}

// header returns the header of a new record.
func (p *replay) header() fold.Header {
	p.recordCount++
	return fold.Header{ID: ident.RecordID(fmt.Sprint(p.recordCount)), Writer: "bench", Time: p.now}
}

// apply applies r to the state and reports whether it was accepted.
func (p *replay) apply(r fold.Record) bool {
	next, outcome := p.state.Apply(r)
	p.state = next
	return outcome.Result == fold.Accepted
}

// tick simulates what happens at p.now.
func (p *replay) tick() {
	p.endOutages()
	p.finishOperations()
	p.beginOutages()
	p.checkPools()
	p.checkDeadlines()
	if !p.needsPlan() {
		return
	}
	// The daemon plans on every snapshot, so the records of one plan cause the next.
	for range maxPlansPerTick {
		if !p.planRound() {
			break
		}
		p.checkPools()
	}
}

// needsPlan reports whether a plan could differ from the last one: records were added, a VM has
// failed for longer than replayTick, a wave is open or a return is due within returnLookahead.
// Otherwise there is one plan in each idlePlanInterval, as in the daemon.
func (p *replay) needsPlan() bool {
	needed := p.recordCount != p.plannedRecordCount
	for id, f := range p.observations {
		since := f.FailingSince
		if since.IsZero() {
			since = f.MissingSince
		}
		phase := p.state.VM(id).Phase
		needed = needed || p.now.Sub(since) > replayTick && phase != fold.Rebooting && phase != fold.Returned
	}
	for _, w := range p.state.File.Waves {
		needed = needed || !p.now.Before(w.Opens) && p.now.Before(w.Closes)
	}
	for _, r := range p.state.File.Returns {
		needed = needed || r.Deadline.After(p.now) && r.Deadline.Sub(p.now) < returnLookahead
	}
	if !needed && p.now.Sub(p.plannedAt) < idlePlanInterval {
		return false
	}
	p.plannedRecordCount, p.plannedAt = p.recordCount, p.now
	return true
}

// addToCounts adds n to the counts of vm's pool if vm really serves.
func (p *replay) addToCounts(vm *fold.VM, n int) {
	o, down := p.down[vm.ID]
	if vm.Phase != fold.Serving || down && o.kind != outageListLag {
		return
	}
	pool := p.pools[vm.Pool]
	pool.serving += n
	pool.racks[vm.Rack] += n
	if pool.racks[vm.Rack] == 0 {
		delete(pool.racks, vm.Rack)
	}
}

// applyToVM applies a record for one VM and updates the counts of its pools.
func (p *replay) applyToVM(id ident.VMID, r fold.Record) bool {
	p.addToCounts(p.state.VM(id), -1)
	ok := p.apply(r)
	p.addToCounts(p.state.VM(id), 1)
	return ok
}

// beginOutages begins the outages that are due. It skips those that cannot affect the VM,
// because it already has one, is returned or is being rebooted (a lasting outage delays the reboot).
func (p *replay) beginOutages() {
	for len(p.outages) > 0 && !p.outages[0].from.After(p.now) {
		o := p.outages[0]
		p.outages = p.outages[1:]
		vm := p.state.VM(o.vm)
		_, down := p.down[o.vm]
		lasting := o.kind == outageLasting
		if down || vm.Phase == fold.Returned || vm.Phase == fold.Rebooting && !lasting {
			continue
		}
		if r := p.operations[o.vm]; vm.Phase == fold.Rebooting && r.end.Before(o.to) {
			p.operations[o.vm] = operation{o.to, r.doneRecord}
		}
		if o.kind == outageListLag {
			p.observations[o.vm] = plan.Observation{MissingSince: o.from}
			p.down[o.vm] = o
			continue
		}
		if vm.Phase == fold.Serving {
			pool := p.pools[vm.Pool]
			pool.failures = append(pool.failures, rackFailure{at: p.now, rack: vm.Rack})
		}
		p.addToCounts(vm, -1)
		p.down[o.vm] = o
		p.observations[o.vm] = plan.Observation{FailingSince: o.from}
	}
}

// endOutages ends the outages that are due. A reboot in progress ends the outage itself.
func (p *replay) endOutages() {
	for id, o := range p.down {
		if vm := p.state.VM(id); !o.to.After(p.now) && vm.Phase != fold.Rebooting {
			p.endOutage(id)
		}
	}
}

func (p *replay) endOutage(id ident.VMID) {
	vm := p.state.VM(id)
	p.addToCounts(vm, -1)
	delete(p.down, id)
	delete(p.observations, id)
	p.addToCounts(vm, 1)
}

// finishOperations ends the drains and reboots that are due.
func (p *replay) finishOperations() {
	for id, r := range p.operations {
		if r.end.After(p.now) {
			continue
		}
		delete(p.operations, id)
		if _, reboot := r.doneRecord.(fold.RebootDone); reboot {
			p.endOutage(id)
		}
		if !p.applyToVM(id, r.doneRecord) {
			p.stats.unacceptedRecords++
		}
	}
}

// planRound runs the policy once, carries out its actions and reports whether there were any.
func (p *replay) planRound() bool {
	began := time.Now()
	actions := p.policy(p.state, p.now, plan.Options{Observations: p.observations})
	p.stats.planTime += time.Since(began)
	p.stats.rounds++
	for _, a := range actions {
		p.execute(a)
	}
	return len(actions) > 0
}

// execute applies the record of an action and starts its operation.
func (p *replay) execute(a plan.Action) {
	id := a.Step().VM
	before := p.state.VM(id)
	_, down := p.down[id]
	if !p.applyToVM(id, plan.Record(a, p.header())) {
		p.stats.unacceptedRecords++
		return
	}
	done := fold.VMStep{VM: id, Epoch: a.Step().Epoch}
	switch a := a.(type) {
	case plan.Drain:
		at := p.now.Add(replayTick)
		p.operations[id] = operation{at, fold.DrainDone{Header: p.headerAt(at), VMStep: done}}
		pool := p.pools[before.Pool]
		if before.Phase != fold.Serving || down || pool.headroom() >= 0 {
			return
		}
		pool.headroomDrainAt = p.now
		// A move may use up the headroom of a pool for another pool that is below its budget.
		if !strings.HasPrefix(a.Reason, "move") {
			p.stats.drainsWithoutHeadroom++
			p.stats.recordViolation(p.now, pool.ID, "drain of %s (%s) leaves no headroom", id, a.Reason)
		}
	case plan.Assign:
		if a.Pool != before.Pool {
			p.stats.moves++
		}
	case plan.Reboot:
		at := p.now.Add(rebootLength)
		if o, ok := p.down[id]; ok && o.kind == outageLasting && o.to.After(at) {
			at = o.to
		}
		p.operations[id] = operation{at, fold.RebootDone{Header: p.headerAt(at), VMStep: done}}
	case plan.Return:
	}
}

// headerAt returns the header of a new record with the given time.
func (p *replay) headerAt(at time.Time) fold.Header {
	h := p.header()
	h.Time = at
	return h
}

// checkPools counts pools that fall below their budget or have no headroom for too long.
func (p *replay) checkPools() {
	for _, pool := range p.pools {
		if pool.ID == p.state.File.SparePool {
			continue
		}
		for len(pool.failures) > 0 && p.now.Sub(pool.failures[0].at) > failureResponseTime {
			pool.failures = pool.failures[1:]
		}
		below := pool.serving < pool.MinServing
		if below && !pool.belowBudget {
			p.countShortfall(pool)
		}
		pool.belowBudget = below
		switch {
		case pool.headroom() >= 0:
			pool.noHeadroomSince, pool.noHeadroomReported = time.Time{}, false
		case pool.noHeadroomSince.IsZero():
			pool.noHeadroomSince = p.now
		case p.now.Sub(pool.noHeadroomSince) > maxHeadroomGap && !pool.noHeadroomReported && !p.hasLostRack(pool):
			pool.noHeadroomReported = true
			p.stats.headroomGaps++
			p.stats.recordViolation(p.now, pool.ID, "no headroom for %v", maxHeadroomGap)
		}
	}
}

// hasLostRack reports whether a VM of the pool is out of service because its rack is lost. The
// headroom covers the loss of one rack, so the pool may lack it until that rack is back.
func (p *replay) hasLostRack(pool *poolState) bool {
	for id, o := range p.down {
		if o.rack && p.state.VM(id).Pool == pool.ID {
			return true
		}
	}
	return false
}

// countShortfall counts that the pool fell below its budget, as a violation unless no plan could
// avoid it. The headroom covers the loss of one rack, so that is the case if no planned drain had
// used the headroom up and either VMs of two racks failed within failureResponseTime, or a further
// VM failed while a rack was lost and every reserve VM was in use.
func (p *replay) countShortfall(pool *poolState) {
	racks := map[ident.RackID]bool{}
	for _, f := range pool.failures {
		racks[f.rack] = true
	}
	usedByDrain := !pool.headroomDrainAt.IsZero() && p.now.Sub(pool.headroomDrainAt) <= failureResponseTime
	switch {
	case usedByDrain:
	case len(racks) > 1:
		p.stats.unavoidableTwoRacks++
		return
	case p.hasLostRack(pool) && len(pool.failures) > 0 && p.idleVMs() == 0:
		p.stats.unavoidableDuringRackLoss++
		return
	}
	p.stats.budgetViolations++
	p.stats.recordViolation(p.now, pool.ID, "%d VMs serve, min_serving is %d", pool.serving, pool.MinServing)
}

// idleVMs returns the number of VMs that are spare, or serve beyond what their pool is owed and
// needs for its headroom.
func (p *replay) idleVMs() int {
	n := 0
	for vm := range p.state.VMs {
		if _, down := p.down[vm.ID]; vm.Phase == fold.Spare && !down {
			n++
		}
	}
	for _, pool := range p.pools {
		if pool.ID != p.state.File.SparePool {
			n += max(0, min(pool.headroom(), pool.serving-pool.Owed))
		}
	}
	return n
}

// checkDeadlines counts returns and reboots that were not done by their deadline.
func (p *replay) checkDeadlines() {
	due := func(at time.Time) bool { return !at.After(p.now) && at.After(p.now.Add(-replayTick)) }
	for _, r := range p.state.File.Returns {
		for _, id := range r.VMs {
			if vm := p.state.VM(id); due(r.Deadline) && vm.Phase != fold.Returned {
				p.stats.lateReturns++
				p.stats.recordViolation(p.now, vm.Pool, "%s is %s at its deadline", id, vm.Phase)
			}
		}
	}
	for _, w := range p.state.File.Waves {
		if due(w.Closes) {
			p.checkWave(&w)
		}
	}
}

// checkWave counts the VMs that were not rebooted in a wave, except for those that are out of service.
func (p *replay) checkWave(w *fleet.Wave) {
	for vm := range p.state.VMs {
		_, down := p.down[vm.ID]
		missed := slices.Contains(w.Zones, vm.Zone) && vm.LastMaintained.Before(w.Opens) && vm.Phase != fold.Returned
		if missed && !down {
			p.stats.waveRebootsMissed++
			p.stats.recordViolation(p.now, vm.Pool, "%s is %s and was not rebooted by %s", vm.ID, vm.Phase, w.ID)
		}
	}
}
