package jobs

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// The load of the play: 60 targets of 16 cores, a peak of more than they hold, a pause, and a second peak.
const (
	playTargets   = 60
	playCores     = 16
	playPeak      = 1.25 // load in a peak, of the capacity
	playLow       = 0.05 // load between two peaks
	playTurn      = 4500 * time.Millisecond
	playTurns     = 4
	playLargeWork = 0.4 // share of the large jobs in the work
	playRound     = 10 * time.Millisecond
)

var playQueues = []work.Queue{
	{ID: "small", Pool: "pool", MaxAttempts: 3, SlackFactor: 1.6, Objective: 600 * time.Millisecond},
	{ID: "large", Pool: "pool", MaxAttempts: 3, SlackFactor: 2.2, Objective: 2500 * time.Millisecond},
}

// playJob is a job of the play, with the true run times of its tasks.
type playJob struct {
	at     time.Duration
	large  bool
	spec   *work.Spec
	actual [][]time.Duration
	ready  []time.Duration // when each step became runnable
	left   []int
	done   time.Duration
	chain  time.Duration
}

// playEnd is the end of a task.
type playEnd struct {
	at     time.Duration
	task   work.TaskID
	start  StartCommand
	target work.TargetID
}

type playEnds []playEnd

func (h playEnds) Len() int           { return len(h) }
func (h playEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h playEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *playEnds) Push(x any)        { *h = append(*h, x.(playEnd)) }
func (h *playEnds) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// playLoad draws the jobs of a play. If memory is scarce, the tasks need more memory for a core than the targets have.
func playLoad(seed uint64, scarceMemory bool) []*playJob {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	newJob := func(at time.Duration, large bool) *playJob {
		j := &playJob{at: at, large: large, spec: &work.Spec{Payload: "p"}}
		cores, estimate, steps := 1.5, 640*time.Millisecond, 1
		if large {
			cores, estimate, steps = between(3.3, 10), 1700*time.Millisecond, 2
		} else if random.Float64() < 0.6 {
			steps = 2
		}
		gib := cores
		if scarceMemory {
			gib = min(cores*between(0.6, 1.6), 14)
		}
		for s := range steps {
			step := work.Step{Count: 8, Need: work.Resources{CPU: work.Millicores(1000 * cores), Memory: work.Mebibytes(1024 * gib)}, Estimate: estimate}
			if s > 0 {
				step.DependsOn = []int{s - 1}
			}
			j.spec.Steps = append(j.spec.Steps, step)
			times := make([]time.Duration, step.Count)
			for i := range times {
				times[i] = time.Duration(float64(estimate) * between(0.1, 1.9))
				if random.Float64() < 0.03 {
					times[i] = 7 * estimate
				}
			}
			j.actual, j.ready, j.left = append(j.actual, times), append(j.ready, 0), append(j.left, step.Count)
			j.chain += estimate
		}
		return j
	}
	demand := func(j *playJob) float64 { // seconds of the whole pool
		sum := 0.0
		for i := range j.spec.Steps {
			s := &j.spec.Steps[i]
			share := float64(s.Need.CPU) / (1000 * playCores * playTargets)
			if scarceMemory {
				share = float64(s.Need.Memory) / (1024 * playCores * playTargets)
			}
			sum += share * s.Estimate.Seconds() * float64(s.Count)
		}
		return sum
	}
	var out []*playJob
	for turn := range playTurns {
		load := playPeak
		if turn%2 == 1 {
			load = playLow
		}
		for _, large := range []bool{false, true} {
			budget := load * playTurn.Seconds() * (1 - playLargeWork)
			if large {
				budget = load * playTurn.Seconds() * playLargeWork
			}
			for budget > 0 {
				j := newJob(time.Duration(turn)*playTurn+time.Duration(random.Float64()*float64(playTurn)), large)
				budget -= demand(j)
				out = append(out, j)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *playJob) int { return int(a.at - b.at) })
	return out
}

// playResult holds the waits of the tasks, from when they could start until the start command, by size of their job.
type playResult struct {
	small, large             []time.Duration
	smallJobs, largeJobs     int
	smallInTime, largeInTime int
	idle                     float64 // mean share of the cores that are free while tasks wait
	events                   map[EventKind]int
	gained                   time.Duration
	wide                     []time.Duration // waits of the tasks of 7 cores or more
	idleRounds               int
}

func (r *playResult) add(o *playResult) {
	r.small, r.large = append(r.small, o.small...), append(r.large, o.large...)
	r.smallJobs, r.largeJobs = r.smallJobs+o.smallJobs, r.largeJobs+o.largeJobs
	r.smallInTime, r.largeInTime = r.smallInTime+o.smallInTime, r.largeInTime+o.largeInTime
	r.idle += o.idle
	if r.events == nil {
		r.events = map[EventKind]int{}
	}
	for k, n := range o.events {
		r.events[k] += n
	}
	r.gained += o.gained
	r.wide = append(r.wide, o.wide...)
	r.idleRounds += o.idleRounds
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[int(q*float64(len(sorted)-1))]
}

func mean(w []time.Duration) int64 {
	sum := time.Duration(0)
	for _, x := range w {
		sum += x
	}
	return (sum / time.Duration(max(1, len(w)))).Milliseconds()
}

func (r *playResult) String() string {
	ms := func(w []time.Duration, q float64) int64 { return quantile(w, q).Milliseconds() }
	return fmt.Sprintf("large p50 %d p90 %d mean %d ms (7 cores or more p90 %d mean %d), in time %d/%d; small p50 %d p90 %d mean %d ms, in time %d/%d; idle %.1f%%; made %d kept %d dropped %d unneeded %d gained %v",
		ms(r.large, 0.5), ms(r.large, 0.9), mean(r.large), ms(r.wide, 0.9), mean(r.wide), r.largeInTime, r.largeJobs,
		ms(r.small, 0.5), ms(r.small, 0.9), mean(r.small), r.smallInTime, r.smallJobs, 100*r.idle/float64(r.idleRounds),
		r.events[EventReserved], r.events[EventReservationKept], r.events[EventReservationDropped], r.events[EventReservationUnneeded], r.gained.Round(time.Millisecond))
}

// play runs a load on a pool. If policy is nil, no targets are reserved.
func play(t *testing.T, load []*playJob, policy *place.Policy) *playResult {
	t.Helper()
	start := time.Unix(1_700_000_000, 0)
	p := NewPool("pool")
	p.Bounds = Bounds{RemoteCost: 1, Retention: time.Minute, LookAhead: policy != nil}
	if policy != nil {
		p.ahead = newLookAhead(*policy)
	}
	p.SetQueues(playQueues)
	result := &playResult{events: map[EventKind]int{}}
	p.Events = func(e Event) {
		result.events[e.Kind]++
		if e.Kind == EventReservationKept {
			result.gained += e.Delay
		}
	}
	for i := range playTargets {
		id := work.TargetID(fmt.Sprintf("t%02d", i))
		p.Register(start, work.Registration{ID: id, Pool: "pool", Incarnation: 1, Capacity: work.Resources{CPU: 1000 * playCores, Memory: 1024 * playCores}, Rack: "r"})
		p.HandleRunReport(start, work.RunReport{Target: id, Incarnation: 1, RequestedAt: start})
	}
	byID := map[work.JobID]*playJob{}
	var ends playEnds
	seq := map[work.TargetID]int64{}
	next, done := 0, 0
	for at := time.Duration(0); done < len(load); at += playRound {
		if at > 2*time.Minute {
			t.Fatalf("%d of %d jobs are done after %v", done, len(load), at)
		}
		now := start.Add(at)
		for ; next < len(load) && load[next].at <= at; next++ {
			id := work.JobID(fmt.Sprintf("%016x", next))
			j := load[next]
			j.ready, j.left, j.done = make([]time.Duration, len(j.ready)), make([]int, len(j.left)), 0
			for s := range j.left {
				j.left[s] = j.spec.Steps[s].Count
			}
			j.ready[0] = at
			byID[id] = j
			q := playQueues[0]
			if j.large {
				q = playQueues[1]
			}
			if r := p.Submit(now, id, q, j.spec); r.Refused {
				t.Fatalf("job %s is refused", id)
			}
		}
		ended := map[work.TargetID][]work.RunEnd{}
		for len(ends) > 0 && ends[0].at <= at {
			e := heap.Pop(&ends).(playEnd)
			seq[e.target]++
			ended[e.target] = append(ended[e.target], work.RunEnd{Task: e.task, Attempt: e.start.Attempt, Kind: work.EndDone, Seq: seq[e.target]})
			j := byID[e.task.Job]
			if j.left[e.task.Step]--; j.left[e.task.Step] > 0 {
				continue
			}
			if e.task.Step+1 < len(j.left) {
				j.ready[e.task.Step+1] = at
				continue
			}
			done++
			result.count(j, at)
		}
		for i := range playTargets {
			id := work.TargetID(fmt.Sprintf("t%02d", i))
			if e := ended[id]; len(e) > 0 {
				p.HandleRunReport(now, work.RunReport{Target: id, Incarnation: 1, RequestedAt: now, Ended: e, MoreEnds: true})
			}
		}
		p.replan = true
		p.Plan(now)
		if p.anyRunnable() {
			free := work.Resources{}
			for _, x := range p.targets {
				free = free.Plus(x.Capacity.Minus(x.reserved))
			}
			result.idleRounds++
			result.idle += max(0, 1-max(float64(playCores*playTargets*1000-free.CPU)/(playCores*playTargets*1000), float64(playCores*playTargets*1024-free.Memory)/(playCores*playTargets*1024)))
		}
		if _, write := p.BeginWrite(); true {
			p.MarkDurable(now, write)
		}
		for _, cmd := range p.TakeCommands() {
			c, ok := cmd.(StartCommand)
			if !ok {
				continue
			}
			p.HandleStartResult(now, c.Target, c.Task, c.Attempt, StartOK)
			j := byID[c.Task.Job]
			wait := at - j.ready[c.Task.Step]
			if j.large {
				result.large = append(result.large, wait)
				if j.spec.Steps[0].Need.CPU >= 7000 {
					result.wide = append(result.wide, wait)
				}
			} else {
				result.small = append(result.small, wait)
			}
			heap.Push(&ends, playEnd{at + j.actual[c.Task.Step][c.Task.Index], c.Task, c, c.Target})
		}
	}
	return result
}

func (r *playResult) count(j *playJob, at time.Duration) {
	q := playQueues[0]
	if j.large {
		q = playQueues[1]
	}
	inTime := at-j.at <= time.Duration(q.SlackFactor*float64(j.chain))+q.Objective
	switch {
	case j.large:
		r.largeJobs++
		if inTime {
			r.largeInTime++
		}
	default:
		r.smallJobs++
		if inTime {
			r.smallInTime++
		}
	}
}

// Large tasks wait less with look-ahead than without, and small ones no longer than their callers can bear: a small job can
// wait for 0.6 times its chain of 1.02 s and 600 ms, 1.2 s in all, in 1.6 steps. A tenth of that is 75 ms for a step.
func TestLookAheadShortensTheWaitOfLargeTasks(t *testing.T) {
	const smallTolerance = 75 * time.Millisecond
	for name, scarceMemory := range map[string]bool{"cores": false, "memory": true} {
		var off, on playResult
		for seed := uint64(1); seed <= 4; seed++ {
			a, b := play(t, playLoad(seed, scarceMemory), nil), play(t, playLoad(seed, scarceMemory), &defaultPolicy)
			t.Logf("scarce %s, seed %d\n  off: %v\n  on:  %v", name, seed, a, b)
			off.add(a)
			on.add(b)
		}
		t.Logf("scarce %s, all seeds\n  off: %v\n  on:  %v", name, &off, &on)
		if got, limit := quantile(on.large, 0.9), quantile(off.large, 0.9); got >= limit {
			t.Errorf("scarce %s: 90th percentile of the wait of large tasks %v, want less than %v", name, got, limit)
		}
		if got, limit := quantile(on.large, 0.5), quantile(off.large, 0.5); got > limit {
			t.Errorf("scarce %s: median wait of large tasks %v, want %v at most", name, got, limit)
		}
		for _, q := range []float64{0.5, 0.9} {
			if got, limit := quantile(on.small, q), quantile(off.small, q)+smallTolerance; got > limit {
				t.Errorf("scarce %s: quantile %v of the wait of small tasks %v, want %v at most", name, q, got, limit)
			}
		}
		if on.events[EventReservationKept] == 0 {
			t.Errorf("scarce %s: no reservation is kept", name)
		}
	}
}
