package lookup

import (
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
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
	Clock  clock.Clock
	Logger hclog.Logger

	mu       sync.Mutex
	entries  map[work.TargetID]*entry
	newest   map[work.VMID]newestTarget
	unusable map[string]bool
}

// newestTarget is the target with the highest incarnation that was registered for a VM.
type newestTarget struct {
	target      work.TargetID
	incarnation int64
}

type entry struct {
	reg     work.Registration
	removed time.Time // zero while the target is registered
}

// Replace replaces all registrations by the newest ones of every target.
func (d *Directory) Replace(records []plog.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[work.TargetID]bool{}
	for _, r := range records {
		if d.put(r) {
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(r)
}

// put applies a record and reports whether it registers a target.
func (d *Directory) put(r plog.Record) bool {
	if d.entries == nil {
		d.entries, d.unusable, d.newest = map[work.TargetID]*entry{}, map[string]bool{}, map[work.VMID]newestTarget{}
	}
	id := work.TargetID(r.Key)
	if len(r.Value) == 0 {
		if e := d.entries[id]; e != nil {
			d.remove(e)
		}
		return false
	}
	reg, err := d.Decode(r.Key, r.Value)
	if err != nil {
		if !d.unusable[r.Key] {
			d.unusable[r.Key] = true
			d.Logger.Warn("ignoring a registration that describes no usable target", "key", r.Key, "error", err)
		}
		if e := d.entries[id]; e != nil {
			d.remove(e)
		}
		return false
	}
	delete(d.unusable, r.Key)
	d.entries[id] = &entry{reg: reg}
	if reg.VM != "" && reg.Incarnation >= d.newest[reg.VM].incarnation {
		d.newest[reg.VM] = newestTarget{id, reg.Incarnation}
	}
	return true
}

func (d *Directory) remove(e *entry) {
	if e.removed.IsZero() {
		e.removed = d.Clock.Now()
	}
}

// Incarnation returns the target that a VM runs and the target's incarnation, according to the registration with the
// highest incarnation.
func (d *Directory) Incarnation(vm work.VMID) (id work.TargetID, incarnation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.newest[vm]
	return n.target, n.incarnation
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
