package quota

import (
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const kinds = 3

// amount is an amount of each resource, for calculations by resource.
type amount [kinds]int64

func amountOf(r work.Resources) amount {
	return amount{int64(r.CPU), int64(r.Memory), int64(r.GPU)}
}

func (a amount) resources() work.Resources {
	return work.Resources{CPU: work.Millicores(a[0]), Memory: work.Mebibytes(a[1]), GPU: ident.Accelerators(a[2])}
}

func (a amount) plus(b amount) amount {
	for d := range a {
		a[d] += b[d]
	}
	return a
}

func (a amount) minus(b amount) amount {
	for d := range a {
		a[d] -= b[d]
	}
	return a
}

func (a amount) min(b amount) amount {
	for d := range a {
		a[d] = min(a[d], b[d])
	}
	return a
}

func (a amount) max(b amount) amount {
	for d := range a {
		a[d] = max(a[d], b[d])
	}
	return a
}

// within reports whether a exceeds limit in none of the resources that cp limits.
func (a amount) within(limit, cp amount) bool {
	for d := range a {
		if cp[d] > 0 && a[d] > limit[d] {
			return false
		}
	}
	return true
}

// Limits reports whether a cap limits any resource.
func Limits(c work.Resources) bool { return c != work.Resources{} }

// Lowers reports whether a cap limits a resource further than another cap does.
func Lowers(c, other work.Resources) bool {
	a, b := amountOf(c), amountOf(other)
	for d := range a {
		if a[d] > 0 && (b[d] == 0 || a[d] < b[d]) {
			return true
		}
	}
	return false
}

// Allows reports whether tasks may start that need an amount together, the largest of them member, beside those that hold
// held. Cap says which resources are limited.
func (l *Limit) Allows(held, need, member, cp work.Resources) bool {
	h, n, c := amountOf(held), amountOf(need), amountOf(cp)
	if h.plus(n).within(amountOf(l.Allowed), c) {
		return true
	}
	if !l.Whole || held != (work.Resources{}) {
		return false
	}
	return amountOf(need.Minus(member)).within(amountOf(l.Cap), c)
}

// View is what the owner of a pool knows of a tenant.
type View struct {
	Configured bool           // the configuration has the tenant
	Cap        work.Resources // of the configuration, or the last known; meaningful if Known
	Known      bool
	Version    int64 // of the configuration
}

// Effective returns the cap and the limit by which a pool plans. A tenant of which nothing is known may have a cap in a newer
// configuration: then the limit is zero, and the cap limits everything. If the configuration is newer than the limit and has
// a lower cap, the limit is zero until the allocator renews it by what the tenant holds.
func (v View) Effective(l Limit) (work.Resources, Limit) {
	has := l.Version > 0
	switch {
	case v.Configured && v.Version >= l.Version:
		if has && Lowers(v.Cap, l.Cap) {
			return v.Cap, Limit{}
		}
		return v.Cap, l
	case has:
		return l.Cap, l
	case v.Known:
		return v.Cap, l
	}
	return work.Resources{CPU: 1, Memory: 1, GPU: 1}, Limit{}
}
