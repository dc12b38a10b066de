package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["entry"] = playEntry }

const (
	entryJobs   = 12
	entryPeriod = 500 * time.Millisecond // between two submissions
	entryAfter  = 3 * time.Second        // when the entry of the other writer comes
	entryWait   = 40 * time.Second       // until all jobs must have been completed
)

// playEntry hands in jobs of six work units. While they run, an agent of another team on a machine of the fleet writes an
// entry of its own, of a service that the configuration doesn't name.
func playEntry(w *world) ([]string, error) {
	body := jobBody(work{From: 2000, To: 4000}, phase{Count: 6, CPU: 880, Memory: 1800, Estimate: 3000})
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	begin := time.Now()
	wg.Go(func() {
		for range entryJobs {
			path := "/bakery-desk/" + jobID()
			wg.Go(func() {
				if w.client.submit(path, body) {
					mu.Lock()
					accepted = append(accepted, path)
					mu.Unlock()
				}
			})
			time.Sleep(entryPeriod)
		}
	})
	if w.trouble {
		time.Sleep(entryAfter)
		w.writeForeignEntry()
	}
	wg.Wait()
	if len(accepted) < entryJobs/2 {
		return nil, fmt.Errorf("only %d of %d jobs were accepted", len(accepted), entryJobs)
	}
	w.awaitCompleted(accepted, begin.Add(entryWait))
	time.Sleep(2 * time.Second) // the last ends are taken note of
	return w.journal.check(), nil
}

// writeForeignEntry writes the entry of an agent that another team runs on the machine of the busiest worker, and renews
// it with each check-in interval.
func (w *world) writeForeignEntry() {
	var at *worker
	most := 0
	w.fleet.mu.Lock()
	for _, m := range w.fleet.machines {
		m.worker.mu.Lock()
		if n := len(m.worker.runs); m.pool == "bakery-desk" && n > most {
			at, most = m.worker, n
		}
		m.worker.mu.Unlock()
	}
	w.fleet.mu.Unlock()
	if at == nil {
		return
	}
	entry := map[string]any{
		"service": "print-spooler", "addr": w.fleet.host + ".45:9100", "zone": at.zone, "version": "7", "slots": 1, "state": "ready", "cold-left-ms": 0,
		"machine": at.machine, "born": time.Now().UnixMilli(), "labels": []string{"a", at.rack}, "capacity": map[string]any{"cpu": 0, "mem-mb": 0, "gpu": 0},
	}
	w.journal.line("platform", "servers/i-print-1 is written: service print-spooler on machine %s, where worker %s of bakery-desk runs %d work units", at.machine, at.id, most)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for seq := 1; ; seq++ {
			entry["seq"] = seq
			w.store.put("keyed.servers", "i-print-1", entry)
			select {
			case <-tick.C:
			case <-w.stop:
				return
			}
		}
	}()
}

// awaitCompleted asks for the jobs until all are shown as completed, or until the time has come. It returns those that
// are not.
func (w *world) awaitCompleted(paths []string, until time.Time) map[string]string {
	left := map[string]string{}
	for _, p := range paths {
		left[p] = ""
	}
	for len(left) > 0 && time.Now().Before(until) {
		for p := range left {
			if left[p] = w.client.state(p); left[p] == "completed" {
				delete(left, p)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return left
}
