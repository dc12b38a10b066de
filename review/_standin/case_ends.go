package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["ends"] = playEnds }

const (
	endsJobs    = 200
	endsWidth   = 30 // work units of one job
	endsUnits   = endsJobs * endsWidth
	endsOutage  = 3 * time.Second
	endsBegun   = 100              // work units that have ended when the outage begins
	endsWait    = 60 * time.Second // until the job must have been completed
	endsStarted = 20 * time.Second // until all work units must have been started
)

// playEnds hands in jobs of many small work units, of which each worker runs some hundreds at a time. While they end, the
// platform's store is down, so that the ends can't be taken note of.
func playEnds(w *world) ([]string, error) {
	var mu sync.Mutex
	var jobs []string
	var wg sync.WaitGroup
	body := jobBody(work{From: 5000, To: 8000}, phase{Count: endsWidth, CPU: 20, Memory: 80, Estimate: 6500})
	for range endsJobs {
		path := "/bakery-desk/" + jobID()
		wg.Go(func() {
			if w.client.submit(path, body) {
				mu.Lock()
				jobs = append(jobs, path)
				mu.Unlock()
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	if len(jobs) < endsJobs {
		return nil, fmt.Errorf("only %d of %d jobs were accepted", len(jobs), endsJobs)
	}
	begin := time.Now()
	if n := w.awaitCount("starts", endsUnits, endsStarted); n < endsUnits {
		return nil, fmt.Errorf("only %d of %d work units were started after %v", n, endsUnits, endsStarted)
	}
	w.journal.line("case", "all %d work units have been started", endsUnits)
	w.awaitCount("ends done", endsBegun, endsStarted)
	if w.trouble {
		w.store.refuse(endsOutage)
		w.journal.line("platform", "the store answers the daemons with 503 for %v", endsOutage)
	}
	left := w.awaitCompleted(jobs, begin.Add(endsWait))
	if !w.trouble && len(left) > 0 {
		return nil, fmt.Errorf("%d jobs were not completed", len(left))
	}
	time.Sleep(2 * time.Second)
	return w.journal.check(), nil
}

// awaitCount waits until the journal has counted n events of a kind, and returns the count.
func (w *world) awaitCount(kind string, n int, limit time.Duration) int {
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		w.journal.mu.Lock()
		got := w.journal.counts[kind]
		w.journal.mu.Unlock()
		if got >= n || time.Since(begin) > limit {
			return got
		}
	}
}
