package rank

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulate runs jobs on a number of cores, in the order that choose returns in
// each time step, and returns how many of them were completed in time. For the
// first seconds, jobs arrive at load times the capacity of the cores.
func simulate(t *testing.T, load float64, choose func([]Job, float64) []Position) (onTime, all int) {
	t.Helper()
	const (
		cores = 100.0
		step  = 20 * time.Millisecond
		burst = 5 * time.Second
		chain = 800 * time.Millisecond // no job is done sooner
	)
	rng := rand.New(rand.NewPCG(1, 2))
	type activeJob struct {
		Job
		arrived  time.Duration
		actual   time.Duration // the CPU time that it really needs
		maxCores float64       // cores that its tasks can use at most
	}
	var active []*activeJob
	for now := time.Duration(0); now < 30*time.Second; now += step {
		if now < burst {
			for range 2 { // two jobs in each time step
				work := time.Duration(load * cores * float64(step) / 2 * rng.ExpFloat64())
				active = append(active, &activeJob{arrived: now, actual: work, maxCores: float64(work) / float64(chain), Job: Job{Objective: 3 * time.Second, Remaining: chain, CPUTime: time.Duration(float64(work) * (0.6 + 0.8*rng.Float64()))}})
				all++
			}
		}
		view := make([]Job, len(active))
		for i, j := range active {
			j.Waited = now - j.arrived
			view[i] = j.Job
		}
		budget := time.Duration(cores * float64(step))
		for _, p := range choose(view, cores) {
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
			if j.actual > 0 {
				kept = append(kept, j)
			} else if now-j.arrived <= j.Objective {
				onTime++
			}
		}
		active = kept
	}
	return onTime, all
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
	got, all := simulate(t, 2, Sort)
	base, _ := simulate(t, 2, fifo)
	if got <= base+all/10 {
		t.Errorf("%d of %d jobs in time, %d with first come, first served; want a tenth of all jobs more", got, all, base)
	}
	if got, all := simulate(t, 0.8, Sort); got < all*95/100 {
		t.Errorf("%d of %d jobs in time below capacity, want 95%%", got, all)
	}
}

// In a burst in which the cores can do nine tenths of the work in time, nine tenths of the jobs are completed in time,
// although each job's estimate is inaccurate and more jobs keep arriving.
func TestBurstUsesCapacity(t *testing.T) {
	const load = 1.6 // in five seconds of this load, and two more until the last objective, the cores can do 0.9 of the work
	if got, all := simulate(t, load, Sort); got < all*90/100 {
		t.Errorf("%d of %d jobs in time, want 90%%", got, all)
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
