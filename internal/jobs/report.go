package jobs

import (
	"math"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// arrival tracks how much work a pool's clients hand in, whether it is admitted or not.
type arrival struct {
	fast float64 // cores, over a short window
	slow float64 // cores, over a longer one
	at   time.Time
	// refused jobs come again under the same id; they count once.
	seen map[work.JobID]time.Time
}

const (
	// Demand turns within some seconds: the short window shows a rise early, the
	// longer one keeps a pool from shrinking between two bursts.
	fastWindow = 500 * time.Millisecond
	slowWindow = 1500 * time.Millisecond
	// riseLead is how far ahead a rise is extrapolated: the time from the order for a VM until it is registered, and a round.
	riseLead = 1800 * time.Millisecond
	// seenFor is longer than clients go on trying.
	seenFor = 15 * time.Second
	maxSeen = 4096
)

func (a *arrival) decay(now time.Time) {
	if !a.at.IsZero() {
		a.fast *= math.Exp(-float64(now.Sub(a.at)) / float64(fastWindow))
		a.slow *= math.Exp(-float64(now.Sub(a.at)) / float64(slowWindow))
	}
	a.at = now
}

func (a *arrival) add(now time.Time, id work.JobID, d admit.Demand) {
	if d.Service || d.Scheduled {
		return
	}
	if a.seen == nil {
		a.seen = map[work.JobID]time.Time{}
	}
	if _, again := a.seen[id]; again {
		return
	}
	if len(a.seen) >= maxSeen {
		clear(a.seen)
	}
	a.seen[id] = now
	a.decay(now)
	a.fast += float64(d.CPUTime) / float64(fastWindow)
	a.slow += float64(d.CPUTime) / float64(slowWindow)
}

// restore counts a job of the given age that came before the present owner. Jobs may be given in any order.
func (a *arrival) restore(age time.Duration, now time.Time, id work.JobID, d admit.Demand) {
	age = max(age, 0) // the wall clocks of two owners differ
	if age > seenFor || d.Service || d.Scheduled {
		return
	}
	if a.seen == nil {
		a.seen = map[work.JobID]time.Time{}
	}
	a.seen[id] = now.Add(-age)
	a.decay(now)
	a.fast += math.Exp(-float64(age)/float64(fastWindow)) * float64(d.CPUTime) / float64(fastWindow)
	a.slow += math.Exp(-float64(age)/float64(slowWindow)) * float64(d.CPUTime) / float64(slowWindow)
}

// forecast extrapolates a rise over riseLead; 0 if there is none.
func (a *arrival) forecast() float64 {
	if a.fast <= a.slow {
		return 0
	}
	return a.fast + (a.fast-a.slow)*float64(riseLead)/float64(slowWindow-fastWindow)
}

func (a *arrival) forget(now time.Time) {
	for id, at := range a.seen {
		if now.Sub(at) > seenFor {
			delete(a.seen, id)
		}
	}
}

// Directives are what whoever steers the VMs tells a pool.
type Directives struct {
	// Cordons replace those that were set before.
	Cordons map[work.TargetID]CordonReason `cbor:"1,keyasint,omitempty"`
	// Reserve is the room that is on its way to the pool, or can be lent to it.
	Reserve work.Millicores `cbor:"2,keyasint,omitempty"`
}

// Report follows the directions and sums up the pool for whoever sizes the pools and carries out upkeep.
func (p *Pool) Report(now time.Time, d Directives) sizer.Pool {
	p.reserve = d.Reserve
	p.arrival.decay(now)
	p.arrival.forget(now)
	out := sizer.Pool{
		ID: p.ID, ArrivalRate: work.Millicores(1000 * max(p.arrival.fast, p.arrival.slow)), ForecastRate: work.Millicores(1000 * p.arrival.forecast()),
	}
	for _, t := range p.sorted() {
		p.Cordon(t.ID, d.Cordons[t.ID])
		if !t.registered {
			continue
		}
		if len(t.runs) > 0 {
			t.idleSince = time.Time{}
		} else if t.idleSince.IsZero() {
			t.idleSince = now
		}
		s := sizer.Target{
			ID: t.ID, Machine: t.Machine, Zone: t.Zone, Capacity: t.Capacity, Runs: len(t.runs), Draining: t.Draining,
			Reachable: !t.unheard && t.life != 0, Cordoned: t.cordon != NoCordon,
		}
		if !t.idleSince.IsZero() {
			s.IdleFor = now.Sub(t.idleSince)
		}
		for _, r := range t.runs {
			if r.spec == nil {
				continue
			}
			if r.spec.Service {
				s.ServiceTasks++
				out.Service = out.Service.Plus(held(r.spec))
			} else {
				out.Running = out.Running.Plus(held(r.spec))
			}
		}
		out.Targets = append(out.Targets, s)
	}
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for i := range o.steps {
				st, spec := &o.steps[i], &j.spec.Steps[i]
				if st.blockers > 0 || st.left == 0 {
					continue
				}
				out.Runnable = out.Runnable.Plus(held(spec).Times(st.waiting))
				if spec.MaxPerTarget > 0 {
					out.MinTargets = max(out.MinTargets, (st.left+spec.MaxPerTarget-1)/spec.MaxPerTarget)
				}
			}
		}
	}
	return out
}

// vacate moves lasting tasks off a cordoned target, as far as their steps' budgets allow.
func (p *Pool) vacate(now time.Time, t *target) {
	for _, r := range t.list() {
		if r.spec == nil || !r.spec.Service || r.state != runRunning || r.step == nil {
			continue
		}
		if r.spec.MaxUnavailable > 0 && p.away(r) >= r.spec.MaxUnavailable {
			continue
		}
		p.stop(now, r, "the target is cordoned: "+string(t.cordon))
	}
}

// away counts the tasks of a run's step, besides its own, that are not at work.
func (p *Pool) away(r *run) int {
	n := 0
	for i := range r.step.tasks {
		other := r.step.tasks[i].run
		if other == r {
			continue
		}
		if other == nil || other.state != runRunning || other.percent < 100 || other.target.unheard {
			n++
		}
	}
	return n
}
