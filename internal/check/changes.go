package check

import (
	"fmt"
	"strings"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Changes returns what a configuration changes in the one in force. The place of something that is removed is its section.
func Changes(inForce, next *work.Config) []Finding {
	var f findings
	if next.Version <= inForce.Version {
		f.add(SeverityError, VersionNotHigher, section(SectionVersion), "version %d is not higher than %d, the version in force: the daemons ignore it", next.Version, inForce.Version)
	}
	if next.MaxBody != inForce.MaxBody {
		f.add(SeverityNote, Changed, Place{SectionLimits, WholeSection, FieldMaxBody}, "%d, was %d", next.MaxBody, inForce.MaxBody)
	}
	f.changedRoutes(inForce.Routes, next.Routes)
	f.changedPools(inForce.Pools, next.Pools)
	switch {
	case inForce.Tenants == nil && next.Tenants != nil:
		f.add(SeverityNote, TenantsIntroduced, section(SectionTenants), "routes that are not public need the key of a tenant from now on")
	case inForce.Tenants != nil && next.Tenants == nil:
		f.add(SeverityWarning, TenantsRemoved, section(SectionTenants), "there are no tenants any more: no key is needed, and every client sees all jobs of a queue's pool")
	}
	f.changedTenants(inForce.Tenants, next.Tenants)
	return f
}

// compare reports which entries were added and removed, and calls changed for those in both. Of entries with the same key
// the first is taken: later routes never match, and later pools are reported as faults.
func compare[K comparable, E any](f *findings, s Section, inForce, next []E, key func(*E) K, name func(*E) string, changed func(i int, was, is *E)) {
	before, after := firstByKey(inForce, key), firstByKey(next, key)
	for i := range next {
		k := key(&next[i])
		if after[k] != i {
			continue
		}
		if n, known := before[k]; known {
			changed(i, &inForce[n], &next[i])
		} else {
			f.add(SeverityNote, Added, Place{s, i, ""}, "added: %s", name(&next[i]))
		}
	}
	for i := range inForce {
		k := key(&inForce[i])
		if _, kept := after[k]; !kept && before[k] == i {
			f.add(SeverityNote, Removed, section(s), "removed: %s", name(&inForce[i]))
		}
	}
}

// firstByKey returns the index of the first entry with each key.
func firstByKey[K comparable, E any](entries []E, key func(*E) K) map[K]int {
	out := make(map[K]int, len(entries))
	for i := range entries {
		if _, again := out[key(&entries[i])]; !again {
			out[key(&entries[i])] = i
		}
	}
	return out
}

func (f *findings) changedRoutes(inForce, next []work.Route) {
	name := func(r *work.Route) string {
		return fmt.Sprintf("%v, queue %.60q of pool %.60q", addressOf(r), r.Queue.ID, r.Queue.Pool)
	}
	compare(f, SectionRoutes, inForce, next, addressOf, name, func(i int, was, is *work.Route) {
		var changes []change
		if was.Queue.ID != is.Queue.ID {
			changes = append(changes, change{FieldName, fmt.Sprintf("queue %.60q", is.Queue.ID), fmt.Sprintf("%.60q", was.Queue.ID)})
		}
		if was.Queue.Pool != is.Queue.Pool {
			changes = append(changes, change{FieldPool, fmt.Sprintf("pool %.60q", is.Queue.Pool), fmt.Sprintf("%.60q", was.Queue.Pool)})
		}
		for _, c := range append(changes, queueChanges(&was.Queue, &is.Queue)...) {
			f.add(SeverityNote, Changed, inRoute(i, c.field), "%v: %v", addressOf(is), c)
		}
	})
}

func (f *findings) changedPools(inForce, next []work.PoolConfig) {
	key := func(p *work.PoolConfig) ident.PoolID { return p.ID }
	name := func(p *work.PoolConfig) string { return fmt.Sprintf("pool %.60q", p.ID) }
	compare(f, SectionPools, inForce, next, key, name, func(i int, was, is *work.PoolConfig) {
		if was.PoweredOff != is.PoweredOff {
			f.add(SeverityNote, Changed, inPool(i, FieldPoweredOff), "pool %.60q: powered off %v, was %v", is.ID, is.PoweredOff, was.PoweredOff)
		}
	})
}

func (f *findings) changedTenants(inForce, next []work.Tenant) {
	key := func(t *work.Tenant) work.TenantID { return t.ID }
	name := func(t *work.Tenant) string { return fmt.Sprintf("tenant %.60q with %d keys", t.ID, len(t.Keys)) }
	holder := map[work.KeyDigest]work.TenantID{}
	for i := range inForce {
		for _, k := range inForce[i].Keys {
			holder[k] = inForce[i].ID
		}
	}
	compare(f, SectionTenants, inForce, next, key, name, func(i int, was, is *work.Tenant) {
		if was.Priority != is.Priority {
			f.add(SeverityNote, Changed, inTenant(i, FieldPriority), "tenant %.60q: priority %d, was %d", is.ID, is.Priority, was.Priority)
		}
		if was.Weight != is.Weight {
			f.add(SeverityNote, Changed, inTenant(i, FieldWeight), "tenant %.60q: weight %g, was %g", is.ID, is.Weight, was.Weight)
		}
		if was.Cap != is.Cap {
			f.add(SeverityNote, Changed, inTenant(i, FieldCap), "tenant %.60q: cap %s, was %s", is.ID, amounts(is.Cap), amounts(was.Cap))
		}
		for _, k := range missing(was.Keys, is.Keys) {
			f.add(SeverityNote, Removed, inTenant(i, FieldKeys), "tenant %.60q: removed: the key with digest %v", is.ID, k)
		}
		for _, k := range missing(is.Keys, was.Keys) {
			if from, held := holder[k]; held {
				f.add(SeverityNote, Added, inTenant(i, FieldKeys), "tenant %.60q: added: the key with digest %v, which was one of tenant %.60q", is.ID, k, from)
				continue
			}
			f.add(SeverityNote, Added, inTenant(i, FieldKeys), "tenant %.60q: added: the key with digest %v", is.ID, k)
		}
	})
}

// missing returns the keys that are in a and not in b.
func missing(a, b []work.KeyDigest) []work.KeyDigest {
	known := map[work.KeyDigest]bool{}
	for _, k := range b {
		known[k] = true
	}
	var out []work.KeyDigest
	for _, k := range a {
		if !known[k] {
			known[k] = true
			out = append(out, k)
		}
	}
	return out
}

// amounts returns the text of a cap.
func amounts(r work.Resources) string {
	return fmt.Sprintf("%d thousandths of a core, %d MiB, %d GPUs", r.CPU, r.Memory, r.GPU)
}

// change is a difference of two queues.
type change struct {
	field   Field
	is, was string
}

func (c change) String() string { return c.is + ", was " + c.was }

func joinChanges(changes []change) string {
	var out []string
	for _, c := range changes {
		out = append(out, c.String())
	}
	return strings.Join(out, "; ")
}

// queueChanges returns how the settings of two queues differ.
func queueChanges(was, is *work.Queue) []change {
	var out []change
	note := func(f Field, name string, before, after any) {
		if before != after {
			out = append(out, change{f, fmt.Sprintf("%s %v", name, after), fmt.Sprint(before)})
		}
	}
	note(FieldPublic, "public", was.Public, is.Public)
	note(FieldPriority, "priority", was.Priority, is.Priority)
	note(FieldMaxAttempts, "attempts", was.MaxAttempts, is.MaxAttempts)
	note(FieldObjective, "time to complete", was.Objective, is.Objective)
	note(FieldSlackFactor, "factor", was.SlackFactor, is.SlackFactor)
	note(FieldAdvice, "advice", adviceText(was.Advice), adviceText(is.Advice))
	return out
}

func adviceText(a *work.AdviceConfig) string {
	if a == nil {
		return "none"
	}
	return fmt.Sprintf("{call %v, per target %v, valid %v}", a.DecisionTime, a.TimePerTarget, a.TicketValidity)
}
