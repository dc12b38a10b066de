package jobs

import "github.com/toucanhatch/toucanhatch/internal/work"

// Tenant returns the tenant of a job, empty if it belongs to none. known is false if no such job exists.
func (p *Pool) Tenant(id work.JobID) (tenant work.TenantID, known bool) {
	if j := p.jobs[id]; j != nil {
		return j.tenant, true
	}
	if d := p.deferred[id]; d != nil {
		return d.tenant, true
	}
	return "", false
}
