package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// The tasks of a tenant with a cap hold at most the tenant's limit in the pool, which its allocator grants. What they hold is
// the full need of all runs that are not known to have ended. Nothing here is done for jobs without a tenant.

const (
	// usageValidity is how long a computed usage is reported: several allocators ask in turn.
	usageValidity = 30 * time.Millisecond
	// heldBackDelay is how long a tenant must be held back, or not be, until that is reported. Allocators take about 0.3 s
	// to follow a shift of the demand.
	heldBackDelay = 500 * time.Millisecond
	// maxPlacements bounds the searches for room on all targets for one tenant.
	maxPlacements = 16
)

// capState is what the pool knows of caps.
type capState struct {
	version  int64 // of the configuration
	views    map[work.TenantID]quota.View
	limits   map[work.TenantID]quota.Limit
	held     map[work.TenantID]work.Resources
	usage    map[work.TenantID]*quota.Usage // of the tenants that a cap limits and that wait
	usageAt  time.Time
	heldBack map[work.TenantID]*heldBack
}

// heldBack says since when the cap of a tenant holds back tasks, or since when it doesn't any more.
type heldBack struct {
	since    time.Time
	now      bool // a task was held back in the last computed usage
	reported bool
}

// capRecord is the stored cap of a job's tenant, for an owner whose configuration has the tenant no longer.
type capRecord struct {
	_       struct{} `cbor:",toarray"`
	Cap     work.Resources
	Version int64 // of the configuration that set it
}

// setCaps sets the caps of the tenants of a version of the configuration. A tenant that is missing keeps its last cap.
func (p *Pool) setCaps(version int64, tenants []work.Tenant) {
	p.caps.version = version
	for i := range tenants {
		p.replan = true
		t := &tenants[i]
		p.setView(t.ID, quota.View{Configured: true, Known: true, Cap: t.Cap, Version: version})
	}
}

func (p *Pool) setView(id work.TenantID, v quota.View) {
	if p.caps.views == nil {
		p.caps.views = map[work.TenantID]quota.View{}
	}
	p.caps.views[id] = v
	p.workload.at = time.Time{} // it holds times by the caps
}

// SetLimits sets what the tenants may hold here. The pool doesn't change the map.
func (p *Pool) SetLimits(limits map[work.TenantID]quota.Limit) {
	p.caps.limits, p.caps.usageAt, p.replan = limits, time.Time{}, true
	p.workload.at = time.Time{}
}

// capOf returns the cap and the limit by which the tasks of a tenant are planned. No resource is limited if the cap is zero.
func (p *Pool) capOf(id work.TenantID) (work.Resources, quota.Limit) {
	return p.caps.views[id].Effective(p.caps.limits[id])
}

// hold counts n times the need of a run as held by its tenant.
func (p *Pool) hold(r *run, n int) {
	if r.job == nil || r.job.tenant == "" {
		return
	}
	if p.caps.held == nil {
		p.caps.held = map[work.TenantID]work.Resources{}
	}
	held := p.caps.held[r.job.tenant].Plus(r.spec.Need.Times(n))
	if held == (work.Resources{}) {
		delete(p.caps.held, r.job.tenant)
		return
	}
	p.caps.held[r.job.tenant] = held
}

// exceedsCap reports whether n tasks of a step that start together would exceed what the job's tenant may hold here.
func (p *Pool) exceedsCap(j *job, spec *work.Step, n int) bool {
	if j.tenant == "" {
		return false
	}
	c, limit := p.capOf(j.tenant)
	return quota.Limits(c) && !limit.Allows(p.caps.held[j.tenant], spec.Need.Times(n), spec.Need, c)
}

// capRooms holds how much of its limit each tenant has left, while the tasks that could start are counted.
type capRooms map[work.TenantID]work.Resources

// startable returns how many of the waiting tasks of a step the cap of the job's tenant leaves, beside those counted before.
func (p *Pool) startable(rooms capRooms, j *job, spec *work.Step, waiting int) int {
	if j.tenant == "" || waiting == 0 {
		return waiting
	}
	c, limit := p.capOf(j.tenant)
	if !quota.Limits(c) {
		return waiting
	}
	counted := rooms[j.tenant]
	held := p.caps.held[j.tenant].Plus(counted)
	n := 0
	if spec.Gang {
		if limit.Allows(held, spec.Need.Times(waiting), spec.Need, c) {
			n = waiting
		}
	} else {
		for n < waiting && limit.Allows(held.Plus(spec.Need.Times(n)), spec.Need, spec.Need, c) {
			n++
		}
	}
	rooms[j.tenant] = counted.Plus(spec.Need.Times(n))
	return n
}

// CapEntries returns the entries of the pool in the response to a grant.
func (p *Pool) CapEntries(now time.Time, g *quota.Grant) []quota.Entry {
	p.updateUsage(now)
	tenants := map[work.TenantID]bool{}
	for id := range p.caps.limits {
		tenants[id] = true
	}
	for id := range p.caps.held {
		tenants[id] = true
	}
	for id := range p.caps.usage {
		tenants[id] = true
	}
	var out []quota.Entry
	for _, id := range slices.Sorted(maps.Keys(tenants)) {
		if quota.SlotOf(id) != g.Slot {
			continue
		}
		u := quota.Usage{}
		if waits := p.caps.usage[id]; waits != nil {
			u = *waits
		}
		u.Held = p.caps.held[id]
		if v := p.caps.views[id]; !v.Configured && v.Known {
			u.Cap = v.Cap
		}
		stored := p.caps.limits[id]
		c, effective := p.capOf(id)
		if g.Reports(id, stored, effective, &u, c) {
			out = append(out, quota.Entry{Pool: p.ID, Tenant: id, Usage: u, Limit: stored})
		}
	}
	return out
}

// reportHeldBack reports which tenants have begun or ceased to be held back by their caps.
func (p *Pool) reportHeldBack(now time.Time) {
	for id, u := range p.caps.usage {
		if u.Next != (work.Resources{}) && p.caps.heldBack[id] == nil {
			if p.caps.heldBack == nil {
				p.caps.heldBack = map[work.TenantID]*heldBack{}
			}
			p.caps.heldBack[id] = &heldBack{since: now, now: true}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.caps.heldBack)) {
		b, u := p.caps.heldBack[id], p.caps.usage[id]
		if waits := u != nil && u.Next != (work.Resources{}); waits != b.now {
			b.now, b.since = waits, now
		}
		if now.Sub(b.since) < heldBackDelay {
			continue
		}
		if b.now && !b.reported {
			b.reported = true
			p.emit(Event{Kind: EventHeldBack, Detail: p.capDetail(id)})
		}
		if !b.now {
			if b.reported {
				p.emit(Event{Kind: EventReleased, Detail: p.capDetail(id)})
			}
			delete(p.caps.heldBack, id)
		}
	}
}

// capDetail describes what a tenant holds and may hold.
func (p *Pool) capDetail(id work.TenantID) string {
	c, limit := p.capOf(id)
	u := quota.Usage{}
	if waits := p.caps.usage[id]; waits != nil {
		u = *waits
	}
	return fmt.Sprintf("tenant %q in pool %s: holds %s of %s allowed here, cap %s of version %d; next task needs %s", id, p.ID,
		show(p.caps.held[id]), show(limit.Allowed), show(c), p.caps.views[id].Version, show(u.Next))
}

func show(r work.Resources) string {
	return fmt.Sprintf("cpu=%d,mem=%d,gpu=%d", r.CPU, r.Memory, r.GPU)
}

// heldBackFor reports whether a tenant's tasks have been held back long enough to be reported.
func (p *Pool) heldBackFor(id work.TenantID) bool {
	b := p.caps.heldBack[id]
	return id != "" && b != nil && b.reported
}

// addArrival counts a submission as demand. The work of a tenant at its cap is no demand for more capacity.
func (p *Pool) addArrival(now time.Time, id work.JobID, spec *work.Spec, d admit.Demand) (first time.Time) {
	if p.heldBackFor(spec.Tenant) {
		d.CPUTime = 0
	}
	return p.arrivals.add(now, id, d)
}

// decideByCap refuses an admitted job that would complete too late because of what its tenant has accepted here, even if the
// tenant could use its whole cap in this pool. It also returns for how long the job's own tasks need the cap.
func (p *Pool) decideByCap(now time.Time, queue work.QueueID, spec *work.Spec, d admit.Demand, decision admit.Decision) (admit.Decision, admit.CapTimes) {
	var own admit.CapTimes
	if !decision.Admit || spec.Tenant == "" {
		return decision, own
	}
	c, _ := p.capOf(spec.Tenant)
	if !quota.Limits(c) || !p.caps.views[spec.Tenant].Known {
		return decision, own
	}
	addCapTimes(&own, spec, nil, p.ratio(queue), c)
	return admit.DecideByCap(p.capBacklog(now, spec.Tenant, c), own, d, decision), own
}

// addCapTimes adds the time for which the tasks of a specification, or what is left of an occurrence, need a whole cap.
func addCapTimes(times *admit.CapTimes, spec *work.Spec, o *occurrence, ratio float64, c work.Resources) {
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n := s.Count
		if o != nil {
			n = o.steps[i].tasksLeft
		}
		took := float64(n) * ratio * float64(s.Estimate)
		add := func(d *time.Duration, need, limit int64) {
			if limit > 0 {
				*d += time.Duration(took * float64(need) / float64(limit))
			}
		}
		add(&times.CPU, int64(s.Need.CPU), int64(c.CPU))
		add(&times.Memory, int64(s.Need.Memory), int64(c.Memory))
		add(&times.GPU, int64(s.Need.GPU), int64(c.GPU))
	}
}

// storeCap adds the cap of a job's tenant to its record.
func (p *Pool) storeCap(j *job, r *Record) {
	if r == nil || j.tenant == "" {
		return
	}
	if v := p.caps.views[j.tenant]; v.Known {
		r.Cap = &capRecord{Cap: v.Cap, Version: v.Version}
	}
}

// restoreCap reads the cap of a tenant from the record of one of its jobs.
func (p *Pool) restoreCap(r *Record) {
	if r.Cap == nil || r.Spec.Tenant == "" {
		return
	}
	if v := p.caps.views[r.Spec.Tenant]; !v.Configured && r.Cap.Version >= v.Version {
		p.setView(r.Spec.Tenant, quota.View{Known: true, Cap: r.Cap.Cap, Version: r.Cap.Version})
	}
}

// CapUse is what a tenant with a cap holds in a pool, and may hold there.
type CapUse struct {
	Tenant   work.TenantID
	Pool     ident.PoolID
	Held     work.Resources
	Allowed  work.Resources
	HeldBack bool // the cap holds back tasks
}

// CapUses returns the uses of the tenants with a cap that hold something or are held back.
func (p *Pool) CapUses() []CapUse {
	var out []CapUse
	add := func(id work.TenantID) {
		if c, limit := p.capOf(id); quota.Limits(c) {
			out = append(out, CapUse{Tenant: id, Pool: p.ID, Held: p.caps.held[id], Allowed: limit.Allowed, HeldBack: p.heldBackFor(id)})
		}
	}
	for id := range p.caps.held {
		add(id)
	}
	for id := range p.caps.heldBack {
		if p.caps.held[id] == (work.Resources{}) {
			add(id)
		}
	}
	return out
}

// CompareCapUses orders uses by how near they are to what is allowed, the nearest first.
func CompareCapUses(a, b CapUse) int {
	switch {
	case a.HeldBack != b.HeldBack && a.HeldBack:
		return -1
	case a.HeldBack != b.HeldBack:
		return 1
	}
	return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Pool, b.Pool))
}

// share returns the largest share of what is allowed that is held.
func (u *CapUse) share() float64 {
	of := func(held, allowed int64) float64 {
		if held == 0 || allowed == 0 {
			return 0
		}
		return float64(held) / float64(allowed)
	}
	return max(of(int64(u.Held.CPU), int64(u.Allowed.CPU)), of(int64(u.Held.Memory), int64(u.Allowed.Memory)), of(int64(u.Held.GPU), int64(u.Allowed.GPU)))
}
