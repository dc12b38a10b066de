package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// playPending kills the owner of a pool while jobs wait for a worker that rejects starts. It judges MIXED: the number of
// pending jobs that a machine in touch gives is at least half of those that were accepted 5 s before and haven't begun.
func playPending(ctx context.Context, e *env) ([]string, error) {
	const pool, path, jobs = "bakery-desk", "cut", 10
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, 2, 0}, queue{"fit", pool, 3, 0})
	lasting := fmt.Sprintf("%016x", 0xf00)
	behave := func(task string, _ int) behavior {
		if jobOf(task) == lasting {
			return behavior{lasts: true}
		}
		return behavior{duration: time.Second}
	}
	need := func(task string) int {
		if jobOf(task) == lasting {
			return workerCPU
		}
		return 1000
	}
	if err := e.addWorkers(pool, 2*rackSize, behave, need); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	// All workers but one are full with a service.
	e.submit(ctx, e.daemons[0], "/fit/"+lasting, job("x", phase{"count": 2*rackSize - 1, "cpu": workerCPU, "mem-mb": 1024, "est-runtime-ms": 1000, "long-running": true, "max-per-server": 1}))
	time.Sleep(3 * time.Second)
	var free *worker
	for _, w := range e.workers {
		w.mu.Lock()
		if len(w.running) == 0 {
			free = w
		}
		w.mu.Unlock()
	}
	if free == nil {
		return nil, fmt.Errorf("%w: no worker is free", errNotRun)
	}
	free.rejects.Store(true)
	e.note("worker %s rejects starts from now on", free.id)
	for n := range jobs {
		e.submit(ctx, e.daemons[n%len(e.daemons)], fmt.Sprintf("/%s/%016x", path, n+1), job("x", phase{"count": 1, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 1000}))
	}
	time.Sleep(6 * time.Second)
	owner, other := e.owner(pool)
	if owner == nil {
		return nil, fmt.Errorf("%w: the pool has no owner", errNotRun)
	}
	before, _ := e.pending(other, path)
	if before < jobs/2 {
		return nil, fmt.Errorf("%w: %d jobs are pending before the disruption", errNotRun, before)
	}
	if e.trouble {
		owner.kill()
		e.note("%s killed, which owned the pool", owner.name)
	}
	var broken []string
	for range 10 {
		time.Sleep(time.Second)
		if n, ok := e.pending(other, path); ok && n < (jobs-e.begun(lasting))/2 {
			broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending, and %d jobs that were accepted over 5 s ago haven't begun", other.name, n, jobs-e.begun(lasting)))
		}
	}
	return broken, nil
}

// pending returns the number of pending jobs that a daemon gives.
func (e *env) pending(d *daemon, path string) (int, bool) {
	status, body := e.call(d, http.MethodGet, "/"+path+"/", nil)
	n, ok := body["pending"].(float64)
	return int(n), ok && status == http.StatusOK
}

// begun returns how many jobs other than one have begun.
func (e *env) begun(except string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range e.runs {
		if id := jobOf(r.task); id != except {
			seen[id] = true
		}
	}
	return len(seen)
}
