package rank

import (
	"math/rand/v2"
	"testing"
	"time"
)

// outcomes counts the jobs of a simulation by when they were completed.
type outcomes struct{ onTime, late, lost int }

func (o outcomes) all() int { return o.onTime + o.late + o.lost }

const cores = 100.0

// steady is a pool of the same size all the time.
func steady(time.Duration) float64 { return cores }

// growing is a pool that gets most of its cores two seconds after the burst has begun.
func growing(now time.Duration) float64 {
	if now < 2*time.Second {
		return 0.3 * cores
	}
	return cores
}

// burst is a load of some seconds on a pool.
type burst struct {
	load      float64                         // ratio of the work that arrives to the capacity of the full pool
	capacity  func(now time.Duration) float64 // cores
	objective time.Duration
}

// simulate runs jobs in the order that choose returns in each time step.
func simulate(t *testing.T, b burst, choose func([]Job, float64) []Position) outcomes {
	t.Helper()
	const (
		step   = 20 * time.Millisecond
		length = 5 * time.Second
		chain  = 800 * time.Millisecond // no job is done sooner
	)
	rng := rand.New(rand.NewPCG(1, 2))
	type activeJob struct {
		Job
		arrived  time.Duration
		actual   time.Duration // the CPU time that it really needs
		maxCores float64       // cores that its tasks can use at most
	}
	var active []*activeJob
	var result outcomes
	for now := time.Duration(0); now < 30*time.Second; now += step {
		if now < length {
			for range 2 { // two jobs in each time step
				work := time.Duration(b.load * cores * float64(step) / 2 * rng.ExpFloat64())
				active = append(active, &activeJob{arrived: now, actual: work, maxCores: float64(work) / float64(chain), Job: Job{Objective: b.objective, Remaining: chain, CPUTime: time.Duration(float64(work) * (0.6 + 0.8*rng.Float64()))}})
			}
		}
		view := make([]Job, len(active))
		for i, j := range active {
			j.Waited = now - j.arrived
			view[i] = j.Job
		}
		budget := time.Duration(b.capacity(now) * float64(step))
		for _, p := range choose(view, b.capacity(now)) {
			j := active[p.Index]
			if budget <= 0 {
				break
			}
			use := min(budget, j.actual, max(time.Duration(j.maxCores*float64(step)), time.Millisecond))
			budget -= use
			j.actual -= use
			j.CPUTime = max(j.CPUTime-use, 0)
			j.Remaining = time.Duration(float64(j.actual) / j.maxCores)
			j.Started = true
		}
		kept := active[:0]
		for _, j := range active {
			switch {
			case j.actual > 0:
				kept = append(kept, j)
			case now-j.arrived <= j.Objective:
				result.onTime++
			case now-j.arrived <= lateFactor*j.Objective:
				result.late++
			default:
				result.lost++
			}
		}
		active = kept
	}
	result.lost += len(active)
	return result
}

func fifo(jobs []Job, _ float64) []Position {
	out := make([]Position, len(jobs))
	for i := range out {
		out[i].Index = i
	}
	return out
}

// In a burst of twice the pool's capacity, more jobs are completed in time than
// in first-come, first-served order; below capacity, nearly all are.
func TestBurstCompletesMoreJobsThanFIFO(t *testing.T) {
	b := burst{load: 2, capacity: steady, objective: 3 * time.Second}
	got, base := simulate(t, b, Sort), simulate(t, b, fifo)
	if got.onTime <= base.onTime+got.all()/10 {
		t.Errorf("%d of %d jobs in time, %d with first come, first served; want a tenth of all jobs more", got.onTime, got.all(), base.onTime)
	}
	b.load = 0.8
	if got := simulate(t, b, Sort); got.onTime < got.all()*95/100 {
		t.Errorf("%d of %d jobs in time below capacity, want 95%%", got.onTime, got.all())
	}
}

// In a burst in which the cores can do nine tenths of the work in time, nine tenths of the jobs are completed in time,
// although each job's estimate is inaccurate and more jobs keep arriving.
func TestBurstUsesCapacity(t *testing.T) {
	const load = 1.6 // in five seconds of this load, and two more until the last objective, the cores can do 0.9 of the work
	if got := simulate(t, burst{load: load, capacity: steady, objective: 3 * time.Second}, Sort); got.onTime < got.all()*90/100 {
		t.Errorf("%d of %d jobs in time, want 90%%", got.onTime, got.all())
	}
}

// Guards against accepted jobs that wait behind new ones until they are of no use, although the cores can do all work while
// it is of use.
func TestLateJobsAreCompletedWhileOfUse(t *testing.T) {
	for name, b := range map[string]burst{
		"steady pool":                 {load: 2, capacity: steady, objective: 2 * time.Second},
		"growing pool":                {load: 1, capacity: growing, objective: 2 * time.Second},
		"growing pool, half overload": {load: 1.5, capacity: growing, objective: 2 * time.Second},
	} {
		if got := simulate(t, b, Sort); got.lost > got.all()/50 {
			t.Errorf("%s: %d of %d jobs end when they are of no use, want at most 2%%", name, got.lost, got.all())
		}
	}
}

// Guards against rescued jobs that make many others late: in a burst of four times the capacity, as many jobs are completed
// in time as if late jobs were never preferred.
func TestRescueDelaysFewJobs(t *testing.T) {
	withoutRescue := func(jobs []Job, cores float64) []Position {
		own := make([]Class, len(jobs))
		for i := range jobs {
			own[i] = jobs[i].class()
		}
		p := newPlan(jobs, own, cores)
		p.fitOnTime()
		p.fitLate()
		return p.order()
	}
	b := burst{load: 4, capacity: steady, objective: 2 * time.Second}
	got, base := simulate(t, b, Sort), simulate(t, b, withoutRescue)
	if got.onTime < base.onTime*95/100 {
		t.Errorf("%d of %d jobs in time, want 95%% of %d", got.onTime, got.all(), base.onTime)
	}
}

// Guards against started jobs being postponed in favor of new ones.
func TestStartedJobsAreNotPostponed(t *testing.T) {
	jobs := []Job{
		{Objective: time.Second, Remaining: 500 * time.Millisecond, CPUTime: 10 * time.Second, Started: true},
		{Objective: time.Second, Remaining: 500 * time.Millisecond, CPUTime: 5 * time.Second},
	}
	got := Sort(jobs, 10)
	if got[0].Index != 0 || got[1].Class != ClassLate {
		t.Errorf("order %+v, want the started job first and the other one late", got)
	}
}
