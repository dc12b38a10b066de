package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// playEntry cuts a worker off, which runs on, and lets another writer put an entry with missing fields into the list of
// workers, which names the machine of that worker. It judges TWICE: no task runs on two workers at the same time.
func playEntry(ctx context.Context, e *env) ([]string, error) {
	const pool, path, need, jobs = "bakery-desk", "cut", 900, 12
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, 2, 0})
	behave := func(string, int) behavior { return behavior{duration: 6 * time.Second} }
	if err := e.addWorkers(pool, 2*rackSize, behave, func(string) int { return need }); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	for n := range jobs {
		go e.call(e.daemons[n%len(e.daemons)], "POST", fmt.Sprintf("/%s/%016x", path, n+1), job("x", phase{"count": 6, "cpu": need, "mem-mb": 1800, "est-runtime-ms": 6000}))
	}
	time.Sleep(time.Second)
	var cut *worker
	for _, w := range e.workers {
		w.mu.Lock()
		if len(w.running) > 0 && cut == nil {
			cut = w
		}
		w.mu.Unlock()
	}
	if cut == nil {
		return nil, fmt.Errorf("%w: no worker has a run", errNotRun)
	}
	if e.trouble && os.Getenv("ONLY") != "entry" {
		cut.hangs.Store(true)
		e.note("worker %s is cut off from all daemons, and runs on", cut.id)
	}
	time.Sleep(time.Second)
	if e.trouble && os.Getenv("ONLY") != "cut" {
		entry := map[string]any{"service": pool, "addr": "127.0.0.1:9", "state": "ready", "machine": cut.machine, "born": time.Now().UnixMilli()}
		e.store.Put(ctx, "servers", "i-print-1", entry)
		e.note("another writer has put the entry i-print-1: %v", entry)
	}
	time.Sleep(3 * time.Second)
	cut.hangs.Store(false)
	e.note("worker %s is connected again", cut.id)
	time.Sleep(10 * time.Second)
	return e.overlaps(), nil
}
