package route

import (
	"sort"
	"strings"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Table holds the routes and pools of one configuration. It is immutable.
type Table struct {
	Version int64
	MaxBody int64
	Pools   []work.PoolConfig
	Queues  []work.Queue
	Tenants []work.Tenant           // as in [work.Config]
	byHost  map[string][]work.Route // longest prefix first
	byKey   map[work.KeyDigest]work.TenantID
}

// New returns the table of a configuration.
func New(c *work.Config) *Table {
	t := &Table{Version: c.Version, MaxBody: c.MaxBody, Pools: c.Pools, Tenants: c.Tenants, byHost: map[string][]work.Route{}, byKey: tenantsByKey(c.Tenants)}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.Queues = append(t.Queues, r.Queue)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Find returns the queue of a request, and the part of its path after the
// route's prefix. The last result is false if no route matches.
func (t *Table) Find(host, path string) (work.Queue, string, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[host] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r.Queue, rest, true
		}
		if path+"/" == r.Prefix { // the prefix itself without its final slash
			return r.Queue, "", true
		}
	}
	return work.Queue{}, "", false
}
