package jobd

import (
	"expvar"
	"fmt"
	"strings"
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against metrics that grow with the number of tenants, and against jobs of further tenants that are not counted.
func TestTenantMetricsAreBounded(t *testing.T) {
	tenantJobs.Init()
	const tenants = 3 * maxTenantNames
	for i := range tenants {
		countTenantJob(&jobs.Event{Kind: jobs.EventRefused, Tenant: work.TenantID(fmt.Sprintf("t%d", i)), Limit: admit.LimitShare})
	}
	countTenantJob(&jobs.Event{Kind: jobs.EventRefused, Limit: admit.LimitPool}) // belongs to no tenant
	names, sum := 0, int64(0)
	tenantJobs.Do(func(kv expvar.KeyValue) {
		names++
		sum += kv.Value.(*expvar.Int).Value()
		if !strings.HasSuffix(kv.Key, " refused_share") {
			t.Errorf("key %q, want one for refusals by the share", kv.Key)
		}
	})
	if names > maxTenantNames+1 || sum != tenants {
		t.Errorf("%d jobs under %d names, want %d under at most %d", sum, names, tenants, maxTenantNames+1)
	}
}
