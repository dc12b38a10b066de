package quota

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Slot is the number of an allocator. Each tenant belongs to one slot.
type Slot int

// Slots is the number of allocators.
const Slots = 4

// SlotOf returns the slot of a tenant.
func SlotOf(t work.TenantID) Slot { return Slot(xxhash.Sum64String(string(t)) % Slots) }

// Number orders the grants of one slot to one partition.
type Number struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64    // of the allocator
	Seq   uint64
}

// Compare orders numbers by epoch, then by sequence number.
func (n Number) Compare(o Number) int {
	return cmp.Or(cmp.Compare(n.Epoch, o.Epoch), cmp.Compare(n.Seq, o.Seq))
}

// Limit is what the tasks of a tenant may hold in one pool.
type Limit struct {
	_       struct{} `cbor:",toarray"`
	Allowed work.Resources
	// Cap is the tenant's cap by which Allowed was granted, and Version that of its configuration.
	Cap     work.Resources
	Version int64
	// Whole means that the pool has the whole cap, and no other pool holds anything: one task above the cap may start.
	Whole bool
}

// Change sets the limit of a tenant in a pool.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Pool   ident.PoolID
	Tenant work.TenantID
	Limit  Limit
}

// Grant is a request of an allocator to a partition. It contains all changes after Base, so that a grant that was lost is
// repeated by the next one.
type Grant struct {
	Slot    Slot     `cbor:"1,keyasint,omitempty"`
	Number  Number   `cbor:"2,keyasint"`
	Base    uint64   `cbor:"3,keyasint,omitempty"`
	Changes []Change `cbor:"4,keyasint,omitempty"`
	// Round numbers the requests; the report repeats it.
	Round uint64 `cbor:"5,keyasint"`
	// Full asks for all tenants of the slot, Tenants for some.
	Full    bool            `cbor:"6,keyasint,omitempty"`
	Tenants []work.TenantID `cbor:"7,keyasint,omitempty"`
}

// Usage is what the tasks of a tenant hold and wait for in a pool.
type Usage struct {
	Held work.Resources `cbor:"1,keyasint,omitempty"`
	// Waiting is the need of the tasks that the limit holds back and that fit the free resources of the targets. Wanted is
	// that of the other tasks that wait.
	Waiting work.Resources `cbor:"2,keyasint,omitempty"`
	Wanted  work.Resources `cbor:"3,keyasint,omitempty"`
	// Next is the need of the first task, or gang, that the limit holds back, and Member that of a single task of it.
	Next   work.Resources `cbor:"4,keyasint,omitempty"`
	Member work.Resources `cbor:"5,keyasint,omitempty"`
	// Cap is the tenant's last known cap if the configuration has no such tenant.
	Cap work.Resources `cbor:"6,keyasint,omitempty"`
}

// Entry is the state of a tenant in a pool.
type Entry struct {
	Pool   ident.PoolID  `cbor:"1,keyasint"`
	Tenant work.TenantID `cbor:"2,keyasint"`
	Usage  Usage         `cbor:"3,keyasint"`
	Limit  Limit         `cbor:"4,keyasint"`
}

// Report is the response to a [Grant]. A tenant without an entry waits for nothing and holds at most its allowance.
type Report struct {
	Slot  Slot   `cbor:"1,keyasint,omitempty"`
	Round uint64 `cbor:"2,keyasint"`
	// Stored is the newest grant that the partition has stored durably.
	Stored  Number  `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint,omitempty"`
	Full    bool    `cbor:"5,keyasint,omitempty"`
	// Version is that of the configuration by which the partition's owner plans.
	Version int64 `cbor:"6,keyasint,omitempty"`
	// Caps is the digest of the caps of the slot's tenants in that version; 0 if unknown.
	Caps uint64 `cbor:"7,keyasint,omitempty"`
}

// CapsDigest adds a tenant to a digest of caps, which doesn't depend on the order of the tenants.
func CapsDigest(digest uint64, t work.TenantID, c work.Resources) uint64 {
	return digest + xxhash.Sum64String(fmt.Sprintf("%d,%d,%d,%s", c.CPU, c.Memory, c.GPU, t))
}
