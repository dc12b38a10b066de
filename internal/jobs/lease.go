package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// A record may say by when the leases that a target was given have expired, so that the next owner doesn't wait anew for the
// longest possible lease. Such an end holds only as long as no further lease is given: it is cleared, and the record without
// it is durable, before the owner extends the target's lease. That includes the records of runs that have ended: the target
// keeps the end of a run as long as its lease doesn't lapse, and a task that has completed must not start again.

// storeLeaseEndsAfter is how long after a takeover the ends of the leases on targets that have not answered are stored. Most
// targets answer earlier, and need no record.
const storeLeaseEndsAfter = 700 * time.Millisecond

// storeLeaseEnds stores, for the next owner, the ends of the leases that previous owners gave to a target that has not
// answered this one.
func (p *Pool) storeLeaseEnds(now time.Time, t *target) {
	if now.Sub(p.OwnedSince) < storeLeaseEndsAfter {
		return
	}
	for _, r := range t.orderedRuns {
		if r.job != nil && !r.leaseExpiresBy.IsZero() && !r.leaseEndStored {
			p.markTaskDirty(r.job, r.key.task)
		}
	}
}

// clearLeaseEnds forgets the ends of the leases of a target that has answered, and whose lease is about to be extended.
func (p *Pool) clearLeaseEnds(t *target) {
	for _, r := range t.orderedRuns {
		p.clearLeaseEnd(r)
	}
}

// clearLeaseEnd removes the end of a lease from the record of a run. The lease of its target isn't extended until that is
// durable.
func (p *Pool) clearLeaseEnd(r *run) {
	r.leaseExpiresBy = time.Time{}
	if !r.leaseEndStored {
		return
	}
	r.leaseEndStored = false
	p.markTaskDirty(r.job, r.key.task)
	t := r.target
	t.leaseEndsClearedBy = p.nextWrite
	if !t.awaitsClearance {
		t.awaitsClearance = true
		p.awaitingClearance = append(p.awaitingClearance, t)
	}
}

// MayExtendLease reports whether the lease of a target may be extended: no record names an end of it.
func (p *Pool) MayExtendLease(id work.TargetID) bool {
	t := p.targets[id]
	if t == nil {
		return true
	}
	for _, r := range t.orderedRuns {
		if !r.leaseExpiresBy.IsZero() {
			return false
		}
	}
	return t.leaseEndsClearedBy <= p.durable
}

// releaseLeases collects the targets whose leases may be extended since the last write is durable.
func (p *Pool) releaseLeases() {
	kept := p.awaitingClearance[:0]
	for _, t := range p.awaitingClearance {
		if t.leaseEndsClearedBy > p.durable {
			kept = append(kept, t)
			continue
		}
		t.awaitsClearance = false
		p.extendable = append(p.extendable, t.ID)
		p.forgetIfGone(t)
	}
	clear(p.awaitingClearance[len(kept):])
	p.awaitingClearance = kept
}

// TakeExtendable returns the targets whose ends of leases were cleared by writes that have become durable since the last call.
func (p *Pool) TakeExtendable() []work.TargetID {
	out := p.extendable
	p.extendable = nil
	return out
}

// Unreachable returns the targets that did not answer the last request.
func (p *Pool) Unreachable() []work.TargetID {
	var out []work.TargetID
	for _, t := range p.sortedTargets() {
		if t.unreachable {
			out = append(out, t.ID)
		}
	}
	return out
}

// expireInherited ends the runs of previous owners on a target that has not answered this owner, once the leases that
// those owners gave have expired.
func (p *Pool) expireInherited(now time.Time, t *target) {
	for _, r := range t.runList() {
		if r.inherited && !r.leaseExpiresBy.IsZero() && p.wallTime(now).After(r.leaseExpiresBy) {
			p.markLost(now, r, "the lease given by a previous owner has expired")
		}
	}
}

// PrepareHandover records, for the next owner, by when the leases of the [Pool.Unreachable] targets will have expired. The
// owner must have stopped to extend them before now.
func (p *Pool) PrepareHandover(now time.Time) {
	for _, t := range p.sortedTargets() {
		if !t.unreachable {
			continue
		}
		for _, r := range t.runList() {
			if r.job != nil && r.leaseExpiresBy.IsZero() {
				r.leaseExpiresBy = p.wallTime(now).Add(p.Bounds.MaxLease)
				p.markTaskDirty(r.job, r.key.task)
			}
		}
	}
}
