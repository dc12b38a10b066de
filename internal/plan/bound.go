package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Demand is what a calendar of waves, returns and failures demands of the
// reserve: the VMs beyond those that the pools are owed. It is a relaxation of
// the planning problem: moves and drains take no time, the racks and zones of
// reserve VMs do not matter, and each outage affects the pool in which its VM
// was published. Under these assumptions the bounds below hold for every plan
// that keeps each pool's headroom, even for one that knows the future.
type Demand struct {
	Needs   []Need
	Reboots []RebootWindow
}

// Need says that a pool must hold one more reserve VM for a period of time.
type Need struct {
	Pool      ident.PoolID
	From, To  time.Time
	Permanent bool // replaces a returned VM for good; To is not used
}

// RebootWindow says that a pool without spare headroom reboots VMs within a
// wave. It can do so only while it holds reserve VMs beyond its needs; each of
// them lets it reboot one VM at a time.
type RebootWindow struct {
	Pool          ident.PoolID
	Opens, Closes time.Time
	VMs           int           // VMs to reboot, at least 1
	Cycle         time.Duration // time that one VM is out of service
}

func (n *Need) active(at time.Time) bool {
	return !n.From.After(at) && (n.Permanent || n.To.After(at))
}

// needsAt is the number of reserve VMs that the needs take at a time.
func (d *Demand) needsAt(at time.Time) int {
	k := 0
	for i := range d.Needs {
		k += b2i(d.Needs[i].active(at))
	}
	return k
}

// ReserveLowerBound is a lower bound on the reserve VMs of every plan. It is the
// maximum of the most needs at one moment and, for each wave, the fewest needs at
// any moment of the wave plus the VMs that its reboots take, since one VM allows
// at most window/cycle reboots one after another. The bound may be too low when
// needs begin and end within a wave.
func (d *Demand) ReserveLowerBound() int {
	most := 0
	for i := range d.Needs {
		most = max(most, d.needsAt(d.Needs[i].From))
	}
	type window struct{ opens, closes time.Time }
	reboots := map[window]int{}
	cycle := map[window]time.Duration{}
	for _, rw := range d.Reboots {
		w := window{rw.Opens, rw.Closes}
		reboots[w] += rw.VMs
		cycle[w] = rw.Cycle
	}
	for w, n := range reboots {
		perVM := max(1, int(w.closes.Sub(w.opens)/cycle[w]))
		most = max(most, d.fewestNeeds(w.opens, w.closes)+ceilDiv(n, perVM))
	}
	return most
}

// fewestNeeds is the smallest number of needs at any moment of a window.
func (d *Demand) fewestNeeds(from, to time.Time) int {
	least := d.needsAt(from)
	for i := range d.Needs {
		if n := &d.Needs[i]; !n.Permanent && n.To.After(from) && n.To.Before(to) {
			least = min(least, d.needsAt(n.To))
		}
	}
	return least
}

// claim says that a pool must hold a reserve VM at some moment of a step.
type claim struct {
	step      int
	pool      ident.PoolID
	permanent bool // the VM stays for good and meets no later claim
}

// claims groups needs and reboot windows into steps: one for each wave, which
// includes the needs that begin within it, and one for each other moment. The
// claims of a pool in one step count once, since one VM may meet them in turn,
// except that each returned VM counts. A need that the reserve cannot meet
// together with the other needs at its start is left out, since no plan has to
// meet it.
func (d *Demand) claims(reserve int) []claim {
	var timed []timedClaim
	for _, rw := range d.Reboots {
		if d.needsAt(rw.Opens) < reserve {
			timed = append(timed, timedClaim{rw.Opens, claim{pool: rw.Pool}})
		}
	}
	for i := range d.Needs {
		n := &d.Needs[i]
		at := n.From
		for _, rw := range d.Reboots {
			if !rw.Opens.After(at) && rw.Closes.After(at) {
				at = rw.Opens
			}
		}
		if n.Permanent || d.needsAt(n.From) <= reserve {
			timed = append(timed, timedClaim{at, claim{pool: n.Pool, permanent: n.Permanent}})
		}
	}
	slices.SortStableFunc(timed, func(a, b timedClaim) int { return a.at.Compare(b.at) })
	return groupIntoSteps(timed)
}

// timedClaim is a claim with the moment at which its step begins.
type timedClaim struct {
	at time.Time
	claim
}

// groupIntoSteps numbers the steps of claims that are sorted by time, and merges
// the claims of a pool within a step as described at claims.
func groupIntoSteps(timed []timedClaim) []claim {
	var out []claim
	step, last := -1, time.Time{}
	for _, tc := range timed {
		if step < 0 || !tc.at.Equal(last) {
			step, last = step+1, tc.at
		}
		tc.step = step
		i := slices.IndexFunc(out, func(c claim) bool { return c.step == step && c.pool == tc.pool })
		switch {
		case i < 0 || out[i].permanent && tc.permanent:
			out = append(out, tc.claim)
		case tc.permanent:
			out[i].permanent = true
		}
	}
	return out
}

// MovesLowerBound is a lower bound on the moves of every plan with this reserve.
// At each claim, the pool either still holds a reserve VM from its previous claim,
// or one moves in. At any moment, at most as many pools hold a reserve VM as there
// are reserve VMs, less those that have replaced returned VMs. So the number of
// moves is at least the number of claims, less the largest number of spans between
// consecutive claims of a pool that the reserve can cover. A greedy algorithm
// finds that number: wherever too many spans overlap, it drops those that end
// last. The bound is exact when every claim is for one VM of its pool, and may be
// too low when a pool needs several at once.
func (d *Demand) MovesLowerBound(reserve int) int {
	claims := d.claims(reserve)
	type span struct{ from, to int } // steps
	var spans []span
	last := map[ident.PoolID]int{}
	permanent := map[int]int{} // reserve VMs that stay for good from a step on
	for _, c := range claims {
		if from, ok := last[c.pool]; ok && from < c.step {
			spans = append(spans, span{from, c.step})
		}
		last[c.pool] = c.step
		if c.permanent {
			delete(last, c.pool)
			permanent[c.step]++
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	kept, capacity := 0, reserve
	var open []int // ends of the chosen spans that are still open at this step
	steps := 0
	if len(claims) > 0 {
		steps = claims[len(claims)-1].step
	}
	for s := 0; s <= steps; s++ {
		before := len(open)
		open = slices.DeleteFunc(open, func(to int) bool { return to <= s })
		kept += before - len(open)
		capacity -= permanent[s]
		for _, sp := range spans {
			if sp.from == s {
				open = append(open, sp.to)
			}
		}
		slices.Sort(open)
		open = open[:min(len(open), max(0, capacity))]
	}
	return len(claims) - kept
}
