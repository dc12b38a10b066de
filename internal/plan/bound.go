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

// held is the number of reserve VMs that the needs take at a time.
func (l *Demand) held(at time.Time) int {
	k := 0
	for i := range l.Needs {
		k += b2i(l.Needs[i].active(at))
	}
	return k
}

// ReserveLowerBound is a number of reserve VMs that every plan needs. It is the
// larger of the most needs at one moment and, for each wave, the fewest needs at
// any moment of it plus the VMs that its reboots take: one VM lets at most
// window/cycle reboots happen one after another. It may be too low when needs
// come and go within a wave.
func (l *Demand) ReserveLowerBound() int {
	most := 0
	for i := range l.Needs {
		most = max(most, l.held(l.Needs[i].From))
	}
	type window struct{ opens, closes time.Time }
	reboots := map[window]int{}
	cycle := map[window]time.Duration{}
	for _, v := range l.Reboots {
		w := window{v.Opens, v.Closes}
		reboots[w] += v.VMs
		cycle[w] = v.Cycle
	}
	for w, n := range reboots {
		perVM := max(1, int(w.closes.Sub(w.opens)/cycle[w]))
		most = max(most, l.fewest(w.opens, w.closes)+ceilDiv(n, perVM))
	}
	return most
}

// fewest is the smallest number of needs at any moment of a window.
func (l *Demand) fewest(from, to time.Time) int {
	least := l.held(from)
	for i := range l.Needs {
		if n := &l.Needs[i]; !n.Permanent && n.To.After(from) && n.To.Before(to) {
			least = min(least, l.held(n.To))
		}
	}
	return least
}

// request says that a pool must hold a reserve VM at some moment of a step.
type request struct {
	step  int
	pool  ident.PoolID
	final bool // the VM stays for good and serves no later request
}

// requests puts needs and visits into steps: one for each wave, which takes in
// the needs that begin within it, and one for each other moment. Requests
// of a pool in one step count once, since one VM may meet them in turn, except that returned VMs each count.
// A need that the reserve cannot meet together with the others of its moment is
// left out, since no plan has to meet it.
func (l *Demand) requests(reserve int) []request {
	var events []event
	for _, v := range l.Reboots {
		if l.held(v.Opens) < reserve {
			events = append(events, event{v.Opens, request{pool: v.Pool}})
		}
	}
	for i := range l.Needs {
		n := &l.Needs[i]
		at := n.From
		for _, v := range l.Reboots {
			if !v.Opens.After(at) && v.Closes.After(at) {
				at = v.Opens
			}
		}
		if n.Permanent || l.held(n.From) <= reserve {
			events = append(events, event{at, request{pool: n.Pool, final: n.Permanent}})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	return inSteps(events)
}

type event struct {
	at time.Time
	request
}

func inSteps(events []event) []request {
	var out []request
	step, last := -1, time.Time{}
	for _, e := range events {
		if step < 0 || !e.at.Equal(last) {
			step, last = step+1, e.at
		}
		e.step = step
		i := slices.IndexFunc(out, func(r request) bool { return r.step == step && r.pool == e.pool })
		switch {
		case i < 0 || out[i].final && e.final:
			out = append(out, e.request)
		case e.final:
			out[i].final = true
		}
	}
	return out
}

// MovesLowerBound is a number of moves that every plan with this reserve makes.
// At a request a pool either holds a reserve VM since its request before, or one
// moves in. At any moment at most as many pools hold a reserve VM as there are,
// less those that replace returned VMs. So the moves are at least the requests
// less the most spans between two requests of a pool that the reserve can cover
// at once; dropping the span that ends last wherever too many overlap finds that
// maximum. The bound is exact when every request is for one VM of its pool, and
// may be too low when a pool needs several at once.
func (l *Demand) MovesLowerBound(reserve int) int {
	reqs := l.requests(reserve)
	type span struct{ from, to int } // steps
	var spans []span
	last := map[ident.PoolID]int{}
	final := map[int]int{} // reserve VMs that stay for good from a step on
	for _, r := range reqs {
		if from, ok := last[r.pool]; ok && from < r.step {
			spans = append(spans, span{from, r.step})
		}
		last[r.pool] = r.step
		if r.final {
			delete(last, r.pool)
			final[r.step]++
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	kept, capacity := 0, reserve
	var open []int // ends of the spans that cover the present gap between steps
	steps := 0
	if len(reqs) > 0 {
		steps = reqs[len(reqs)-1].step
	}
	for s := 0; s <= steps; s++ {
		before := len(open)
		open = slices.DeleteFunc(open, func(to int) bool { return to <= s })
		kept += before - len(open)
		capacity -= final[s]
		for _, sp := range spans {
			if sp.from == s {
				open = append(open, sp.to)
			}
		}
		slices.Sort(open)
		open = open[:min(len(open), max(0, capacity))]
	}
	return len(reqs) - kept
}
