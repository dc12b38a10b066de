package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["wave"] = playWave }

const (
	waveTime    = 24 // deadline-s of the wave
	waveWatch   = 40 * time.Second
	atWorkAfter = 3 * time.Second // all lasting work units are at work by then
	lastingCPU  = 2000
	lastingMem  = 4000
	afterLast   = 6 * time.Second // a work unit that lasts may be away for so long after its last run
	awayTime    = 3 * time.Second // and for so long more while there is capacity for it
)

// playWave fills the services but for two workers of one with work units that last, hands in a job of two and one of three
// such work units, at most one a worker, and asks for the upkeep of one of the two machines. The third work unit of the
// last job finds no room.
func playWave(w *world) ([]string, error) {
	filler := phase{CPU: 15500, Memory: 20000, Estimate: 700, MaxPerServer: 1, LongRunning: true}
	lasting := phase{CPU: lastingCPU, Memory: lastingMem, Estimate: 700, MaxPerServer: 1, LongRunning: true, MissBudget: 1}
	two, three := jobID(), jobID()
	for _, x := range []struct {
		service, id string
		step        phase
		count       int
	}{
		{"bakery-desk", jobID(), filler, 7},
		{"welder-desk", jobID(), filler, 9},
		{"bakery-desk", two, lasting, 2},
		{"bakery-desk", three, lasting, 3},
	} {
		x.step.Count = x.count
		w.needs[x.id] = x.step
		if !w.client.submit("/"+x.service+"/"+x.id, jobBody(work{Lasts: true}, x.step)) {
			return nil, fmt.Errorf("job %s was not accepted", x.id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(atWorkAfter)
	at := w.workerOf(two + ".0.0.1")
	if at == nil || w.workerOf(two+".0.0.0") == nil {
		return nil, fmt.Errorf("the job of two work units does not run")
	}
	if w.trouble {
		w.store.put("keyed.op", "wave/1", map[string]any{"wave": 1, "machines": []string{at.machine}, "deadline-s": waveTime, "cap": 1})
		w.journal.line("operator", "op/wave/1 is written: machine %s within %d s, at most 1 at once; worker %s", at.machine, waveTime, at.id)
	}
	return w.watchLasting([]string{two + ".0.0.0", two + ".0.0.1"}, waveWatch), nil
}

// workerOf returns the worker that runs a work unit, or nil.
func (w *world) workerOf(task string) *worker {
	w.journal.mu.Lock()
	defer w.journal.mu.Unlock()
	for _, r := range w.journal.runs[task] {
		if r.ended.IsZero() {
			return r.worker
		}
	}
	return nil
}

// watchLasting watches work units that last, and returns those that don't run for awayTime, from afterLast after their last
// run on, while a worker has room for twice their need and runs no other work unit of their step.
func (w *world) watchLasting(units []string, d time.Duration) []string {
	away := map[string]time.Time{} // since when a work unit is away with capacity for it
	broken := map[string]string{}
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(50 * time.Millisecond) {
		for _, u := range units {
			last, room := w.lastRun(u), w.roomFor(u)
			if w.workerOf(u) != nil || last.IsZero() || time.Since(last) < afterLast || room == nil {
				delete(away, u)
				continue
			}
			if away[u].IsZero() {
				away[u] = time.Now()
			}
			if time.Since(away[u]) > awayTime && broken[u] == "" {
				broken[u] = fmt.Sprintf("%s has not run for %v since its last run, though worker %s is up and has capacity for it twice over", u, time.Since(last).Round(100*time.Millisecond), room.id)
				w.journal.line("LOST", "%s", broken[u])
			}
		}
	}
	var out []string
	for _, u := range units {
		if broken[u] != "" {
			out = append(out, broken[u])
		}
	}
	return out
}

// lastRun returns when the last run of a work unit ended; zero if there was none.
func (w *world) lastRun(task string) time.Time {
	w.journal.mu.Lock()
	defer w.journal.mu.Unlock()
	runs := w.journal.runs[task]
	if len(runs) == 0 {
		return time.Time{}
	}
	return runs[len(runs)-1].ended
}

// roomFor returns a worker of the service that is up, has capacity for a work unit twice over, and runs no other work unit
// of its step; nil if there is none.
func (w *world) roomFor(task string) *worker {
	step := task[:strings.LastIndexByte(task, '.')+1]
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, m := range w.fleet.machines {
		x := m.worker
		if m.pool != "bakery-desk" || m.state != "up" {
			continue
		}
		x.mu.Lock()
		free, other := x.on, false
		cpu, memory := workerCPU, workerMemory
		for _, r := range x.runs {
			need := w.needs[strings.Split(r.task, ".")[0]]
			cpu, memory = cpu-need.CPU, memory-need.Memory
			other = other || strings.HasPrefix(r.task, step)
		}
		x.mu.Unlock()
		if free && !other && cpu >= 2*lastingCPU && memory >= 2*lastingMem {
			return x
		}
	}
	return nil
}
