package jobs

import (
	"maps"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/rank"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// shares holds the weights of the tenants that have, or had, jobs in the pool.
type shares struct {
	tenants map[work.TenantID]*tenantShare
	// mean is the mean weight of the configured tenants. Jobs without a tenant, and those of each tenant that is not
	// configured, have the weight of a tenant of that weight.
	mean  float64
	round uint64 // number of the last pass over the active jobs
	// wholeBacklog makes the whole backlog of a tenant count as ahead of its new jobs; only for a test that compares.
	wholeBacklog bool
}

// tenantShare is the weight of a tenant.
type tenantShare struct {
	id     work.TenantID
	weight float64
	round  uint64 // the last pass over the active jobs in which it had one
	index  int    // of the tenant in that pass
}

// meets notes a job of the tenant in a pass, and reports whether it is the first one.
func (t *tenantShare) meets(round uint64) bool {
	first := t.round != round
	t.round = round
	return first
}

// hasTenants reports whether the deployment has, or had, tenants.
func (p *Pool) hasTenants() bool { return len(p.tenants) > 0 }

// setWeights updates the weights after a change of the configuration, given the tenants that it has. If it has none, the mean
// stays as it was.
func (p *Pool) setWeights(configured []work.Tenant) {
	sum := 0.0
	for i := range configured {
		sum += configured[i].Weight
	}
	if len(configured) > 0 {
		p.shares.mean = sum / float64(len(configured))
	}
	for _, t := range p.shares.tenants {
		t.weight = p.weight(t.id)
	}
}

func (p *Pool) weight(id work.TenantID) float64 {
	if t, configured := p.tenants[id]; configured {
		return t.Weight
	}
	return p.shares.mean
}

func (p *Pool) shareOf(id work.TenantID) *tenantShare {
	t := p.shares.tenants[id]
	if t == nil {
		t = &tenantShare{id: id, weight: p.weight(id)}
		if p.shares.tenants == nil {
			p.shares.tenants = map[work.TenantID]*tenantShare{}
		}
		p.shares.tenants[id] = t
	}
	return t
}

// setRankTenants sets the tenants and weights of the views of the active jobs.
func (p *Pool) setRankTenants(views []rank.Job) {
	if !p.hasTenants() {
		return
	}
	p.shares.round++
	n := 0
	for i, j := range p.active {
		t := j.share
		if t.meets(p.shares.round) {
			t.index = n
			n++
		}
		views[i].Tenant, views[i].Weight = t.index, t.weight
	}
}

// tenantLoad adds up the work of one tenant and the weights of all that have work.
type tenantLoad struct {
	pool    *Pool
	own     *tenantShare
	demand  admit.Demand
	load    admit.TenantLoad
	weights float64
}

// newTenantLoad returns nil if the deployment has no tenants.
func (p *Pool) newTenantLoad(id work.TenantID, d admit.Demand) *tenantLoad {
	if !p.hasTenants() {
		return nil
	}
	p.shares.round++
	l := &tenantLoad{pool: p, own: p.shareOf(id), demand: d}
	l.own.meets(p.shares.round)
	l.weights = l.own.weight
	return l
}

// add adds the remaining work of a job.
func (l *tenantLoad) add(j jobWork) {
	if l == nil || j.left <= 0 {
		return
	}
	if j.share.meets(l.pool.shares.round) {
		l.weights += j.share.weight
	}
	if j.share != l.own {
		return
	}
	l.load.Backlog += j.left
	if j.begun || j.left <= l.demand.CPUTime || l.pool.shares.wholeBacklog {
		l.load.Ahead += j.left
	}
}

// result returns nil if the deployment has no tenants.
func (l *tenantLoad) result() *admit.TenantLoad {
	if l == nil {
		return nil
	}
	if l.weights > 0 {
		l.load.Share = l.own.weight / l.weights
	}
	return &l.load
}

func refusedEvent(id work.JobID, queue work.QueueID, tenant work.TenantID, l admit.Load, d admit.Decision) Event {
	e := Event{Kind: EventRefused, Job: id, Queue: queue, Tenant: tenant, Detail: d.Reason, Delay: d.RetryAfter, Limit: d.Limit}
	if l.Tenant != nil {
		e.Backlog, e.Share = l.Tenant.Backlog, l.Tenant.Share
	}
	return e
}

// tenantDemands adds up the CPU of tasks by tenant; nil if the deployment has no tenants.
type tenantDemands map[work.TenantID]work.Millicores

func (p *Pool) newTenantDemands() tenantDemands {
	if !p.hasTenants() {
		return nil
	}
	return tenantDemands{}
}

// add adds the CPU of tasks of a job, which is nil for runs whose job is unknown.
func (d tenantDemands) add(j *job, cpu work.Millicores) {
	if d != nil && j != nil && cpu > 0 {
		d[j.tenant] += cpu
	}
}

// sorted returns the demands ordered by tenant.
func (d tenantDemands) sorted(p *Pool) []sizer.TenantDemand {
	var out []sizer.TenantDemand
	for _, id := range slices.Sorted(maps.Keys(d)) {
		out = append(out, sizer.TenantDemand{ID: id, Weight: p.weight(id), CPU: d[id]})
	}
	return out
}
