package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["record"] = playRecord }

const (
	recordBig     = 9000 // work units of the large job
	recordJobs    = 10   // small jobs
	recordPeriod  = 400 * time.Millisecond
	recordAfter   = 2 * time.Second // when the large job comes
	recordTraffic = 10 * time.Second
	smallUnits    = 4                     // work units of each step of a small job
	servedUnits   = 9 * (workerCPU / 880) // work units of the small jobs that the workers of the service have room for
	finishTime    = 14 * time.Second      // finish_s: from the end of the traffic until jobs are asked for
	idleTime      = 3 * time.Second       // how long a job may have nothing running
)

// playRecord hands in small jobs of two steps, and one large job between them.
func playRecord(w *world) ([]string, error) {
	small := jobBody(work{From: 1500, To: 2500}, phase{Count: smallUnits, CPU: 880, Memory: 1800, Estimate: 2000}, phase{Count: smallUnits, CPU: 880, Memory: 1800, Estimate: 2000, DependsOn: []int{0}})
	large := jobBody(work{From: 2000, To: 4000}, phase{Count: recordBig, CPU: 15, Memory: 50, Estimate: 3000})
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	begin := time.Now()
	wg.Go(func() {
		for range recordJobs {
			path := "/bakery-desk/" + jobID()
			wg.Go(func() {
				if w.client.submit(path, small) {
					mu.Lock()
					accepted = append(accepted, path)
					mu.Unlock()
				}
			})
			time.Sleep(recordPeriod)
		}
	})
	if w.trouble {
		time.Sleep(recordAfter)
		path := "/bakery-desk/" + jobID()
		w.journal.line("client", "hands in a job of %d work units, a body of %d bytes", recordBig, len(large))
		accepted := w.client.submit(path, large)
		w.journal.line("client", "the large job is accepted: %v", accepted)
	}
	wg.Wait()
	if len(accepted) == 0 {
		return nil, fmt.Errorf("no job was accepted")
	}
	time.Sleep(time.Until(begin.Add(recordTraffic)))
	w.journal.line("case", "end of the traffic; %d jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	left := w.awaitCompleted(accepted, time.Now().Add(idleTime/2))
	idle := w.idleJobs(left, idleTime)
	var out []string
	for _, p := range idle {
		out = append(out, fmt.Sprintf("%s is shown as %q %v after the end of the traffic, and has nothing running for %v though it is the turn of its second step and the workers are free", p, left[p], finishTime, idleTime))
	}
	return out, nil
}

// idleJobs returns the jobs that have nothing running for d, although all work units of their first step have ended done
// and those of the second have not, while under half of the capacity of their service is in use.
func (w *world) idleJobs(paths map[string]string, d time.Duration) []string {
	idle := map[string]bool{}
	for p := range paths {
		idle[p] = true
	}
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(50 * time.Millisecond) {
		running, done, all := w.journal.units()
		for p := range idle {
			id := p[len("/bakery-desk/"):]
			if 2*all > servedUnits || running[id] > 0 || done[id+".0"] < smallUnits || done[id+".1"] == smallUnits {
				delete(idle, p)
			}
		}
	}
	var out []string
	for p := range idle {
		out = append(out, p)
	}
	return out
}
