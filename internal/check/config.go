package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// usefulBody is the size of a job below which a limit counts as a mistake: clients send a few hundred bytes to a few KB.
	usefulBody = 1024
	// usefulCPU is a cap of less than one core, which is likely given in cores instead of thousandths.
	usefulCPU work.Millicores = 1000
	// maxNamed is how many entries a message names.
	maxNamed = 3
)

// Config returns the faults of a configuration by itself.
func Config(c *work.Config) []Finding {
	var f findings
	if c.Version < 1 {
		f.add(SeverityError, VersionNotPositive, section(SectionVersion), "the version is missing or below 1: it never replaces the version in force")
	}
	f.limits(c)
	f.routes(c)
	f.queues(c)
	f.pools(c)
	f.tenants(c)
	return f
}

func (f *findings) limits(c *work.Config) {
	place := Place{SectionLimits, WholeSection, FieldMaxBody}
	switch {
	case c.MaxBody < 0:
		f.add(SeverityWarning, BodyLimitInvalid, place, "the limit of %d bytes is below 0, and the default applies", c.MaxBody)
	case c.MaxBody > 0 && c.MaxBody < usefulBody:
		f.add(SeverityWarning, BodyLimitSmall, place, "the limit of %d bytes refuses usual jobs, of a few hundred bytes to a few KB", c.MaxBody)
	}
}

// address is where a route matches: hosts are compared without case.
type address struct{ host, prefix string }

func addressOf(r *work.Route) address { return address{strings.ToLower(r.Host), r.Prefix} }

func (a address) String() string { return fmt.Sprintf("%.60q%.60q", a.host, a.prefix) }

// routes checks where routes match.
func (f *findings) routes(c *work.Config) {
	first := map[address]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		f.host(i, r.Host)
		f.prefix(i, r.Prefix)
		n, shadowed := first[addressOf(r)]
		if !shadowed {
			first[addressOf(r)] = i
			continue
		}
		reason := "the same host and prefix"
		if earlier := c.Routes[n].Host; earlier != r.Host {
			reason = fmt.Sprintf("the same prefix and a host that differs in case only (%.60q, %.60q)", earlier, r.Host)
		}
		f.add(SeverityWarning, RouteShadowed, inRoute(i, ""), "it never matches: the earlier route %d, %.60q, has %s", n, c.Routes[n].Queue.ID, reason)
	}
}

func (f *findings) host(i int, host string) {
	switch {
	case host == "":
		f.add(SeverityWarning, RouteUnreachable, inRoute(i, FieldHost), "the host is empty: only requests without a host match")
	case strings.Contains(host, ":") && !strings.HasSuffix(host, "]"):
		f.add(SeverityWarning, RouteUnreachable, inRoute(i, FieldHost), "host %.60q has a port and never matches: ports of requests are ignored", host)
	}
}

func (f *findings) prefix(i int, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		f.add(SeverityWarning, RouteUnreachable, inRoute(i, FieldPrefix), "prefix %.60q does not begin with a slash: no path of a job matches", prefix)
	case !strings.HasSuffix(prefix, "/"):
		f.add(SeverityWarning, RouteUnusual, inRoute(i, FieldPrefix), "prefix %.60q does not end with a slash: jobs are found only at paths where their id follows without one", prefix)
	}
}

// queueKey identifies a queue: a pool has one queue of a name.
type queueKey struct {
	id   work.QueueID
	pool ident.PoolID
}

// queues checks what routes lead to.
func (f *findings) queues(c *work.Config) {
	pools := map[ident.PoolID]*work.PoolConfig{}
	for i := range c.Pools {
		pools[c.Pools[i].ID] = &c.Pools[i]
	}
	first, pool := map[queueKey]int{}, map[work.QueueID]ident.PoolID{}
	for i := range c.Routes {
		q := &c.Routes[i].Queue
		if q.ID == "" {
			f.add(SeverityWarning, NameMissing, inRoute(i, FieldName), "the queue has no name")
		}
		switch p := pools[q.Pool]; {
		case p == nil:
			f.add(SeverityWarning, PoolNotListed, inRoute(i, FieldPool), "queue %.60q: pool %.60q is not listed: no VMs are moved to it", q.ID, q.Pool)
		case p.PoweredOff:
			f.add(SeverityWarning, PoolPoweredOff, inRoute(i, FieldPool), "queue %.60q: the VMs of pool %.60q are powered off: its jobs never start", q.ID, q.Pool)
		}
		f.objective(i, q)
		f.advice(i, q)
		key := queueKey{q.ID, q.Pool}
		if n, again := first[key]; again {
			if changes := queueChanges(&c.Routes[n].Queue, q); len(changes) > 0 {
				f.add(SeverityWarning, QueueContradiction, inRoute(i, ""), "queue %.60q: the settings of route %d are others: %s", q.ID, n, joinChanges(changes))
			}
			continue
		}
		first[key] = i
		if other, again := pool[q.ID]; again {
			f.add(SeverityNote, QueueInSeveralPools, inRoute(i, FieldPool), "queue %.60q of pool %.60q has the name of a queue of pool %.60q", q.ID, q.Pool, other)
		}
		pool[q.ID] = q.Pool
	}
}

func (f *findings) objective(i int, q *work.Queue) {
	switch {
	case q.Objective < 0:
		f.add(SeverityWarning, ObjectiveZero, inRoute(i, FieldObjective), "queue %.60q: the time to complete a job is below 0", q.ID)
	case q.Objective == 0:
		f.add(SeverityWarning, ObjectiveZero, inRoute(i, FieldObjective), "queue %.60q: the time to complete a job, beyond that of its steps, is 0 or missing", q.ID)
	}
	if !(q.SlackFactor >= 1) {
		f.add(SeverityWarning, SlackBelowOne, inRoute(i, FieldSlackFactor), "queue %.60q: the factor %g is below 1: long jobs are late even if all their tasks start at once", q.ID, q.SlackFactor)
	}
	if q.MaxAttempts <= 0 {
		f.add(SeverityWarning, AttemptsUnlimited, inRoute(i, FieldMaxAttempts), "queue %.60q: %d attempts set no limit: a task that always fails is started forever", q.ID, q.MaxAttempts)
	}
}

func (f *findings) advice(i int, q *work.Queue) {
	if a := q.Advice; a != nil && a.TicketValidity <= a.DecisionTime+a.TimePerTarget {
		f.add(SeverityWarning, AdviceExpired, inRoute(i, FieldValidity), "queue %.60q: tickets are valid for %v, and a call for one target takes %v", q.ID, a.TicketValidity, a.DecisionTime+a.TimePerTarget)
	}
}

func (f *findings) pools(c *work.Config) {
	used, first := map[ident.PoolID]bool{}, map[ident.PoolID]int{}
	for i := range c.Routes {
		used[c.Routes[i].Queue.Pool] = true
	}
	for i, p := range c.Pools {
		if p.ID == "" {
			f.add(SeverityWarning, NameMissing, inPool(i, FieldName), "the pool has no name")
		}
		if n, again := first[p.ID]; again {
			f.add(SeverityWarning, PoolDuplicate, inPool(i, FieldName), "pool %.60q is listed before, as entry %d", p.ID, n)
			continue
		}
		first[p.ID] = i
		if !used[p.ID] && !p.PoweredOff {
			f.add(SeverityNote, PoolUnused, inPool(i, ""), "no queue leads to pool %.60q", p.ID)
		}
	}
}

func (f *findings) tenants(c *work.Config) {
	if c.Tenants == nil {
		return
	}
	f.access(c)
	byPriority := map[int][]int{}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		byPriority[t.Priority] = append(byPriority[t.Priority], i)
		f.keys(i, t)
		switch {
		case t.Weight == 0 && t.Cap != (work.Resources{}):
			f.add(SeverityWarning, WeightZero, inTenant(i, FieldWeight), "tenant %.60q: it has a cap, but weight 0 or none: it has no share when not all jobs can run", t.ID)
		case t.Weight == 0:
			f.add(SeverityWarning, WeightZero, inTenant(i, FieldWeight), "tenant %.60q: weight 0 or none: it has no share when not all jobs can run", t.ID)
		}
		if t.Cap.CPU > 0 && t.Cap.CPU < usefulCPU {
			f.add(SeverityNote, CapSmall, inTenant(i, FieldCapCPU), "tenant %.60q: the cap of %d thousandths is less than one core", t.ID, t.Cap.CPU)
		}
	}
	if len(byPriority) < 2 { // priorities are not used
		return
	}
	for i := range c.Tenants {
		if same := byPriority[c.Tenants[i].Priority]; len(same) > 1 && same[0] == i {
			f.add(SeverityNote, PriorityShared, inTenant(i, FieldPriority), "priority %d is that of %d tenants: %s", c.Tenants[i].Priority, len(same), names(c.Tenants, same))
		}
	}
}

// names returns the names of some tenants.
func names(tenants []work.Tenant, indexes []int) string {
	var out []string
	for _, i := range indexes[:min(maxNamed, len(indexes))] {
		out = append(out, fmt.Sprintf("%.60q", tenants[i].ID))
	}
	if len(indexes) > maxNamed {
		out = append(out, "...")
	}
	return strings.Join(out, ", ")
}

// access checks whether queues that need a key can be used.
func (f *findings) access(c *work.Config) {
	if slices.ContainsFunc(c.Tenants, func(t work.Tenant) bool { return len(t.Keys) > 0 }) {
		return
	}
	closed := 0
	for i := range c.Routes {
		if !c.Routes[i].Queue.Public {
			closed++
		}
	}
	if closed > 0 {
		first := slices.IndexFunc(c.Routes, func(r work.Route) bool { return !r.Queue.Public })
		f.add(SeverityWarning, NoTenantHasKey, section(SectionTenants), "no tenant has a key, and %d of %d routes need one, the first being route %d, %.60q: all their requests are refused", closed, len(c.Routes), first, c.Routes[first].Queue.ID)
	}
}

func (f *findings) keys(i int, t *work.Tenant) {
	if len(t.Keys) == 0 {
		f.add(SeverityWarning, TenantWithoutKeys, inTenant(i, FieldKeys), "tenant %.60q has no keys: nobody can submit or see its jobs", t.ID)
	}
	seen := map[work.KeyDigest]bool{}
	for n, k := range t.Keys {
		if seen[k] {
			f.add(SeverityNote, KeyRepeated, inTenant(i, FieldKeys), "tenant %.60q: key %d, digest %v, is listed before", t.ID, n, k)
		}
		seen[k] = true
	}
}
