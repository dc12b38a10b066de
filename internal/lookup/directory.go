package lookup

import (
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// removalGrace is how long a target is still listed after its registration was removed. Registrations that expired while
// the log was down are back within about two seconds.
const removalGrace = 2500 * time.Millisecond

// Directory holds the registrations of targets. Set its exported fields before the first call.
type Directory struct {
	// Decode decodes a registration; an error means that the record describes no usable target.
	Decode func(key string, value []byte) (work.Registration, error)
	// Pools returns the configured pools. Another writer may register a VM of the fleet for a pool of its own.
	Pools  func() []work.PoolConfig
	Clock  clock.Clock
	Logger hclog.Logger

	mu       sync.Mutex
	entries  map[work.TargetID]*entry
	newest   map[work.VMID]map[ident.PoolID]NewestTarget
	unusable map[string]bool
}

// NewestTarget is the target with the highest incarnation that was registered for a VM.
type NewestTarget struct {
	ID          work.TargetID // empty if there is none
	Incarnation int64
	Since       time.Time // when this incarnation was first seen
}

// maxIncarnationLead is by how much the start of a target may be in the future, by the clock of this process.
const maxIncarnationLead = time.Hour

type entry struct {
	reg     work.Registration
	removed time.Time // zero while the target is registered
}

// Replace replaces all registrations by the newest ones of every target.
func (d *Directory) Replace(records []plog.Record) {
	entries := make([]decodedEntry, 0, len(records))
	for _, r := range records {
		entries = append(entries, d.decode(r))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[work.TargetID]bool{}
	for i, r := range records {
		if d.put(r, entries[i]) {
			seen[work.TargetID(r.Key)] = true
		}
	}
	for id, e := range d.entries {
		if !seen[id] {
			d.remove(e)
		}
	}
}

// Apply applies one later registration or removal.
func (d *Directory) Apply(r plog.Record) {
	e := d.decode(r) // without the lock, for which the owners of the pools wait
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(r, e)
}

// put applies a record and reports whether it registers a target.
func (d *Directory) put(r plog.Record, decoded decodedEntry) bool {
	if d.entries == nil {
		d.entries, d.unusable, d.newest = map[work.TargetID]*entry{}, map[string]bool{}, map[work.VMID]map[ident.PoolID]NewestTarget{}
	}
	id := work.TargetID(r.Key)
	if len(r.Value) == 0 {
		if e := d.entries[id]; e != nil {
			d.remove(e)
		}
		return false
	}
	reg := decoded.reg
	if decoded.err != nil {
		if !d.unusable[r.Key] {
			d.unusable[r.Key] = true
			d.Logger.Warn("ignoring a registration that describes no usable target", "key", r.Key, "error", decoded.err)
		}
		if e := d.entries[id]; e != nil {
			d.remove(e)
		}
		return false
	}
	delete(d.unusable, r.Key)
	d.entries[id] = &entry{reg: reg}
	if reg.VM != "" {
		d.noteNewest(reg)
	}
	return true
}

// decodedEntry is the registration of a record with a value, or the error of its decoding.
type decodedEntry struct {
	reg work.Registration
	err error
}

// decode decodes a record, with an error if that panics or the registration can't be right.
func (d *Directory) decode(r plog.Record) (e decodedEntry) {
	if len(r.Value) == 0 {
		return e
	}
	if !panics.Catch(d.Logger, "registration", func() { e.reg, e.err = d.Decode(r.Key, r.Value) }) {
		return decodedEntry{err: errors.New("the registration can't be decoded")}
	}
	if latest := d.Clock.Now().Add(maxIncarnationLead).UnixMilli(); e.err == nil && e.reg.Incarnation > latest {
		e.err = errors.Newf("the target has started at %d ms, in the future", e.reg.Incarnation)
	}
	return e
}

// noteNewest keeps the newest target of the registration's VM in its pool.
func (d *Directory) noteNewest(reg work.Registration) {
	byPool := d.newest[reg.VM]
	if byPool == nil {
		byPool = map[ident.PoolID]NewestTarget{}
		d.newest[reg.VM] = byPool
	}
	n, known := byPool[reg.Pool]
	if known && (reg.Incarnation < n.Incarnation || reg.Incarnation == n.Incarnation && reg.ID == n.ID) {
		return
	}
	byPool[reg.Pool] = NewestTarget{reg.ID, reg.Incarnation, d.Clock.Now()}
}

func (d *Directory) remove(e *entry) {
	if e.removed.IsZero() {
		e.removed = d.Clock.Now()
	}
}

// Newest returns the target that a VM runs, according to the registration with the highest incarnation of those for
// configured pools.
func (d *Directory) Newest(vm work.VMID) NewestTarget {
	pools := d.Pools()
	d.mu.Lock()
	defer d.mu.Unlock()
	byPool := d.newest[vm]
	var newest NewestTarget
	for _, p := range pools {
		if n, known := byPool[p.ID]; known && (newest.ID == "" || n.Incarnation > newest.Incarnation) {
			newest = n
		}
	}
	return newest
}

// Snapshot returns the registered targets of a pool, sorted by id.
func (d *Directory) Snapshot(pool ident.PoolID) []work.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	var out []work.Registration
	for id, e := range d.entries {
		if !e.removed.IsZero() && now.Sub(e.removed) > removalGrace {
			delete(d.entries, id)
			continue
		}
		if e.reg.Pool == pool {
			out = append(out, e.reg)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
