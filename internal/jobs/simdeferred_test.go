package jobs

import (
	"maps"
	"slices"
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// TestRandomFaultsDeferred does the same with owners that have no space for the stored jobs at first, so that all jobs that no
// target may be running are deferred and restored one by one.
func TestRandomFaultsDeferred(t *testing.T) { runRandomFaults(t, faultOptions{deferring: true}) }

// TestRandomFaultsDeferredSegments does the same with jobs that have several records, and an overloaded owner.
func TestRandomFaultsDeferredSegments(t *testing.T) {
	runRandomFaults(t, faultOptions{deferring: true, segmentTasks: 2, maxLag: 10})
}

// restoreWithoutSpace restores the stored jobs for an owner that has no space.
func (s *simulation) restoreWithoutSpace(p *Pool) error {
	if s.deferring {
		p.Space.Limit = 1
		defer func() { p.Space.Limit = 0 }()
	}
	return restoreAll(p, s.now, s.store)
}

// restoreDeferred restores the next deferred job.
func (s *simulation) restoreDeferred() {
	p := s.owner.pool
	id, after, ok := p.NextDeferred()
	if !ok {
		return
	}
	stored := Stored{}
	for _, key := range slices.Sorted(maps.Keys(s.store)) {
		if JobOf(key) != id {
			continue
		}
		if key <= after {
			s.fail("a record of %s has the key %q, not after %q", id, key, after)
		}
		if err := stored.Add(Entry{key, s.store[key]}); err != nil {
			s.t.Fatal(err)
		}
	}
	p.RestoreDeferred(s.now, stored[id])
}

// cancel cancels a job, which is restored first if it is deferred.
func (s *simulation) cancel(id work.JobID) {
	for s.owner.pool.Want(id) {
		s.restoreDeferred()
	}
	s.owner.pool.Cancel(s.now, id)
}
