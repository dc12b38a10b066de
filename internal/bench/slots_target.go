package bench

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// slotMode is the behavior of a slotTarget.
type slotMode string

const (
	modeHealthy      slotMode = "good"
	modeSlow         slotMode = "slow"   // runs take slowFactor times as long
	modeFail         slotMode = "fail"   // runs fail immediately
	modeUnresponsive slotMode = "silent" // runs and probes get no response
)

const slowFactor = 4

var errTargetFailed = errors.New("target failed")

// slotTarget is a target in this process. It limits nothing: runs beyond its slots slow down all
// runs, as if they shared its processors.
type slotTarget struct {
	id      ident.VMID
	address string
	zone    ident.ZoneID
	pool    *slotPool

	mu              sync.Mutex
	mode            slotMode
	running         int                     // current runs
	maxRunning      int                     // most runs at the same time
	runs            map[ident.RequestID]int // number of runs of each request
	unresponsiveEnd chan struct{}           // closed when modeUnresponsive ends
}

// run simulates the run of one request. It returns the request ID of the response and the slot time used.
func (t *slotTarget) run(ctx context.Context, id ident.RequestID, runTime time.Duration) (ident.RequestID, time.Duration, error) {
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
		return id, 0, errTargetFailed
	case modeUnresponsive:
		<-ctx.Done()
		return "", 0, ctx.Err()
	case modeSlow:
		runTime *= slowFactor
	}
	began := time.Now()
	time.Sleep(time.Duration(float64(runTime) * sharing))
	return id, time.Duration(float64(time.Since(began)) / sharing), nil
}

// setMode changes the target's behavior and with it the number of healthy slots of its pool.
func (t *slotTarget) setMode(mode slotMode) {
	t.mu.Lock()
	previous := t.mode
	t.mode = mode
	if previous == modeUnresponsive {
		close(t.unresponsiveEnd)
		t.unresponsiveEnd = make(chan struct{})
	}
	t.mu.Unlock()
	t.pool.addCounts(0, healthySlots(mode)-healthySlots(previous))
}

// healthySlots returns the number of slots that a target in mode m contributes to its pool's healthy slots.
func healthySlots(m slotMode) int {
	if m == modeHealthy || m == modeSlow {
		return slotsPerTarget
	}
	return 0
}

// probe returns the number of running requests. It blocks while the target is unresponsive.
func (t *slotTarget) probe(ctx context.Context) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == modeUnresponsive {
		ended := t.unresponsiveEnd
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-ended:
		}
		t.mu.Lock()
	}
	return t.running, ctx.Err()
}

// slotPool measures the slot time that a pool's demand could use, the integral of min(offered, healthy).
// Here offered is the number of requests that callers have in progress, waiting or running, and healthy is
// the number of slots of targets that neither fail every run nor are unresponsive. A slow target's slots are healthy.
type slotPool struct {
	id      ident.PoolID
	targets []*slotTarget

	mu                sync.Mutex
	offered           int
	healthy           int
	since             time.Time     // time up to which usableSlotTime is integrated
	usableSlotTime    time.Duration // integral of min(offered, healthy)
	completedSlotTime time.Duration // of runs whose response reached the caller in time
	measuring         bool
}

// addCounts extends the integral up to now and then changes both counts.
func (p *slotPool) addCounts(offered, healthy int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.integrate()
	p.offered += offered
	p.healthy += healthy
}

// integrate extends the integral up to now.
func (p *slotPool) integrate() {
	now := time.Now()
	if p.measuring {
		p.usableSlotTime += now.Sub(p.since) * time.Duration(min(p.offered, p.healthy))
	}
	p.since = now
}

// setMeasuring starts or ends the measurement.
func (p *slotPool) setMeasuring(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.integrate()
	p.measuring = on
}

// addCompleted adds the slot time of a completed run.
func (p *slotPool) addCompleted(slotTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.measuring {
		p.completedSlotTime += slotTime
	}
}
