package bench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	peakTime           = 3 * time.Second // peak of one pool
	slotWarmUp         = 3500 * time.Millisecond
	meanLoad           = 0.3 // mean demand as a share of a pool's slots; five times it exceeds the pool
	peakFactor         = 5.0
	lowFactor          = 0.05
	meanRunTime        = 40 * time.Millisecond
	slotRequestTimeout = time.Second // of each request
	arrivalStep        = 5 * time.Millisecond
	faultTime          = 1500 * time.Millisecond
)

// SlotsResult is what the slots measurement prints.
type SlotsResult struct {
	Seed           uint64  `json:"seed"`
	MaxInFlight    int     `json:"max_in_flight_per_target"`
	GoodputRatio   float64 `json:"goodput_ratio"` // slot time of work done / slot time that the demand could use; see slotPool
	DuplicateRuns  int     `json:"duplicate_runs"`
	RefusedButRun  int     `json:"refused_but_run"`
	WrongResponses int     `json:"wrong_answers"`
	CutResponses   int     `json:"cut_answers"`
	CutByKill      int     `json:"cut_by_kill"`
	Requests       int     `json:"requests"`
	Completed      int     `json:"completed"`
	Refused        int     `json:"refused"`
	FailedByTarget int     `json:"failed_by_target"`
	NoResponse     int     `json:"unanswered"` // by silent targets

	BaselineMaxInFlight    int     `json:"baseline_max_in_flight_per_target"`
	BaselineGoodputRatio   float64 `json:"baseline_goodput_ratio"`
	BaselineDuplicateRuns  int     `json:"baseline_duplicate_runs"`
	BaselineRefusedButRun  int     `json:"baseline_refused_but_run"`
	BaselineWrongResponses int     `json:"baseline_wrong_answers"`
	BaselineCutResponses   int     `json:"baseline_cut_answers"`
	BaselineCutByKill      int     `json:"baseline_cut_by_kill"`
	BaselineCompleted      int     `json:"baseline_completed"`
	BaselineNoResponse     int     `json:"baseline_unanswered"`
}

// Bounds compares the result with the goals.
func (r *SlotsResult) Bounds() []Bound {
	zero := func(key string, got int) Bound {
		return Bound{Key: key, Met: got == 0, Want: "= 0", Got: fmt.Sprint(got)}
	}
	return []Bound{
		{Key: "max_in_flight_per_target", Met: r.MaxInFlight <= slotsPerTarget, Want: "<= 8", Got: fmt.Sprint(r.MaxInFlight)},
		{Key: "goodput_ratio", Met: r.GoodputRatio >= 0.95, Want: ">= 0.95", Got: fmt.Sprintf("%.3f", r.GoodputRatio)},
		zero("duplicate_runs", r.DuplicateRuns), zero("refused_but_run", r.RefusedButRun),
		zero("wrong_answers", r.WrongResponses), zero("cut_answers", r.CutResponses),
	}
}

// Slots measures the permits and then the baseline with the same demand and faults.
func Slots(ctx context.Context, seed uint64) (*SlotsResult, error) {
	r := &SlotsResult{Seed: seed}
	with, err := runSlots(ctx, seed, true)
	if err != nil {
		return nil, err
	}
	base, err := runSlots(ctx, seed, false)
	if err != nil {
		return nil, err
	}
	r.MaxInFlight, r.GoodputRatio, r.DuplicateRuns, r.RefusedButRun = with.maxInFlight(), with.goodputRatio(), with.duplicateRuns(), with.refusedButRun()
	r.WrongResponses, r.CutResponses, r.CutByKill = with.load(&with.wrongResponses), with.load(&with.cutResponses), with.load(&with.cutByKill)
	r.Requests, r.Completed, r.Refused = with.load(&with.requests), with.load(&with.completed), with.load(&with.refused)
	r.FailedByTarget, r.NoResponse = with.load(&with.failedByTarget), with.load(&with.noResponse)
	r.BaselineMaxInFlight, r.BaselineGoodputRatio = base.maxInFlight(), base.goodputRatio()
	r.BaselineDuplicateRuns, r.BaselineRefusedButRun = base.duplicateRuns(), base.refusedButRun()
	r.BaselineWrongResponses, r.BaselineCutResponses, r.BaselineCutByKill = base.load(&base.wrongResponses), base.load(&base.cutResponses), base.load(&base.cutByKill)
	r.BaselineCompleted, r.BaselineNoResponse = base.load(&base.completed), base.load(&base.noResponse)
	return r, nil
}

// slotRun is one run of the demand and the faults.
type slotRun struct {
	*slotFleet
	rng        *rand.Rand
	inProgress sync.WaitGroup
	nextID     int
	refusedIDs sync.Map // ids of requests that were refused as not run

	requests, completed, refused, failedByTarget, noResponse, wrongResponses, cutResponses, cutByKill atomic.Int64
}

func (r *slotRun) load(n *atomic.Int64) int { return int(n.Load()) }

func runSlots(ctx context.Context, seed uint64, permits bool) (*slotRun, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newSlotFleet()
	if err != nil {
		return nil, err
	}
	r := &slotRun{slotFleet: f, rng: rand.New(rand.NewPCG(seed, 1))}
	if permits {
		f.startBrokers(ctx)
	} else {
		f.startBaseline(seed)
	}
	r.generateDemand(ctx, -1, slotWarmUp)
	for _, p := range r.pools {
		p.setMeasuring(true)
	}
	for turn := range r.pools {
		r.scheduleFaults(turn)
		if turn == len(r.pools)/2 {
			victim := r.entries[r.rng.IntN(len(r.entries))]
			time.AfterFunc(peakTime/2, victim.kill)
		}
		r.generateDemand(ctx, turn, peakTime)
	}
	for _, p := range r.pools {
		p.setMeasuring(false)
	}
	r.inProgress.Wait()
	return r, ctx.Err()
}

// planFaults lets three targets of the pool with the peak fail in their three ways within the turn.
func (r *slotRun) scheduleFaults(turn int) {
	order := r.rng.Perm(slotTargets)
	for i, mode := range []slotMode{modeSlow, modeFail, modeUnresponsive} {
		t := r.pools[turn].targets[order[i]]
		begin := time.Duration(r.rng.Int64N(int64(peakTime - faultTime)))
		time.AfterFunc(begin, func() { t.setMode(mode) })
		time.AfterFunc(begin+faultTime, func() { t.setMode(modeHealthy) })
	}
}

// demand lets callers arrive for d; the pool with the number peak is in its turn.
func (r *slotRun) generateDemand(ctx context.Context, peak int, d time.Duration) {
	begin := time.Now()
	done := make([]float64, len(r.pools)) // arrivals so far, in a steady stream with random spacing
	for step := 0; time.Since(begin) < d && ctx.Err() == nil; step++ {
		for i, p := range r.pools {
			factor := lowFactor
			if i == peak {
				factor = peakFactor
			}
			rate := factor * meanLoad * slotTargets * slotsPerTarget / meanRunTime.Seconds()
			for n := r.poisson(rate*time.Since(begin).Seconds() - done[i]); n > 0; n-- {
				r.startRequest(ctx, p)
			}
			done[i] = rate * time.Since(begin).Seconds()
		}
		time.Sleep(time.Until(begin.Add(time.Duration(step+1) * arrivalStep)))
	}
}

func (r *slotRun) poisson(mean float64) int {
	n := 0
	for p := r.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= r.rng.Float64()
	}
	return n
}

// arrive starts one request at an entry that the load balancer chooses among those alive.
func (r *slotRun) startRequest(ctx context.Context, p *slotPool) {
	e := r.entries[r.rng.IntN(len(r.entries))]
	for e.dead.Load() {
		e = r.entries[r.rng.IntN(len(r.entries))]
	}
	r.nextID++
	id := ident.RequestID(fmt.Sprintf("work-%d", r.nextID))
	length := meanRunTime/2 + time.Duration(r.rng.Int64N(int64(meanRunTime)))
	r.requests.Add(1)
	r.inProgress.Go(func() {
		p.addCounts(1, 0)
		defer p.addCounts(-1, 0)
		r.call(ctx, e, p, id, length)
	})
}

// call is one request of a caller through an entry.
func (r *slotRun) call(ctx context.Context, e *slotEntry, p *slotPool, id ident.RequestID, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	deadline, _ := ctx.Deadline()
	ask := broker.AcquireRequest{Pool: p.id, Request: id, Job: "work", Deadline: deadline}
	done := make(chan struct{})
	go func() {
		defer cancel()
		defer close(done)
		r.serve(ctx, e, p, ask, length)
	}()
	select {
	case <-done:
	case <-e.killed:
		r.cutByKill.Add(1) // the target goes on with what it has begun
	}
}

// serve is what the entry does; after the entry's death nothing of it has an effect but the targets' runs.
func (r *slotRun) serve(ctx context.Context, e *slotEntry, p *slotPool, ask broker.AcquireRequest, length time.Duration) {
	permit, err := e.permits.Acquire(ctx, ask)
	if e.dead.Load() {
		return
	}
	if err != nil {
		r.refusedIDs.Store(ask.Request, true)
		r.refused.Add(1)
		return
	}
	began := time.Now()
	answer, work, err := r.targets[permit.Target].run(ctx, ask.Request, length)
	if e.dead.Load() {
		return
	}
	result := broker.OK
	switch {
	case errors.Is(err, errWorkerFailed):
		result = broker.Failed
		r.failedByTarget.Add(1)
	case err != nil:
		result = broker.Unresponsive
		r.noResponse.Add(1)
	case answer != ask.Request:
		r.wrongResponses.Add(1)
	case ctx.Err() != nil:
		r.noResponse.Add(1) // complete, but after the caller's deadline
	default:
		r.completed.Add(1)
		p.addCompleted(work)
	}
	e.permits.Release(permit, broker.Report{Result: result, Job: ask.Job, Duration: time.Since(began)})
}

func (r *slotRun) goodputRatio() float64 {
	var work, usable time.Duration
	for _, p := range r.pools {
		work += p.completedSlotTime
		usable += p.usableSlotTime
	}
	return float64(work) / float64(usable)
}

func (r *slotRun) maxInFlight() int {
	n := 0
	for _, t := range r.targets {
		n = max(n, t.maxRunning)
	}
	return n
}

// runsByID counts the runs of each request on all targets.
func (r *slotRun) runsByID() map[ident.RequestID]int {
	out := map[ident.RequestID]int{}
	for _, t := range r.targets {
		for id, n := range t.runs {
			out[id] += n
		}
	}
	return out
}

func (r *slotRun) duplicateRuns() int {
	dup := 0
	for _, n := range r.runsByID() {
		dup += n - 1
	}
	return dup
}

func (r *slotRun) refusedButRun() int {
	n := 0
	for id := range r.runsByID() {
		if _, refused := r.refusedIDs.Load(id); refused {
			n++
		}
	}
	return n
}
