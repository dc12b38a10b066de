package main

import (
	"context"
	"fmt"
	"time"
)

// drainTime is the bound drain-ms.
const drainTime = 2 * time.Second

// playDrain lets a worker that is about to leave hang for 3 s. It judges DRAIN: no task starts on it later than drain-ms after
// the report that it is draining.
func playDrain(ctx context.Context, e *env) ([]string, error) {
	const pool, path, need, jobs = "bakery-desk", "cut", 250, 20
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, 2, 0})
	behave := func(string, int) behavior { return behavior{duration: 2 * time.Second} }
	if err := e.addWorkers(pool, 2*rackSize, behave, func(string) int { return need }); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	leaving := e.workers[0]
	if e.trouble {
		leaving.hangs.Store(true)
		e.note("worker %s hangs", leaving.id)
	}
	for n := range jobs {
		go e.call(e.daemons[n%len(e.daemons)], "POST", fmt.Sprintf("/%s/%016x", path, n+1), job("x", phase{"count": 32, "cpu": need, "mem-mb": 64, "est-runtime-ms": 2000}))
	}
	time.Sleep(300 * time.Millisecond)
	draining := leaving.drain()
	time.Sleep(2700 * time.Millisecond)
	leaving.hangs.Store(false)
	e.note("worker %s answers again", leaving.id)
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.runs) < 200 {
		return nil, fmt.Errorf("%w: only %d runs", errNotRun, len(e.runs))
	}
	var broken []string
	for _, r := range e.runs {
		if late := r.started.Sub(draining); r.worker == leaving && late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: %s#%d starts on %s %v after the store has accepted that it is draining", r.task, r.attempt, r.worker.id, late))
		}
	}
	return broken, nil
}
