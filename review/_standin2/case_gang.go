package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// playGang makes one of eight workers fail all that it starts. It judges LOST: a job is shown as failed only after its gang
// has failed max-attempts times.
func playGang(ctx context.Context, e *env) ([]string, error) {
	const pool, path, maxAttempts, jobs = "bakery-desk", "cut", 2, 24
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, maxAttempts, 0})
	var grey atomic.Pointer[worker]
	if err := e.addWorkers(pool, 2*rackSize, nil, func(string) int { return workerCPU / 4 }); err != nil {
		return nil, err
	}
	for _, w := range e.workers {
		w.behave = func(string, int) behavior {
			if grey.Load() == w {
				return behavior{fails: true, duration: 200 * time.Millisecond}
			}
			return behavior{duration: time.Second}
		}
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	if e.trouble {
		grey.Store(e.workers[0])
		e.note("worker %s fails all that it starts from now on", e.workers[0].id)
	}
	var paths []string
	for n := range jobs {
		p := fmt.Sprintf("/%s/%016x", path, n+1)
		if e.submit(ctx, e.daemons[n%len(e.daemons)], p, job("x", phase{"count": 4, "cpu": workerCPU / 4, "mem-mb": 256, "est-runtime-ms": 1000, "gang": true})) {
			paths = append(paths, p)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for _, p := range paths {
		status, state := e.state(e.daemons[0], p)
		attempts := e.failedAttempts(jobIn(p))
		if status == http.StatusOK && state == "failed" && attempts < maxAttempts {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed after %d failed attempts of its gang, max-attempts is %d", p, attempts, maxAttempts))
		}
	}
	return broken, nil
}

// failedAttempts returns how many attempts of a job's gang had a run that ended as failed.
func (e *env) failedAttempts(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := map[int]bool{}
	for _, r := range e.runs {
		if jobOf(r.task) == id && r.how == "failed" {
			seen[r.attempt] = true
		}
	}
	return len(seen)
}
