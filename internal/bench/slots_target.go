package bench

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// slotMode is how a slotTarget behaves.
type slotMode string

const (
	modeHealthy      slotMode = "good"
	modeSlow         slotMode = "slow"   // every run takes slowFactor times as long
	modeFail         slotMode = "fail"   // every run fails at once
	modeUnresponsive slotMode = "silent" // runs and probes get no answer
)

const slowFactor = 4

var errWorkerFailed = errors.New("worker failed")

// slotTarget is a worker in this process. It enforces no limit; beyond its slots its runs share the processors.
type slotTarget struct {
	id      ident.VMID
	address string
	zone    ident.ZoneID
	pool    *slotPool

	mu         sync.Mutex
	mode       slotMode
	running    int
	maxRunning int
	runs       map[ident.RequestID]int
	responsive chan struct{} // closed when the silence ends
}

// run does the work of one request and returns the id that the answer bears and the slot time that it used.
func (t *slotTarget) run(ctx context.Context, id ident.RequestID, length time.Duration) (ident.RequestID, time.Duration, error) {
	t.mu.Lock()
	t.running++
	t.maxRunning = max(t.maxRunning, t.running)
	t.runs[id]++
	mode, sharing := t.mode, max(1, float64(t.running)/slotsPerTarget)
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	switch mode {
	case modeFail:
		return id, 0, errWorkerFailed
	case modeUnresponsive:
		<-ctx.Done()
		return "", 0, ctx.Err()
	case modeSlow:
		length *= slowFactor
	}
	began := time.Now()
	time.Sleep(time.Duration(float64(length) * sharing))
	return id, time.Duration(float64(time.Since(began)) / sharing), nil
}

// set changes the behavior and the number of healthy slots of the pool.
func (t *slotTarget) setMode(mode slotMode) {
	t.mu.Lock()
	was := t.mode
	t.mode = mode
	if was == modeUnresponsive {
		close(t.responsive)
		t.responsive = make(chan struct{})
	}
	t.mu.Unlock()
	t.pool.addCounts(0, healthySlots(mode)-healthySlots(was))
}

func healthySlots(m slotMode) int {
	if m == modeHealthy || m == modeSlow {
		return slotsPerTarget
	}
	return 0
}

// probe returns the number of running requests; a silent target does not answer.
func (t *slotTarget) probe(ctx context.Context) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == modeUnresponsive {
		silenced := t.responsive
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-silenced:
		}
		t.mu.Lock()
	}
	return t.running, ctx.Err()
}

// slotPool measures what a pool's demand could use. For each instant this is min(offered, healthy): the requests
// that callers have in progress, waiting or running, and the slots of the targets that neither fail everything nor are
// silent. A slow target's slots are healthy.
type slotPool struct {
	id      ident.PoolID
	targets []*slotTarget

	mu                sync.Mutex
	offered           int
	healthy           int
	since             time.Time
	usableSlotTime    time.Duration // integral of min(offered, healthy)
	completedSlotTime time.Duration // slot time of runs whose answer reached the caller
	measuring         bool
}

// change adds to the two counts and extends the integral up to now.
func (p *slotPool) addCounts(offered, healthy int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.integrate()
	p.offered += offered
	p.healthy += healthy
}

func (p *slotPool) integrate() {
	now := time.Now()
	if p.measuring {
		p.usableSlotTime += now.Sub(p.since) * time.Duration(min(p.offered, p.healthy))
	}
	p.since = now
}

// count starts or ends the measurement.
func (p *slotPool) setMeasuring(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.integrate()
	p.measuring = on
}

func (p *slotPool) addCompleted(work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.measuring {
		p.completedSlotTime += work
	}
}
