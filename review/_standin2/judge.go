package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// crashTime is how long a crashed worker is down.
	crashTime = time.Second
	// restartTime is the time after its last run in which a task that lasts has to run again: 6 s, and 3 s more.
	restartTime = 9 * time.Second
)

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

// overlaps describes the tasks that ran on two workers at the same time.
func (e *env) overlaps() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	end := func(r *run) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	var broken []string
	for i, a := range e.runs {
		for _, b := range e.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			if both := end(a).Sub(b.started); both > 0 && b.ended != b.started {
				broken = append(broken, fmt.Sprintf("TWICE: %s runs as #%d on %s and as #%d on %s from %.3f s on, for %v", a.task, a.attempt, a.worker.id, b.attempt, b.worker.id,
					b.started.Sub(e.begin).Seconds(), min(both, end(b).Sub(b.started))))
			}
		}
	}
	return broken
}

// overlapsByTask is overlaps for many runs.
func (e *env) overlapsByTask() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := map[string]*run{}
	var broken []string
	for _, r := range e.runs {
		if p := last[r.task]; p != nil && (p.ended.IsZero() || p.ended.After(r.started)) {
			broken = append(broken, fmt.Sprintf("TWICE: %s runs as #%d on %s and as #%d on %s from %.3f s on", r.task, p.attempt, p.worker.id, r.attempt, r.worker.id, r.started.Sub(e.begin).Seconds()))
		} else if p != nil && p.how == "done" {
			broken = append(broken, fmt.Sprintf("TWICE: %s starts as #%d on %s after #%d has ended done", r.task, r.attempt, r.worker.id, p.attempt))
		}
		last[r.task] = r
	}
	return broken
}
