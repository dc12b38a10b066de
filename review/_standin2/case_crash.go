package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// crashTime is how long a crashed worker is down.
	crashTime = time.Second
	// crashes is the number of crashes of a rack.
	crashes = 12
	// restartTime is the time after its last run in which a task that lasts has to run again: 6 s, and 3 s more.
	restartTime = 9 * time.Second
)

// playCrash lets one rack after the other crash for a second, whatever runs there, and then leaves all workers alone. It
// judges LOST: a job of which no run has ended as failed may not be shown as failed, and a task that lasts has to run again.
func playCrash(ctx context.Context, e *env) ([]string, error) {
	const pool, need, jobs, services = "bakery-desk", 900, 30, 3
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{"cut", pool, 2, 0}, queue{"fit", pool, 3, 0})
	behave := func(task string, _ int) behavior {
		if strings.HasPrefix(task, "f") {
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
	var paths []string
	for n := range services {
		p := fmt.Sprintf("/fit/f%015x", n)
		if !e.submit(ctx, e.daemons[n%len(e.daemons)], p, job("x", phase{"count": 5, "cpu": need, "mem-mb": 6800, "est-runtime-ms": 700, "long-running": true, "max-per-server": 1, "miss-budget": 1})) {
			return nil, fmt.Errorf("%w: %s was not accepted", errNotRun, p)
		}
		paths = append(paths, p)
	}
	accepted := make(chan string, jobs)
	go func() {
		defer close(accepted)
		for n := range jobs {
			p := fmt.Sprintf("/cut/%016x", n+1)
			if e.submit(ctx, e.daemons[n%len(e.daemons)], p, job("x", phase{"count": 6, "cpu": need, "mem-mb": 1800, "est-runtime-ms": 1000})) {
				accepted <- p
			}
			time.Sleep(400 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	for n := range crashes {
		if err := e.crashRack(n % 2); err != nil {
			return nil, err
		}
	}
	calm := time.Now()
	e.note("no worker crashes from now on")
	for p := range accepted {
		paths = append(paths, p)
	}
	time.Sleep(time.Until(calm.Add(20 * time.Second)))
	var broken []string
	for _, p := range paths {
		status, state := e.state(e.daemons[0], p)
		if status == http.StatusOK && state == "failed" && e.failedRuns(jobIn(p)) == 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed, and none of its runs has ended as failed", p))
		}
	}
	broken = append(broken, e.missingServices(calm)...)
	if len(paths) < services+jobs/2 {
		return nil, fmt.Errorf("%w: only %d jobs were accepted", errNotRun, len(paths))
	}
	return broken, nil
}

// crashRack lets the workers of a rack crash, if the disruption is played, and starts them again.
func (e *env) crashRack(n int) error {
	rack := e.workers[n*rackSize : (n+1)*rackSize]
	if !e.trouble {
		time.Sleep(crashTime)
		return nil
	}
	for _, w := range rack {
		w.powerOff()
	}
	time.Sleep(crashTime)
	for _, w := range rack {
		if err := w.powerOn("a", workerCPU); err != nil {
			return err
		}
	}
	return nil
}

// missingServices describes the tasks that last and have not run for restartTime since a time.
func (e *env) missingServices(since time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := map[string]*run{}
	for _, r := range e.runs {
		if r.lasts {
			last[r.task] = r
		}
	}
	var broken []string
	for task, r := range last {
		if !r.ended.IsZero() && time.Since(r.ended) > restartTime && time.Since(since) > restartTime {
			broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, has not run since %.3f s", task, r.ended.Sub(e.begin).Seconds()))
		}
	}
	return broken
}

// jobIn returns the job that a path names.
func jobIn(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// failedRuns returns how many runs of a job have ended as failed.
func (e *env) failedRuns(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if jobOf(r.task) == id && r.how == "failed" {
			n++
		}
	}
	return n
}
