package jobs

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// arrivalRate tracks the work that a pool's clients submit, admitted or not, in cores.
type arrivalRate struct {
	fast float64   // over fastWindow
	slow float64   // over slowWindow
	at   time.Time // of the last decay
	// seen holds when each job was first submitted: a refused job is retried under the same id and counts once.
	seen map[work.JobID]time.Time
}

const (
	// Demand can change completely within seconds. The short window shows a rise
	// early, and the long one keeps a pool from shrinking between two bursts.
	fastWindow = 500 * time.Millisecond
	slowWindow = 1500 * time.Millisecond
	// riseLead is how far ahead a rise is extrapolated: the time from the request for a VM until its target is registered,
	// plus one round of the fleet controller.
	riseLead = 1800 * time.Millisecond
	// seenFor is longer than clients keep retrying.
	seenFor = 15 * time.Second
	// maxSeen bounds the memory for the jobs seen.
	maxSeen = 4096 // entries of seen; all are dropped when it is full
)

func (a *arrivalRate) decay(now time.Time) {
	if !a.at.IsZero() {
		a.fast *= math.Exp(-float64(now.Sub(a.at)) / float64(fastWindow))
		a.slow *= math.Exp(-float64(now.Sub(a.at)) / float64(slowWindow))
	}
	a.at = now
}

// add counts a submission, and returns when the job was first submitted.
func (a *arrivalRate) add(now time.Time, id work.JobID, d admit.Demand) (first time.Time) {
	if d.Service || d.Scheduled {
		return now
	}
	if a.seen == nil {
		a.seen = map[work.JobID]time.Time{}
	}
	if first, again := a.seen[id]; again {
		return first
	}
	if len(a.seen) >= maxSeen {
		clear(a.seen)
	}
	a.seen[id] = now
	a.decay(now)
	a.fast += float64(d.CPUTime) / float64(fastWindow)
	a.slow += float64(d.CPUTime) / float64(slowWindow)
	return now
}

// restore counts a job that a previous owner accepted; age is the time since then. Jobs may be restored in any order.
func (a *arrivalRate) restore(age time.Duration, now time.Time, id work.JobID, d admit.Demand) {
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

// forecast returns the rate that a rise will reach after riseLead; 0 if the rate doesn't rise.
func (a *arrivalRate) forecast() float64 {
	if a.fast <= a.slow {
		return 0
	}
	return a.fast + (a.fast-a.slow)*float64(riseLead)/float64(slowWindow-fastWindow)
}

func (a *arrivalRate) forget(now time.Time) {
	for id, at := range a.seen {
		if now.Sub(at) > seenFor {
			delete(a.seen, id)
		}
	}
}

// Directives are what the fleet controller tells a pool.
type Directives struct {
	// Cordons replaces all earlier cordons.
	Cordons map[work.TargetID]CordonReason `cbor:"1,keyasint,omitempty"`
	// Reserve is the capacity that is on its way to the pool or can be lent to it.
	Reserve work.Millicores `cbor:"2,keyasint,omitempty"`
	// Down holds the targets with runs whose VMs are not up according to the VM service. The value is the incarnation that
	// the pool has reported, if the VM was listed as not up again after that report: this incarnation has ended. It is 0
	// before.
	Down map[work.TargetID]int64 `cbor:"3,keyasint,omitempty"`
}

// Report applies the directives and returns the state of the pool for the fleet controller, which sizes the pools and
// carries out maintenance.
func (p *Pool) Report(now time.Time, d Directives) sizer.Pool {
	p.reserve, p.directed = d.Reserve, true
	p.handleDown(now, d.Down)
	p.arrivals.decay(now)
	p.arrivals.forget(now)
	out := sizer.Pool{
		ID: p.ID, ArrivalRate: work.Millicores(1000 * max(p.arrivals.fast, p.arrivals.slow)), ForecastRate: work.Millicores(1000 * p.arrivals.forecast()),
	}
	demands := p.newTenantDemands()
	for _, t := range p.sortedTargets() {
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
			ID: t.ID, VM: t.VM, Zone: t.Zone, Capacity: t.Capacity, Runs: len(t.runs), Draining: t.Draining,
			Reachable: !t.unreachable && t.reportedIncarnation != 0, Cordoned: t.cordon != NoCordon,
		}
		if _, down := d.Down[t.ID]; down {
			s.Incarnation = t.newestIncarnation()
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
				out.Service = out.Service.Plus(reservation(r.spec))
			} else {
				out.Running = out.Running.Plus(reservation(r.spec))
				demands.add(r.job, reservation(r.spec).CPU)
			}
		}
		out.Targets = append(out.Targets, s)
	}
	rooms := capRooms{}
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for i := range o.steps {
				st, spec := &o.steps[i], &j.spec.Steps[i]
				if st.pendingDeps > 0 || st.tasksLeft == 0 {
					continue
				}
				startable := p.startable(rooms, j, spec, st.waiting)
				out.Runnable = out.Runnable.Plus(reservation(spec).Times(startable))
				demands.add(j, reservation(spec).Times(startable).CPU)
				if spec.MaxPerTarget > 0 {
					left := st.tasksLeft - st.waiting + startable
					out.MinTargets = max(out.MinTargets, (left+spec.MaxPerTarget-1)/spec.MaxPerTarget)
				}
			}
		}
	}
	out.Tenants = demands.sorted(p)
	return out
}

// handleDown ends the runs of the incarnations that have ended with their VMs, so that their tasks start elsewhere at once
// and not when the leases have expired.
func (p *Pool) handleDown(now time.Time, down map[work.TargetID]int64) {
	ids := slices.Sorted(maps.Keys(down))
	for _, id := range ids { // VMs that go down in one list were lost together; noted before a task is blamed for one of them
		if t, incarnation := p.targets[id], down[id]; t != nil && incarnation != 0 {
			t.noteLoss(now, incarnation+1, t.crashSuspects(incarnation+1))
		}
	}
	for _, id := range ids {
		if incarnation := down[id]; incarnation != 0 {
			p.HandleRestart(now, id, incarnation+1)
		}
	}
}

// newestIncarnation returns the newest incarnation of the target that has reported or has runs; 0 if there is none.
func (t *target) newestIncarnation() int64 {
	newest := t.reportedIncarnation
	for _, r := range t.orderedRuns {
		newest = max(newest, r.incarnation)
	}
	return newest
}

// drainCordoned stops the service tasks of a cordoned target so that they start elsewhere, as far as their steps allow
// tasks to be unavailable.
func (p *Pool) drainCordoned(now time.Time, t *target) {
	for _, r := range t.runList() {
		if r.spec == nil || !r.spec.Service || r.state != runRunning || r.step == nil {
			continue
		}
		if r.spec.MaxUnavailable > 0 && p.unavailableTasks(r) >= r.spec.MaxUnavailable {
			continue
		}
		p.stop(now, r, "the target is cordoned: "+string(t.cordon))
	}
}

// unavailableTasks counts the other tasks of a run's step that are not fully running on a reachable target.
func (p *Pool) unavailableTasks(r *run) int {
	n := 0
	for i := range r.step.tasks {
		other := r.step.tasks[i].run
		if other == r {
			continue
		}
		if other == nil || other.state != runRunning || other.percent < 100 || other.target.unreachable {
			n++
		}
	}
	return n
}
