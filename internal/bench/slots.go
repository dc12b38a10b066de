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
	peakTime           = 3 * time.Second // time for which the demand of one pool peaks
	slotWarmUp         = 3500 * time.Millisecond
	meanLoad           = 0.3  // mean demand as a share of a pool's slots; peakFactor times it exceeds the slots
	peakFactor         = 5.0  // demand of the pool at its peak / mean demand
	lowFactor          = 0.05 // demand of the other pools / mean demand
	meanRunTime        = 40 * time.Millisecond
	slotRequestTimeout = time.Second // time from the arrival of a request to its deadline
	arrivalStep        = 5 * time.Millisecond
	targetFaultTime    = 1500 * time.Millisecond
)

// SlotsResult is the result of [Slots]. The Baseline fields hold the counts of the entries without permits.
type SlotsResult struct {
	Seed           uint64  `json:"seed"`
	MaxInFlight    int     `json:"max_in_flight_per_target"`
	GoodputRatio   float64 `json:"goodput_ratio"` // slot time of completed runs / slot time that the demand could use; see slotPool
	DuplicateRuns  int     `json:"duplicate_runs"`
	RefusedButRun  int     `json:"refused_but_run"`
	WrongResponses int     `json:"wrong_answers"`
	CutByKill      int     `json:"cut_by_kill"` // the request's entry was killed
	Requests       int     `json:"requests"`
	Completed      int     `json:"completed"`
	Refused        int     `json:"refused"`
	FailedByTarget int     `json:"failed_by_target"`
	NoResponse     int     `json:"unanswered"` // the target did not respond before the deadline

	BaselineMaxInFlight    int     `json:"baseline_max_in_flight_per_target"`
	BaselineGoodputRatio   float64 `json:"baseline_goodput_ratio"`
	BaselineDuplicateRuns  int     `json:"baseline_duplicate_runs"`
	BaselineRefusedButRun  int     `json:"baseline_refused_but_run"`
	BaselineWrongResponses int     `json:"baseline_wrong_answers"`
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
		zero("wrong_answers", r.WrongResponses),
	}
}

// Slots measures entries that need a permit for each request and then entries without permits (the
// baseline), with the same demand and the same faults.
func Slots(ctx context.Context, seed uint64) (*SlotsResult, error) {
	r := &SlotsResult{Seed: seed}
	permits, err := runSlots(ctx, seed, true)
	if err != nil {
		return nil, err
	}
	baseline, err := runSlots(ctx, seed, false)
	if err != nil {
		return nil, err
	}
	r.MaxInFlight, r.GoodputRatio, r.DuplicateRuns, r.RefusedButRun = permits.maxInFlight(), permits.goodputRatio(), permits.duplicateRuns(), permits.refusedButRun()
	r.WrongResponses, r.CutByKill = permits.value(&permits.wrongResponses), permits.value(&permits.cutByKill)
	r.Requests, r.Completed, r.Refused = permits.value(&permits.requests), permits.value(&permits.completed), permits.value(&permits.refusedCount)
	r.FailedByTarget, r.NoResponse = permits.value(&permits.failedByTarget), permits.value(&permits.noResponse)
	r.BaselineMaxInFlight, r.BaselineGoodputRatio = baseline.maxInFlight(), baseline.goodputRatio()
	r.BaselineDuplicateRuns, r.BaselineRefusedButRun = baseline.duplicateRuns(), baseline.refusedButRun()
	r.BaselineWrongResponses, r.BaselineCutByKill = baseline.value(&baseline.wrongResponses), baseline.value(&baseline.cutByKill)
	r.BaselineCompleted, r.BaselineNoResponse = baseline.value(&baseline.completed), baseline.value(&baseline.noResponse)
	return r, nil
}

// slotRun is one run, with permits or without, and its counts.
type slotRun struct {
	*slotFleet
	rng        *rand.Rand
	inProgress sync.WaitGroup
	nextID     int
	refusedIDs sync.Map // IDs of requests that were refused without being run

	requests, completed, refusedCount, failedByTarget, noResponse, wrongResponses, cutByKill atomic.Int64
}

func (r *slotRun) value(n *atomic.Int64) int { return int(n.Load()) }

// runSlots warms up and then lets the demand of the pools peak in turn, with faults in each
// turn. It kills one entry halfway.
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

// scheduleFaults makes three targets of the pool that peaks in this turn fail, each in another mode.
func (r *slotRun) scheduleFaults(turn int) {
	order := r.rng.Perm(slotTargets)
	for i, mode := range []slotMode{modeSlow, modeFail, modeUnresponsive} {
		t := r.pools[turn].targets[order[i]]
		begin := time.Duration(r.rng.Int64N(int64(peakTime - targetFaultTime)))
		time.AfterFunc(begin, func() { t.setMode(mode) })
		time.AfterFunc(begin+targetFaultTime, func() { t.setMode(modeHealthy) })
	}
}

// generateDemand starts requests to all pools for d. The pool with the index peakPool has its peak;
// at -1 no pool has.
func (r *slotRun) generateDemand(ctx context.Context, peakPool int, d time.Duration) {
	begin := time.Now()
	expected := make([]float64, len(r.pools)) // expected number of requests so far, by pool
	for step := 0; time.Since(begin) < d && ctx.Err() == nil; step++ {
		for i, p := range r.pools {
			factor := lowFactor
			if i == peakPool {
				factor = peakFactor
			}
			rate := factor * meanLoad * slotTargets * slotsPerTarget / meanRunTime.Seconds()
			for n := r.poisson(rate*time.Since(begin).Seconds() - expected[i]); n > 0; n-- {
				r.startRequest(ctx, p)
			}
			expected[i] = rate * time.Since(begin).Seconds()
		}
		time.Sleep(time.Until(begin.Add(time.Duration(step+1) * arrivalStep)))
	}
}

// poisson draws from a Poisson distribution.
func (r *slotRun) poisson(mean float64) int {
	n := 0
	for p := r.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= r.rng.Float64()
	}
	return n
}

// startRequest starts one request at a random entry that is alive, as a load balancer would.
func (r *slotRun) startRequest(ctx context.Context, p *slotPool) {
	e := r.entries[r.rng.IntN(len(r.entries))]
	for e.dead.Load() {
		e = r.entries[r.rng.IntN(len(r.entries))]
	}
	r.nextID++
	id := ident.RequestID(fmt.Sprintf("work-%d", r.nextID))
	runTime := meanRunTime/2 + time.Duration(r.rng.Int64N(int64(meanRunTime)))
	r.requests.Add(1)
	r.inProgress.Go(func() {
		p.addCounts(1, 0)
		defer p.addCounts(-1, 0)
		r.sendRequest(ctx, e, p, id, runTime)
	})
}

// sendRequest sends a request through an entry and waits until it ends or the entry is killed.
func (r *slotRun) sendRequest(ctx context.Context, e *slotEntry, p *slotPool, id ident.RequestID, runTime time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	deadline, _ := ctx.Deadline()
	req := broker.AcquireRequest{Pool: p.id, Request: id, Job: "work", Deadline: deadline}
	done := make(chan struct{})
	go func() {
		defer cancel()
		defer close(done)
		r.serve(ctx, e, p, req, runTime)
	}()
	select {
	case <-done:
	case <-e.killed:
		r.cutByKill.Add(1) // the target completes the run if it has begun it
	}
}

// serve acquires a permit, runs the request on its target and counts the result, as an entry does.
// After the entry was killed nothing is counted or released.
func (r *slotRun) serve(ctx context.Context, e *slotEntry, p *slotPool, req broker.AcquireRequest, runTime time.Duration) {
	permit, err := e.permits.Acquire(ctx, req)
	if e.dead.Load() {
		return
	}
	if err != nil {
		r.refusedIDs.Store(req.Request, true)
		r.refusedCount.Add(1)
		return
	}
	began := time.Now()
	responseID, slotTime, err := r.targets[permit.Target].run(ctx, req.Request, runTime)
	if e.dead.Load() {
		return
	}
	result := broker.OK
	switch {
	case errors.Is(err, errTargetFailed):
		result = broker.Failed
		r.failedByTarget.Add(1)
	case err != nil:
		result = broker.Unresponsive
		r.noResponse.Add(1)
	case responseID != req.Request:
		r.wrongResponses.Add(1)
	case ctx.Err() != nil:
		r.noResponse.Add(1) // complete, but after the caller's deadline
	default:
		r.completed.Add(1)
		p.addCompleted(slotTime)
	}
	e.permits.Release(permit, broker.Report{Result: result, Job: req.Job, Duration: time.Since(began)})
}

// goodputRatio returns the completed slot time / the usable slot time of all pools.
func (r *slotRun) goodputRatio() float64 {
	var completed, usable time.Duration
	for _, p := range r.pools {
		completed += p.completedSlotTime
		usable += p.usableSlotTime
	}
	return float64(completed) / float64(usable)
}

// maxInFlight returns the largest number of requests that any target ran at the same time.
func (r *slotRun) maxInFlight() int {
	n := 0
	for _, t := range r.targets {
		n = max(n, t.maxRunning)
	}
	return n
}

// runsByID returns the number of runs of each request on all targets.
func (r *slotRun) runsByID() map[ident.RequestID]int {
	runs := map[ident.RequestID]int{}
	for _, t := range r.targets {
		for id, n := range t.runs {
			runs[id] += n
		}
	}
	return runs
}

// duplicateRuns returns the number of runs of requests beyond the first of each.
func (r *slotRun) duplicateRuns() int {
	duplicates := 0
	for _, n := range r.runsByID() {
		duplicates += n - 1
	}
	return duplicates
}

// refusedButRun returns the number of requests that were refused, but run by a target.
func (r *slotRun) refusedButRun() int {
	n := 0
	for id := range r.runsByID() {
		if _, refused := r.refusedIDs.Load(id); refused {
			n++
		}
	}
	return n
}
