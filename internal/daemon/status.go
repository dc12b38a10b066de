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

// StatusPath is the path on the administration listener that serves a Status as JSON.
const StatusPath = "/status"

// Status compares the fleet with the published fleet file, as one entry sees them.
type Status struct {
	Version     ident.Version `json:"version"` // in force on this entry
	Publisher   string        `json:"publisher"`
	PublishedAt time.Time     `json:"published_at"`
	Planner     ident.EntryID `json:"planner"` // entry that holds the planner role; empty if none
	Entries     follow.Report `json:"follow"`  // version in force and readiness of each entry
	Pools       []PoolStatus  `json:"pools"`
	Unmet       []string      `json:"lacks"`   // requirements of the file that the fleet does not meet yet
	Risks       []plan.Risk   `json:"risks"`   // requirements that may not be met in time, and why
	Reached     bool          `json:"reached"` // whether nothing is unmet
}

// PoolStatus counts the VMs of one pool.
type PoolStatus struct {
	ID         ident.PoolID       `json:"id"`
	Owed       int                `json:"owed_vms"`
	MinServing int                `json:"min_serving"`
	VMs        map[fold.Phase]int `json:"vms"` // number of VMs in each phase
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := d.follower.Snapshot()
	now := d.Clock.Now()
	st := newStatus(s, d.follower.Report(), now)
	st.Risks = d.risks.get(s, now)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st) // the client notices a failed write
}

// riskMaxAge is the maximum age of the risks in a status. Computing them takes about a
// second of processor time with 8,000 VMs, too much for every status request.
const riskMaxAge = 10 * time.Second

// riskCache holds the most recently computed risks.
type riskCache struct {
	mu       sync.Mutex
	version  ident.Version
	computed time.Time
	risks    []plan.Risk
}

// get returns the risks of s, computed at most riskMaxAge ago.
func (c *riskCache) get(s *fold.State, now time.Time) []plan.Risk {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version != c.version || now.Sub(c.computed) >= riskMaxAge {
		c.version, c.computed, c.risks = s.Version, now, plan.Risks(s, now, plan.Options{})
	}
	return c.risks
}

func newStatus(s *fold.State, r follow.Report, now time.Time) Status {
	st := Status{
		Version: s.Version, Publisher: s.Publisher.Name, PublishedAt: s.Publisher.Time, Planner: s.Planner.Holder, Entries: r,
	}
	st.Pools, st.Unmet = unmetPools(s)
	st.Unmet = append(st.Unmet, unmetReturns(s)...)
	st.Unmet = append(st.Unmet, unmetWaves(s, now)...)
	st.Unmet = append(st.Unmet, unmetEntries(s, r)...)
	st.Reached = len(st.Unmet) == 0
	return st
}

// unmetPools counts the VMs of each pool in the file. The second result names pools with too few
// VMs in service, and pools that have VMs but are not in the file.
func unmetPools(s *fold.State) ([]PoolStatus, []string) {
	counts := map[ident.PoolID]map[fold.Phase]int{}
	for i := range s.File.Pools {
		counts[s.File.Pools[i].ID] = map[fold.Phase]int{}
	}
	strays := map[ident.PoolID]int{}
	for vm := range s.VMs {
		if c := counts[vm.Pool]; c != nil {
			c[vm.Phase]++
		} else if vm.Phase != fold.Returned {
			strays[vm.Pool]++
		}
	}
	var pools []PoolStatus
	var unmet []string
	for _, p := range s.File.Pools {
		c := counts[p.ID]
		pools = append(pools, PoolStatus{ID: p.ID, Owed: p.Owed, MinServing: p.MinServing, VMs: c})
		if active := c[fold.Serving] + c[fold.Spare]; active < p.Owed {
			unmet = append(unmet, fmt.Sprintf("pool %s: %d of %d owed VMs are in service", p.ID, active, p.Owed))
		}
	}
	for id, n := range strays {
		unmet = append(unmet, fmt.Sprintf("pool %s is not in the file, but has %d VMs", id, n))
	}
	slices.Sort(unmet)
	return pools, unmet
}

// unmetReturns names the VMs that must be returned and have not been.
func unmetReturns(s *fold.State) []string {
	var out []string
	for vm := range s.VMs {
		if !vm.ReturnBy.IsZero() && vm.Phase != fold.Returned {
			out = append(out, fmt.Sprintf("vm %s is %s and must be returned by %s", vm.ID, vm.Phase, vm.ReturnBy.Format(time.RFC3339)))
		}
	}
	slices.Sort(out)
	return out
}

// unmetWaves reports for each wave that has opened how many VMs are still to be rebooted.
func unmetWaves(s *fold.State, now time.Time) []string {
	var out []string
	for i := range s.File.Waves {
		w := &s.File.Waves[i]
		if now.Before(w.Opens) {
			continue
		}
		pending := 0
		for vm := range s.VMs {
			done := vm.Wave == w.ID && vm.Phase != fold.Rebooting || !vm.LastMaintained.Before(w.Opens)
			if inWave(w, vm) && vm.Phase != fold.Returned && !done {
				pending++
			}
		}
		if pending > 0 {
			out = append(out, fmt.Sprintf("wave %s: %d VMs are to be rebooted by %s", w.ID, pending, w.Closes.Format(time.RFC3339)))
		}
	}
	return out
}

func inWave(w *fleet.Wave, vm *fold.VM) bool {
	return slices.Contains(w.Zones, vm.Zone) || slices.Contains(w.Racks, vm.Rack)
}

// unmetEntries names the linked entries on which another version is in force, and this entry if it is not ready.
func unmetEntries(s *fold.State, r follow.Report) []string {
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
