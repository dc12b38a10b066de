package jobs

import (
	"cmp"
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const simTenant work.TenantID = "tenant"

// simAllowed returns what the tenant of all jobs may hold: what the service tasks of a fifth of them need, and 4400 more, so
// that the other tasks take less than the time for the recovery, also one after the other with a lagging owner. The targets
// have 16000.
func (s *simulation) simAllowed() work.Resources {
	return work.Resources{CPU: 4400 + 1500*work.Millicores(cmp.Or(s.rounds, 12)/5)}
}

// setCaps limits the tenant of all jobs at a takeover.
func (s *simulation) setCaps(p *Pool) {
	if !s.capped {
		return
	}
	allowed := s.simAllowed()
	p.SetTenants(1, []work.Tenant{{ID: simTenant, Cap: allowed}})
	p.SetLimits(map[work.TenantID]quota.Limit{simTenant: {Allowed: allowed, Cap: allowed, Version: 1}})
}

// checkCap checks what the tasks on all targets hold together, and that the owner counts the need of all its runs.
func (s *simulation) checkCap() {
	if !s.capped {
		return
	}
	var running, counted work.Resources
	for _, t := range s.targets {
		for _, r := range t.runs {
			running = running.Plus(r.need)
		}
	}
	if allowed := s.simAllowed(); running.CPU > allowed.CPU {
		s.fail("tasks hold %d, allowed %d", running.CPU, allowed.CPU)
	}
	for _, t := range s.owner.pool.targets {
		for _, r := range t.runs {
			if r.job != nil {
				counted = counted.Plus(r.spec.Need)
			}
		}
	}
	if held := s.owner.pool.caps.held[simTenant]; held != counted {
		s.fail("the owner counts %+v as held, its runs need %+v", held, counted)
	}
}

// TestRandomFaultsCaps does the same as TestRandomFaults with jobs of a tenant that may hold a part of the targets, which it
// must not exceed, and must use. It guards against runs that are forgotten while they may still hold resources.
func TestRandomFaultsCaps(t *testing.T) {
	runRandomFaults(t, faultOptions{capped: true})
}

// TestRandomFaultsCapsLaggingOwner does the same with an overloaded owner.
func TestRandomFaultsCapsLaggingOwner(t *testing.T) {
	runRandomFaults(t, faultOptions{capped: true, maxLag: 10})
}

// TestRandomFaultsCapsLeases does the same with owners that lose the log, the zone and the partition in turn.
func TestRandomFaultsCapsLeases(t *testing.T) {
	runRandomFaults(t, faultOptions{capped: true, faults: leaseFaults, rounds: 30})
}
