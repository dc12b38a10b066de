// Package lookup is the directory of live targets, as registered on the platform.
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

// removalGrace is how long a target whose entry has vanished is still listed:
// entries that lapsed while the log was down are back within about two seconds.
const removalGrace = 2500 * time.Millisecond

// Directory holds the registrations. Set its exported fields before the first call.
type Directory struct {
	// Decode reads an entry; an error means that it names no target.
	Decode func(key string, value []byte) (work.Registration, error)
	Clock  clock.Clock
	Logger hclog.Logger

	mu      sync.Mutex
	entries map[work.TargetID]*entry
	lives   map[work.MachineID]life
	broken  map[string]bool
}

// life is the newest target that a VM was seen to run.
type life struct {
	target work.TargetID
	born   int64
}

type entry struct {
	reg     work.Registration
	removed time.Time
}

// Replace takes the newest entry of every target.
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

// Apply takes one later entry.
func (d *Directory) Apply(r plog.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(r)
}

// put stores an entry and reports whether it names a target.
func (d *Directory) put(r plog.Record) bool {
	if d.entries == nil {
		d.entries, d.broken, d.lives = map[work.TargetID]*entry{}, map[string]bool{}, map[work.MachineID]life{}
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
		if !d.broken[r.Key] {
			d.broken[r.Key] = true
			d.Logger.Warn("a registration names no target", "key", r.Key, "error", err)
		}
		if e := d.entries[id]; e != nil {
			d.remove(e)
		}
		return false
	}
	delete(d.broken, r.Key)
	d.entries[id] = &entry{reg: reg}
	if reg.Machine != "" && reg.Incarnation >= d.lives[reg.Machine].born {
		d.lives[reg.Machine] = life{id, reg.Incarnation}
	}
	return true
}

func (d *Directory) remove(e *entry) {
	if e.removed.IsZero() {
		e.removed = d.Clock.Now()
	}
}

// Incarnation returns the target that a VM runs and when its life began, by the newest entry that was seen.
func (d *Directory) Incarnation(m work.MachineID) (id work.TargetID, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lives[m]
	return l.target, l.born
}

// Snapshot returns the live targets of a pool in the order of their ids.
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
