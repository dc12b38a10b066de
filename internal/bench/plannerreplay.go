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

// planner is a policy under measurement.
type policyFunc func(*fold.State, time.Time, plan.Options) []plan.Action

const (
	replayTick = 5 * time.Minute // also the length of a drain
	// A failure answered in time is restarted, and replaced if that does not help, within
	// responseTime. Until then the headroom that it used up is missing.
	failureResponseTime   = time.Hour
	maxHeadroomGap        = 2 * time.Hour // longest time without headroom that a policy may need to restore it
	maxReportedViolations = 20
	maxPlansPerTick       = 4
	idlePlanInterval      = 30 * time.Minute
	returnLookahead       = 9 * time.Hour
)

// replayStats counts what happened in one replay.
type replayStats struct {
	budgetViolations          int // a pool fell below min_serving, and a plan could have avoided it
	unavoidableTwoRacks       int // failures in two racks within the response time
	unavoidableDuringRackLoss int // a further failure while a rack is lost and every reserve VM is in use
	lateReturns               int // VMs that were not returned by their deadline
	waveRebootsMissed         int // VMs not rebooted when their wave closed
	headroomGaps              int // times that a pool went without headroom for longer than headroomLimit
	drainsWithoutHeadroom     int // planned drains that broke the headroom
	moves                     int // assignments to another pool
	unacceptedRecords         int // planned records that the fold did not accept
	rounds                    int
	planTime                  time.Duration
	violationsByPool          map[ident.PoolID]int // faults of the policy by pool
	firstViolations           []string             // the first faults
}

// kept reports whether the policy kept every budget, deadline and headroom.
func (s *replayStats) keptEverything() bool { return s.policyViolations() == 0 }

// faults counts what the policy did not keep.
func (s *replayStats) policyViolations() int {
	return s.budgetViolations + s.lateReturns + s.waveRebootsMissed + s.headroomGaps + s.drainsWithoutHeadroom
}

func (s *replayStats) recordViolation(at time.Time, p ident.PoolID, format string, args ...any) {
	s.violationsByPool[p]++
	if len(s.firstViolations) < maxReportedViolations {
		s.firstViolations = append(s.firstViolations, fmt.Sprintf("%s %s: %s", at.Format("01-02 15:04"), p, fmt.Sprintf(format, args...)))
	}
}

// poolCount is the real condition of a pool during a replay.
type poolState struct {
	fleet.Pool
	serving            int
	racks              map[ident.RackID]int
	failures           []rackFailure // within the response time
	belowBudget        bool          // under min_serving
	noHeadroomSince    time.Time     // since when the headroom is missing; zero when it is there
	noHeadroomReported bool
	headroomDrainAt    time.Time
}

type rackFailure struct {
	at   time.Time
	rack ident.RackID
}

// room is the number of VMs that could stop with the loss of any one rack still affordable.
func (p *poolState) headroom() int {
	widest := 0
	for _, n := range p.racks {
		widest = max(widest, n)
	}
	return p.serving - widest - p.MinServing
}

// running is a drain or reboot that ends at a time.
type operation struct {
	end        time.Time
	doneRecord fold.Record
}

// replay simulates one region under one policy.
type replay struct {
	policy             policyFunc
	state              *fold.State
	now                time.Time
	recordCount        int
	plannedRecordCount int // records that the plan before had seen
	plannedAt          time.Time
	outages            []outage // still to come, in order
	down               map[ident.VMID]outage
	observations       map[ident.VMID]plan.Fact
	operations         map[ident.VMID]operation
	pools              map[ident.PoolID]*poolState
	stats              replayStats
}

// runReplay replays the calendar of r with the given reserve VMs in each pool.
func runReplay(r *region, reserve []int, policy policyFunc) *replayStats {
	f := r.fileWithReserve(reserve)
	p := &replay{
		policy: policy, now: plannerStart, state: fold.Empty(), down: map[ident.VMID]outage{}, observations: map[ident.VMID]plan.Fact{},
		operations: map[ident.VMID]operation{}, pools: map[ident.PoolID]*poolState{}, stats: replayStats{violationsByPool: map[ident.PoolID]int{}},
	}
	if next, v := p.state.Apply(fold.Publish{Header: p.header(), File: f}); v.Result == fold.Accepted {
		p.state = next
	} else {
		panic("bench: the generated file is not valid: " + v.Reason)
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

func (p *replay) header() fold.Header {
	p.recordCount++
	return fold.Header{ID: ident.RecordID(fmt.Sprint(p.recordCount)), Writer: "bench", Time: p.now}
}

func (p *replay) apply(r fold.Record) bool {
	next, v := p.state.Apply(r)
	p.state = next
	return v.Result == fold.Accepted
}

func (p *replay) tick() {
	p.endOutages()
	p.finishOperations()
	p.beginOutages()
	p.checkPools()
	p.checkDeadlines()
	if !p.needsPlan() {
		return
	}
	// The daemon plans on every snapshot, so a plan follows on the records of the one before.
	for range maxPlansPerTick {
		if !p.planRound() {
			break
		}
		p.checkPools()
	}
}

// busy reports whether a plan could differ from the one before: records were
// added, a VM has failed for a while, a wave is open or a return is near. Otherwise
// a plan follows once in quietInterval, as in the daemon.
func (p *replay) needsPlan() bool {
	recent := p.recordCount != p.plannedRecordCount
	for id, f := range p.observations {
		since := f.FailingSince
		if since.IsZero() {
			since = f.MissingSince
		}
		phase := p.state.VM(id).Phase
		recent = recent || p.now.Sub(since) > replayTick && phase != fold.Rebooting && phase != fold.Returned
	}
	for _, w := range p.state.File.Waves {
		recent = recent || !p.now.Before(w.Opens) && p.now.Before(w.Closes)
	}
	for _, r := range p.state.File.Returns {
		recent = recent || r.Deadline.After(p.now) && r.Deadline.Sub(p.now) < returnLookahead
	}
	if !recent && p.now.Sub(p.plannedAt) < idlePlanInterval {
		return false
	}
	p.plannedRecordCount, p.plannedAt = p.recordCount, p.now
	return true
}

// count adds n to the counts of vm's pool if vm really serves.
func (p *replay) addToCounts(vm *fold.VM, n int) {
	o, out := p.down[vm.ID]
	if vm.Phase != fold.Serving || out && o.kind != outageListLag {
		return
	}
	pool := p.pools[vm.Pool]
	pool.serving += n
	pool.racks[vm.Rack] += n
	if pool.racks[vm.Rack] == 0 {
		delete(pool.racks, vm.Rack)
	}
}

// step applies a record that moves one VM and keeps the counts.
func (p *replay) applyToVM(id ident.VMID, r fold.Record) bool {
	p.addToCounts(p.state.VM(id), -1)
	ok := p.apply(r)
	p.addToCounts(p.state.VM(id), 1)
	return ok
}

func (p *replay) beginOutages() {
	for len(p.outages) > 0 && !p.outages[0].from.After(p.now) {
		o := p.outages[0]
		p.outages = p.outages[1:]
		vm := p.state.VM(o.vm)
		_, out := p.down[o.vm]
		lasting := o.kind == outageLasting
		if out || vm.Phase == fold.Returned || vm.Phase == fold.Rebooting && !lasting {
			continue
		}
		if r := p.operations[o.vm]; vm.Phase == fold.Rebooting && r.end.Before(o.to) {
			p.operations[o.vm] = operation{o.to, r.doneRecord}
		}
		if o.kind == outageListLag {
			p.observations[o.vm] = plan.Fact{MissingSince: o.from}
			p.down[o.vm] = o
			continue
		}
		if vm.Phase == fold.Serving {
			pool := p.pools[vm.Pool]
			pool.failures = append(pool.failures, rackFailure{at: p.now, rack: vm.Rack})
		}
		p.addToCounts(vm, -1)
		p.down[o.vm] = o
		p.observations[o.vm] = plan.Fact{FailingSince: o.from}
	}
}

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

// finishRunning ends the drains and reboots that are due.
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

// planRound reports whether the plan had actions.
func (p *replay) planRound() bool {
	began := time.Now()
	actions := p.policy(p.state, p.now, plan.Options{Facts: p.observations})
	p.stats.planTime += time.Since(began)
	p.stats.rounds++
	for _, a := range actions {
		p.execute(a)
	}
	return len(actions) > 0
}

func (p *replay) execute(a plan.Action) {
	id := a.Step().VM
	before := p.state.VM(id)
	_, out := p.down[id]
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
		if before.Phase != fold.Serving || out || pool.headroom() >= 0 {
			return
		}
		pool.headroomDrainAt = p.now
		// A pool below its budget may take the headroom of another.
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

func (p *replay) headerAt(at time.Time) fold.Header {
	h := p.header()
	h.Time = at
	return h
}

// checkPools finds pools below their budget or without headroom for too long.
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

// lostRack reports whether a VM of the pool is out of service with its rack. The
// headroom covers the loss of one rack, so it may be missing until that rack is back.
func (p *replay) hasLostRack(pool *poolState) bool {
	for id, o := range p.down {
		if o.rack && p.state.VM(id).Pool == pool.ID {
			return true
		}
	}
	return false
}

// judge counts a violation. The headroom covers the loss of one rack, so no plan
// could avoid it when no planned drain had used the headroom up and failures in two
// racks came within the response time, or a further VM failed while a rack was
// lost and every reserve VM was in use.
func (p *replay) countShortfall(pool *poolState) {
	racks := map[ident.RackID]bool{}
	for _, f := range pool.failures {
		racks[f.rack] = true
	}
	waived := !pool.headroomDrainAt.IsZero() && p.now.Sub(pool.headroomDrainAt) <= failureResponseTime
	switch {
	case waived:
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

// idle is the number of VMs that serve or stand by beyond what their pool needs for its headroom.
func (p *replay) idleVMs() int {
	n := 0
	for vm := range p.state.VMs {
		if _, out := p.down[vm.ID]; vm.Phase == fold.Spare && !out {
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

// checkDeadlines counts returns and reboots that are missing at their time.
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

// checkWave counts the VMs that a wave missed; a VM that was out of service may miss it.
func (p *replay) checkWave(w *fleet.Wave) {
	for vm := range p.state.VMs {
		_, out := p.down[vm.ID]
		missed := slices.Contains(w.Zones, vm.Zone) && vm.LastMaintained.Before(w.Opens) && vm.Phase != fold.Returned
		if missed && !out {
			p.stats.waveRebootsMissed++
			p.stats.recordViolation(p.now, vm.Pool, "%s is %s and was not rebooted by %s", vm.ID, vm.Phase, w.ID)
		}
	}
}
