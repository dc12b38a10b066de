package route

import (
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against a client that is taken for another tenant, or let in without a key.
func TestCaller(t *testing.T) {
	key, other := work.DigestKey("key"), work.DigestKey("other")
	tenants := []work.Tenant{{ID: "a", Keys: []work.KeyDigest{key, {}}}, {ID: "b", Keys: []work.KeyDigest{other}}, {ID: "none"}}
	open := work.Caller{Access: work.AccessOpen}
	public := work.Caller{Access: work.AccessPublic}
	for _, test := range []struct {
		name    string
		tenants []work.Tenant
		public  bool
		key     work.KeyDigest
		want    work.Caller
		allowed bool
	}{
		{"no tenants, no key", nil, false, work.KeyDigest{}, open, true},
		{"no tenants, a key", nil, false, key, open, true},
		{"an empty list, a key", []work.Tenant{}, false, key, work.Caller{}, false},
		{"an empty list, public", []work.Tenant{}, true, key, public, true},
		{"a key", tenants, false, key, work.Caller{Access: work.AccessTenant, Tenant: "a"}, true},
		{"another key", tenants, false, other, work.Caller{Access: work.AccessTenant, Tenant: "b"}, true},
		{"an unknown key", tenants, false, work.DigestKey("unknown"), work.Caller{}, false},
		{"no key", tenants, false, work.KeyDigest{}, work.Caller{}, false},
		{"public, a key", tenants, true, key, public, true},
		{"public, no key", tenants, true, work.KeyDigest{}, public, true},
	} {
		table := New(&work.Config{Tenants: test.tenants})
		got, allowed := table.Caller(work.Queue{ID: "q", Public: test.public}, test.key)
		if got != test.want || allowed != test.allowed {
			t.Errorf("%s: caller %+v, allowed %v, want %+v, %v", test.name, got, allowed, test.want, test.allowed)
		}
	}
}
