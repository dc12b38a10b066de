package main

import (
	"context"
	"fmt"
	"time"
)

// playKind lets the workers of a rack crash under load and start again under their ids and addresses as another kind. It
// judges ROUTE: no task starts on a worker without the label that it requires.
func playKind(ctx context.Context, e *env) ([]string, error) {
	const pool, path, need = "bakery-desk", "cut", 4000
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, 2, 0})
	behave := func(string, int) behavior { return behavior{duration: 1500 * time.Millisecond} }
	if err := e.addWorkers(pool, 2*rackSize, behave, func(string) int { return need }); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithTimeout(ctx, 16*time.Second)
	defer stop()
	go func() {
		for n := 0; load.Err() == nil; n++ {
			d := e.daemons[n%len(e.daemons)]
			go e.call(d, "POST", fmt.Sprintf("/%s/%016x", path, n+1), job("x", phase{"count": 8, "cpu": need, "mem-mb": 256, "est-runtime-ms": 1500, "required-label": "a"}))
			time.Sleep(300 * time.Millisecond)
		}
	}()
	for rack := range 1 {
		time.Sleep(5 * time.Second)
		if !e.trouble {
			continue
		}
		crashed := e.workers[rack*rackSize : (rack+1)*rackSize]
		for _, w := range crashed {
			w.powerOff()
		}
		time.Sleep(time.Second)
		for _, w := range crashed {
			if err := w.powerOn("b", workerCPU); err != nil {
				return nil, err
			}
		}
	}
	<-load.Done()
	time.Sleep(2 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.runs) < 50 {
		return nil, fmt.Errorf("%w: only %d runs", errNotRun, len(e.runs))
	}
	var broken []string
	for _, r := range e.runs {
		if r.kind != "a" {
			broken = append(broken, fmt.Sprintf("ROUTE: %s#%d, which requires the label a, starts on worker %s, which has the labels %s and %s", r.task, r.attempt, r.worker.id, r.kind, r.worker.rack))
		}
	}
	return broken, nil
}
