package jobd

import (
	"expvar"
	"sync"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

var tenantJobs = expvar.NewMap("tenant_jobs") // by tenant and what became of the job

const (
	// maxTenantNames bounds the number of tenants that have metrics of their own.
	maxTenantNames = 32
	// otherTenants is the name under which all further tenants are counted.
	otherTenants = "other"
)

// tenantNames holds the tenants that have metrics of their own: the first ones that had jobs in this process. It may be used
// concurrently.
type tenantNames struct {
	mu    sync.Mutex
	names map[work.TenantID]bool
}

var namedTenants tenantNames

// name returns the name under which a tenant is counted.
func (n *tenantNames) name(id work.TenantID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.names == nil {
		n.names = map[work.TenantID]bool{}
	}
	if !n.names[id] {
		if len(n.names) >= maxTenantNames {
			return otherTenants
		}
		n.names[id] = true
	}
	return string(id)
}

// countTenantJob counts a job of a tenant that was accepted, refused or completed.
func countTenantJob(e *jobs.Event) {
	if e.Tenant == "" {
		return
	}
	outcome := ""
	switch {
	case e.Kind == jobs.EventAccepted:
		outcome = "accepted"
	case e.Kind == jobs.EventRefused:
		outcome = "refused_" + string(e.Limit)
	case e.Kind == jobs.EventCompleted && e.Delay <= e.Objective:
		outcome = "in_time"
	case e.Kind == jobs.EventCompleted:
		outcome = "late"
	default:
		return
	}
	tenantJobs.Add(namedTenants.name(e.Tenant)+" "+outcome, 1)
}
