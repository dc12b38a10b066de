package rank

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play works jobs off on some cores, step by step in the given order, and
// returns how many were completed in time. Jobs arrive at a multiple of what
// the cores can do for the first seconds.
func play(t *testing.T, load float64, choose func([]Job, float64) []Position) (onTime, all int) {
	t.Helper()
	const (
		cores = 100.0
		step  = 20 * time.Millisecond
		burst = 5 * time.Second
		chain = 800 * time.Millisecond // no job is done sooner
	)
	rng := rand.New(rand.NewPCG(1, 2))
	type live struct {
		Job
		at   time.Duration
		true time.Duration // the work that it really takes
		rate float64       // cores that its tasks can use at most
	}
	var active []*live
	for now := time.Duration(0); now < 30*time.Second; now += step {
		if now < burst {
			for range 2 { // two jobs a step
				work := time.Duration(load * cores * float64(step) / 2 * rng.ExpFloat64())
				active = append(active, &live{at: now, true: work, rate: float64(work) / float64(chain), Job: Job{Objective: 3 * time.Second, Remaining: chain, Work: time.Duration(float64(work) * (0.6 + 0.8*rng.Float64()))}})
				all++
			}
		}
		view := make([]Job, len(active))
		for i, j := range active {
			j.Waited = now - j.at
			view[i] = j.Job
		}
		budget := time.Duration(cores * float64(step))
		for _, p := range choose(view, cores) {
			j := active[p.Index]
			if budget <= 0 {
				break
			}
			use := min(budget, j.true, max(time.Duration(j.rate*float64(step)), time.Millisecond))
			budget -= use
			j.true -= use
			j.Work = max(j.Work-use, 0)
			j.Remaining = time.Duration(float64(j.true) / j.rate)
			j.Begun = true
		}
		kept := active[:0]
		for _, j := range active {
			if j.true > 0 {
				kept = append(kept, j)
			} else if now-j.at <= j.Objective {
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

// Answers a burst of twice what the pool can do: more clients get their jobs
// in time than first come first served gives them, and none fewer without a burst.
func TestBurstKeepsJobsInTime(t *testing.T) {
	got, all := play(t, 2, Sort)
	base, _ := play(t, 2, fifo)
	if got <= base+all/10 {
		t.Errorf("%d of %d jobs in time, first come first served has %d; want a tenth of all more", got, all, base)
	}
	if got, all := play(t, 0.8, Sort); got < all*95/100 {
		t.Errorf("%d of %d jobs in time below capacity, want 95 of 100", got, all)
	}
}

// Answers a burst in which the cores could do nine tenths of the work in time: as many of the jobs are, although each
// job's estimate is off and more keep coming.
func TestBurstIsServedToCapacity(t *testing.T) {
	const load = 1.6 // five seconds of this, and two more until the last objective, are 0.9 of it
	if got, all := play(t, load, Sort); got < all*90/100 {
		t.Errorf("%d of %d jobs in time, want 90 of 100", got, all)
	}
}

// Guards against work that was begun being left for new jobs.
func TestBegunJobsAreNotPostponed(t *testing.T) {
	jobs := []Job{
		{Objective: time.Second, Remaining: 500 * time.Millisecond, Work: 10 * time.Second, Begun: true},
		{Objective: time.Second, Remaining: 500 * time.Millisecond, Work: 5 * time.Second},
	}
	got := Sort(jobs, 10)
	if got[0].Index != 0 || got[1].Class != ClassLate {
		t.Errorf("order %+v, want the begun job first and the other one late", got)
	}
}
