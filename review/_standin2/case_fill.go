package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// playFill lets one worker of a full pool crash for a second, while a job waits for room. It judges LOST: a task that lasts
// and takes only unused processor time runs again within 6 s and 3 s, since there is memory for it on the workers that have no other task of its step.
func playFill(ctx context.Context, e *env) ([]string, error) {
	const pool, workers, units = "bakery-desk", 2 * rackSize, rackSize
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{"fit", pool, 3, 0}, queue{"fill", pool, 3, 1})
	filling := fmt.Sprintf("f%015x", 3)
	behave := func(string, int) behavior { return behavior{lasts: true} }
	need := func(task string) int {
		if strings.HasPrefix(task, filling) {
			return 0
		}
		return workerCPU / 4
	}
	if err := e.addWorkers(pool, workers, behave, need); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	full := phase{"count": 4 * workers, "cpu": workerCPU / 4, "mem-mb": 2048, "est-runtime-ms": 700, "long-running": true}
	waiting := phase{"count": 2, "cpu": workerCPU / 4, "mem-mb": 2048, "est-runtime-ms": 700, "long-running": true}
	unused := phase{"count": units, "cpu": 2000, "mem-mb": 1024, "est-runtime-ms": 700, "long-running": true, "utilisation": true, "max-per-server": 1}
	handIn := func(path string, p phase) error {
		if !e.submit(ctx, e.daemons[0], path, job("x", p)) {
			return fmt.Errorf("%w: job %s was not accepted", errNotRun, path)
		}
		time.Sleep(time.Second)
		return nil
	}
	if err := errors.Join(handIn(fmt.Sprintf("/fit/f%015x", 1), full), handIn("/fill/"+filling, unused), handIn(fmt.Sprintf("/fit/f%015x", 2), waiting)); err != nil {
		return nil, err
	}
	if n := e.running(filling); n != units {
		return nil, fmt.Errorf("%w: %d tasks run that take unused processor time", errNotRun, n)
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		w := e.workerOf(filling)
		w.powerOff()
		time.Sleep(crashTime)
		if err := w.powerOn("a", workerCPU); err != nil {
			return nil, err
		}
	}
	calm := time.Now()
	time.Sleep(15 * time.Second)
	e.note("%d of %d tasks run that take unused processor time", e.running(filling), units)
	return e.missingServices(calm), nil
}

// running returns how many tasks of a job run.
func (e *env) running(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if jobOf(r.task) == id && r.ended.IsZero() {
			n++
		}
	}
	return n
}

// workerOf returns a worker that runs a task of a job.
func (e *env) workerOf(id string) *worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if jobOf(r.task) == id && r.ended.IsZero() {
			return r.worker
		}
	}
	return nil
}
