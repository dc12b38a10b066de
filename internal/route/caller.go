package route

import "github.com/toucanhatch/toucanhatch/internal/work"

// tenantsByKey returns the tenants by the digests of their keys.
func tenantsByKey(tenants []work.Tenant) map[work.KeyDigest]work.TenantID {
	out := map[work.KeyDigest]work.TenantID{}
	for i := range tenants {
		for _, k := range tenants[i].Keys {
			if k != (work.KeyDigest{}) { // the zero digest stands for no key
				out[k] = tenants[i].ID
			}
		}
	}
	return out
}

// NeedsKey reports whether a queue takes only requests with a tenant's key.
func (t *Table) NeedsKey(q work.Queue) bool { return t.Tenants != nil && !q.Public }

// Caller returns what the configuration makes of a client of a queue, by the digest of its key. The last result is false if
// the queue needs a tenant's key, and this is none.
func (t *Table) Caller(q work.Queue, key work.KeyDigest) (work.Caller, bool) {
	switch {
	case t.Tenants == nil:
		return work.Caller{Access: work.AccessOpen}, true
	case q.Public:
		return work.Caller{Access: work.AccessPublic}, true
	}
	tenant, known := t.byKey[key]
	if !known {
		return work.Caller{}, false
	}
	return work.Caller{Access: work.AccessTenant, Tenant: tenant}, true
}
