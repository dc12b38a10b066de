package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// playTrial lets a rack crash right after jobs have been handed in. It judges LOST: a task that lasts runs again within 6 s
// and 3 s where there is room for it.
func playTrial(ctx context.Context, e *env) ([]string, error) {
	const pool, jobs, need = "bakery-desk", 6, 500
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{"cut", pool, 2, 0}, queue{"fit", pool, 3, 0})
	lasting := fmt.Sprintf("%016x", 0xf00)
	behave := func(task string, _ int) behavior {
		if jobOf(task) == lasting {
			return behavior{lasts: true}
		}
		return behavior{duration: time.Second}
	}
	if err := e.addWorkers(pool, 2*rackSize, behave, func(string) int { return need }); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	go e.submit(ctx, e.daemons[0], "/fit/"+lasting, job("x", phase{"count": 5, "cpu": need, "mem-mb": 1024, "est-runtime-ms": 1000, "long-running": true, "max-per-server": 1}))
	for n := range jobs {
		go e.submit(ctx, e.daemons[n%len(e.daemons)], fmt.Sprintf("/cut/%016x", n+1), job("x", phase{"count": 24, "cpu": need, "mem-mb": 256, "est-runtime-ms": 1000}))
	}
	time.Sleep(350 * time.Millisecond)
	crashed := time.Now()
	if e.trouble {
		for _, w := range e.workers[:rackSize] {
			w.powerOff()
		}
	}
	time.Sleep(time.Second)
	if e.trouble {
		for _, w := range e.workers[:rackSize] {
			if err := w.powerOn("a", workerCPU); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(14 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	last := map[string]*run{}
	var broken []string
	for _, r := range e.runs {
		if !strings.HasPrefix(r.task, lasting) {
			continue
		}
		if p := last[r.task]; p != nil {
			if gap := r.started.Sub(p.ended); gap > restartTime {
				broken = append(broken, fmt.Sprintf("LOST: task %s has not run for %v after the crash at %.3f s, although there was room", r.task, gap, crashed.Sub(e.begin).Seconds()))
			}
		}
		last[r.task] = r
	}
	for task, r := range last {
		if !r.ended.IsZero() && time.Since(r.ended) > restartTime {
			broken = append(broken, fmt.Sprintf("LOST: task %s has not run since %.3f s", task, r.ended.Sub(e.begin).Seconds()))
		}
	}
	return broken, nil
}
