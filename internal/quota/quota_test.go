package quota

import (
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against two limits under one key, and against one that is restored for another pool or tenant.
func TestLimitKeysAreDistinct(t *testing.T) {
	seen := map[string]limitKey{}
	for _, k := range []limitKey{{"a", "b"}, {"a/b", "c"}, {"a", "b/c"}, {"", "x"}, {"1/a", "b"}, {"ä", "/"}} {
		key := k.recordKey()
		if other, dup := seen[key]; dup {
			t.Errorf("%v and %v have the key %q", k, other, key)
		}
		seen[key] = k
		if got, err := parseLimitKey(key); err != nil || got != k {
			t.Errorf("key %q is read as %v, error %v, want %v", key, got, err, k)
		}
	}
	for _, key := range []string{"~caps/", "~caps/x/y", "~caps/9/a/b", "~caps/-1/a/b", "~caps/1/a"} {
		if got, err := parseLimitKey(key); err == nil {
			t.Errorf("malformed key %q is read as %v", key, got)
		}
	}
}

// Guards against a new allocator that doesn't serve the jobs of a tenant that is no longer configured, or by another cap than
// the last known one.
func TestRemovedTenantKeepsItsCap(t *testing.T) {
	const capCPU = 10_000
	limit := Limit{Allowed: work.Resources{CPU: 4000}, Cap: work.Resources{CPU: capCPU}, Version: 3}
	need := work.Resources{CPU: 1000}
	for _, test := range []struct {
		name  string
		usage Usage // in the pool that waits
		pool  ident.PoolID
	}{
		{"limit elsewhere", Usage{Next: need, Member: need, Waiting: need.Times(20)}, "q"},
		{"limit here", Usage{Held: limit.Allowed, Next: need, Member: need, Waiting: need.Times(20)}, "p"},
	} {
		a := &Allocator{Epoch: 2, Partitions: 1}
		a.Init()
		a.Configure(4, nil, []Pool{{"p", 0}, {"q", 0}})
		var l Allowances
		l.Accept(&Grant{Number: Number{Epoch: 1, Seq: 1}, Changes: []Change{{Pool: "p", Tenant: simTenant, Limit: limit}}})
		for range 5 {
			a.Rebalance()
			g := a.Request(0)
			l.Accept(&g)
			l.MarkDurable(&Write{numbers: l.accepted})
			r := Report{Round: g.Round, Stored: l.Stored(0), Full: true, Version: 4}
			for _, id := range []ident.PoolID{"p", "q"} {
				u := Usage{}
				if id == test.pool {
					u = test.usage
				}
				r.Entries = append(r.Entries, Entry{Pool: id, Tenant: simTenant, Usage: u, Limit: l.Of(id)[simTenant]})
			}
			if err := a.Handle(0, &r); err != nil {
				t.Fatal(err)
			}
		}
		sum := l.Of("p")[simTenant].Allowed.CPU + l.Of("q")[simTenant].Allowed.CPU
		if got := l.Of(test.pool)[simTenant].Allowed.CPU; got <= 4000 || sum > capCPU {
			t.Errorf("%s: %d allowed in the pool that waits, %d in total, want more than 4000 and at most %d", test.name, got, sum, capCPU)
		}
	}
}
