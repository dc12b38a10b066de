package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// StatusPath is the path of Status on the administration listener.
const StatusPath = "/status"

// Status compares the fleet with the published file, as one entry sees it.
type Status struct {
	Version     ident.Version `json:"version"` // in force on this entry
	Publisher   string        `json:"publisher"`
	PublishedAt time.Time     `json:"published_at"`
	Planner     ident.EntryID `json:"planner"` // holder of the planner duty; empty when none
	Entries     follow.Report `json:"follow"`  // what is in force on each entry
	Pools       []PoolStatus  `json:"pools"`
	Unmet       []string      `json:"lacks"` // what the fleet still lacks against the file
	Risks       []plan.Risk   `json:"risks"` // what may not be met in time, and why
	Reached     bool          `json:"reached"`
}

// PoolStatus counts the VMs of one pool.
type PoolStatus struct {
	ID         ident.PoolID       `json:"id"`
	Owed       int                `json:"owed_vms"`
	MinServing int                `json:"min_serving"`
	VMs        map[fold.Phase]int `json:"vms"` // by phase
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := d.follower.Snapshot()
	now := d.Clock.Now()
	st := newStatus(s, d.follower.Report(), now)
	st.Risks = d.risks.of(s, now)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st) // the reader sees a broken connection
}

// riskAge is how old the risks of a status may be. To work them out takes
// about a second of processor time at 8,000 VMs, too much for each look of each watcher.
const riskAge = 10 * time.Second

// riskCache keeps the risks last worked out.
type riskCache struct {
	mu      sync.Mutex
	version ident.Version
	at      time.Time
	risks   []plan.Risk
}

func (c *riskCache) of(s *fold.State, now time.Time) []plan.Risk {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version != c.version || now.Sub(c.at) >= riskAge {
		c.version, c.at, c.risks = s.Version, now, plan.Risks(s, now, plan.Options{})
	}
	return c.risks
}

func newStatus(s *fold.State, r follow.Report, now time.Time) Status {
	st := Status{
		Version: s.Version, Publisher: s.Publisher.Name, PublishedAt: s.Publisher.Time, Planner: s.Planner.Holder, Entries: r,
	}
	st.Pools, st.Unmet = poolLacks(s)
	st.Unmet = append(st.Unmet, returnLacks(s)...)
	st.Unmet = append(st.Unmet, waveLacks(s, now)...)
	st.Unmet = append(st.Unmet, entryLacks(s, r)...)
	st.Reached = len(st.Unmet) == 0
	return st
}

func poolLacks(s *fold.State) ([]PoolStatus, []string) {
	counts := map[ident.PoolID]map[fold.Phase]int{}
	for i := range s.File.Pools {
		counts[s.File.Pools[i].ID] = map[fold.Phase]int{}
	}
	stray := map[ident.PoolID]int{}
	for vm := range s.VMs {
		if c := counts[vm.Pool]; c != nil {
			c[vm.Phase]++
		} else if vm.Phase != fold.Returned {
			stray[vm.Pool]++
		}
	}
	var pools []PoolStatus
	var lacks []string
	for _, p := range s.File.Pools {
		c := counts[p.ID]
		pools = append(pools, PoolStatus{ID: p.ID, Owed: p.Owed, MinServing: p.MinServing, VMs: c})
		if active := c[fold.Serving] + c[fold.Spare]; active < p.Owed {
			lacks = append(lacks, fmt.Sprintf("pool %s: %d of %d owed VMs are in service", p.ID, active, p.Owed))
		}
	}
	for id, n := range stray {
		lacks = append(lacks, fmt.Sprintf("pool %s is not in the file, but has %d VMs", id, n))
	}
	slices.Sort(lacks)
	return pools, lacks
}

func returnLacks(s *fold.State) []string {
	var out []string
	for vm := range s.VMs {
		if !vm.ReturnBy.IsZero() && vm.Phase != fold.Returned {
			out = append(out, fmt.Sprintf("vm %s is %s and must be returned by %s", vm.ID, vm.Phase, vm.ReturnBy.Format(time.RFC3339)))
		}
	}
	slices.Sort(out)
	return out
}

// waveLacks counts the VMs that the waves which have opened have yet to reboot.
func waveLacks(s *fold.State, now time.Time) []string {
	var out []string
	for i := range s.File.Waves {
		w := &s.File.Waves[i]
		if now.Before(w.Opens) {
			continue
		}
		left := 0
		for vm := range s.VMs {
			done := vm.Wave == w.ID && vm.Phase != fold.Rebooting || !vm.LastMaintained.Before(w.Opens)
			if inWave(w, vm) && vm.Phase != fold.Returned && !done {
				left++
			}
		}
		if left > 0 {
			out = append(out, fmt.Sprintf("wave %s: %d VMs are to be rebooted by %s", w.ID, left, w.Closes.Format(time.RFC3339)))
		}
	}
	return out
}

func inWave(w *fleet.Wave, vm *fold.VM) bool {
	return slices.Contains(w.Zones, vm.Zone) || slices.Contains(w.Racks, vm.Rack)
}

// entryLacks names the entries on which another version is in force.
func entryLacks(s *fold.State, r follow.Report) []string {
	var out []string
	for _, p := range r.Peers {
		if p.Link == "up" && p.Version != s.Version {
			out = append(out, fmt.Sprintf("entry %s has version %d in force", p.Entry, p.Version))
		}
	}
	if r.Self.Reason != "" {
		out = append(out, fmt.Sprintf("entry %s is not ready: %s", cmp.Or(r.Self.Entry, "itself"), r.Self.Reason))
	}
	return out
}
