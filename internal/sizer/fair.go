package sizer

import (
	"cmp"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// TenantDemand is what one tenant's tasks that end by themselves hold and could start now in a pool.
type TenantDemand struct {
	ID     work.TenantID   `cbor:"1,keyasint,omitempty"` // empty for the jobs of no tenant
	Weight float64         `cbor:"2,keyasint"`
	CPU    work.Millicores `cbor:"3,keyasint"`
}

// donorMargin is the part of its fair need by which a pool must exceed that need to give VMs while all pools together need
// more than there are. Needs vary by about as much from one round to the next, and each move costs a VM for 1.5 s.
const donorMargin = 0.125

// divideFairly reduces the needs of the pools where they exceed all VMs together, so that a pool whose demand rises gets VMs
// of pools that are short as well. Load: one tenant asks for several times its share in one pool while the turn of another
// pool begins; without a division the first pool keeps all VMs until its backlog is done.
//
// What the pools need beyond their service tasks is divided between the tenants by weight, and what a tenant gets between
// the pools by its demand there. Shares that a tenant doesn't need go to the others. Without tenants nothing changes.
func (s *Plan) divideFairly() {
	total, needed, keeps := 0, 0, 0
	tenants := false
	for _, p := range s.pools {
		total += p.have
		needed += p.need
		keeps += p.leastNeed()
		tenants = tenants || len(p.Tenants) > 0
	}
	if !tenants || needed <= total || keeps >= total {
		return
	}
	shares := s.tenantShares()
	waterFill(shares, float64(total-keeps))
	for _, p := range s.pools {
		if p.need > p.leastNeed() {
			p.setFairNeed(shares)
		}
	}
}

// leastNeed returns what the pool needs for service tasks and its next job.
func (p *poolState) leastNeed() int { return min(p.need, p.base) }

// setFairNeed sets the need to the least need and what the tenants get in this pool.
func (p *poolState) setFairNeed(shares []*tenantShare) {
	fair := 0.0
	for _, t := range shares {
		if t.wants > 0 {
			fair += t.in[p] * t.gets / t.wants
		}
	}
	need := p.leastNeed() + int(fair)
	if surplus := p.have - need; surplus > 0 && float64(surplus) <= donorMargin*float64(need)+1 {
		need = p.have
	}
	p.need = min(p.need, need)
}

// tenantShare is the demand of a tenant for VMs, beyond the least needs of the pools.
type tenantShare struct {
	weight float64
	in     map[*poolState]float64
	wants  float64 // in all pools
	gets   float64
}

// tenantShares attributes the needs of the pools to the tenants in proportion to their demand there.
func (s *Plan) tenantShares() []*tenantShare {
	byID := map[work.TenantID]*tenantShare{}
	var out []*tenantShare // in the order of the pools, so that sums don't depend on the order of a map
	for _, p := range s.pools {
		beyond := float64(p.need - p.leastNeed())
		if beyond <= 0 {
			continue
		}
		demands := p.Tenants
		sum := work.Millicores(0)
		for _, d := range demands {
			sum += d.CPU
		}
		if sum <= 0 { // the need follows from a forecast alone
			demands, sum = []TenantDemand{{Weight: 1, CPU: 1}}, 1
		}
		for _, d := range demands {
			t := byID[d.ID]
			if t == nil {
				t = &tenantShare{weight: d.Weight, in: map[*poolState]float64{}}
				byID[d.ID] = t
				out = append(out, t)
			}
			part := beyond * float64(d.CPU) / float64(sum)
			t.in[p] += part
			t.wants += part
		}
	}
	return out
}

// waterFill divides an amount between the tenants: each gets what it wants or, if that is less, the same amount for its
// weight as all others that don't get what they want.
func waterFill(shares []*tenantShare, amount float64) {
	ordered := slices.Clone(shares)
	level := func(t *tenantShare) float64 { return t.wants / max(t.weight, minWeight) }
	slices.SortStableFunc(ordered, func(a, b *tenantShare) int { return cmp.Compare(level(a), level(b)) })
	weights := 0.0
	for _, t := range ordered {
		weights += max(t.weight, minWeight)
	}
	for _, t := range ordered { // the least demand for its weight first
		w := max(t.weight, minWeight)
		t.gets = min(t.wants, amount*w/weights)
		amount -= t.gets
		weights -= w
	}
}

// minWeight stands for a weight of 0: such a tenant gets what the others leave.
const minWeight = 1e-6
