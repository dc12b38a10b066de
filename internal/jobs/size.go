package jobs

import (
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// What the parts of a job take in memory, with entries in maps and rounding by the allocator. TestSizes compares the sum
// with the heap.
const (
	jobSize        ident.Bytes = 700
	stepSize       ident.Bytes = 200 // in the specification
	dependencySize ident.Bytes = 10
	occurrenceSize ident.Bytes = 80
	stepStateSize  ident.Bytes = 90 // in an occurrence
	taskSize       ident.Bytes = 200
	// runSize allows for the command, the agent and the target's next reports.
	runSize ident.Bytes = 1000
	// finishedSize is what is left of a finished job whose tasks have been dropped.
	finishedSize ident.Bytes = 500
)

// specSize returns what a specification takes in memory.
func specSize(spec *work.Spec) ident.Bytes {
	n := ident.Bytes(len(spec.Payload) + len(spec.Tenant))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += stepSize + ident.Bytes(len(s.DependsOn))*dependencySize + ident.Bytes(len(s.Label)+len(s.DataRack))*9/8
	}
	return n
}

// jobFootprint returns what a job takes in memory once all its occurrences are due, apart from its runs.
func jobFootprint(spec *work.Spec) ident.Bytes {
	occurrence := occurrenceSize + ident.Bytes(len(spec.Steps))*stepStateSize
	return jobSize + specSize(spec) + ident.Bytes(spec.Occurrences())*occurrence + ident.Bytes(spec.Tasks())*taskSize
}

// useOf returns the use of space by an unfinished job of some size.
func useOf(spec *work.Spec, size ident.Bytes) space.Use {
	if size > space.SmallJob || spec.Repeat > 0 || spec.HasServiceStep() {
		return space.Resident
	}
	return space.Transient
}

// tenantParts is the part of a partition's space that the jobs of one tenant may take in a pool.
const tenantParts = 2

// tenantUse is what the jobs of a tenant take of a pool.
type tenantUse struct {
	space ident.Bytes
	jobs  int // active ones
}

// useBy returns what the jobs of a tenant take, to be changed.
func (p *Pool) useBy(id work.TenantID) *tenantUse {
	u := p.tenantUses[id]
	if u == nil {
		u = &tenantUse{}
		p.tenantUses[id] = u
	}
	return u
}

// tenantHasSpace reports whether a new job of n bytes leaves enough to the other tenants. The first job of a tenant has any legal
// size.
func (p *Pool) tenantHasSpace(id work.TenantID, n ident.Bytes) bool {
	if id == "" || p.Space.Limit <= 0 {
		return true
	}
	used := p.useBy(id).space
	return used == 0 || used+n <= p.Space.Limit/tenantParts
}

// occupy counts the space of a job as that of a use, and no longer as what it was counted before.
func (p *Pool) occupy(j *job, u space.Use, size ident.Bytes) {
	p.vacate(j)
	j.use, j.size = u, size
	p.Space.Add(u, size)
	p.useBy(j.tenant).space += size
}

// vacate counts a job as removed.
func (p *Pool) vacate(j *job) {
	if j.size > 0 {
		p.Space.Add(j.use, -j.size)
		p.useBy(j.tenant).space -= j.size
	}
	if j.admitted {
		p.Space.AddAdmitted(-j.size)
	}
	if j.overdrawn {
		p.Space.AddOverdrawn(-j.size)
	}
	j.size, j.admitted, j.overdrawn = 0, false, false
}
