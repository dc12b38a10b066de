package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// journal records what the stand-ins see, and checks the rule on runs of one work unit.
type journal struct {
	mu     sync.Mutex
	begun  time.Time
	out    *bufio.Writer
	file   *os.File
	runs   map[string][]*seenRun // by work unit
	twice  []string              // work units that ran twice, as the rule TWICE has it
	counts map[string]int        // of the events, by kind
}

// seenRun is one run as its worker has seen it.
type seenRun struct {
	attempt      int64
	worker       *worker
	started      time.Time
	ended        time.Time // zero while it runs
	how          string
	noted        bool
	lapsedBefore bool // the worker's lease lapsed between the end and its being noted
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{begun: time.Now(), out: bufio.NewWriter(f), file: f, runs: map[string][]*seenRun{}, counts: map[string]int{}}, nil
}

func (j *journal) line(who, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(who, format, args...)
}

// write writes a line. The caller holds j.mu.
func (j *journal) write(who, format string, args ...any) {
	fmt.Fprintf(j.out, "%8.3f  %-10s %s\n", time.Since(j.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

func (j *journal) runStarted(task string, attempt int64, w *worker, spec string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["starts"]++
	j.write(w.id, "starts %s run %d", task, attempt)
	for _, r := range j.runs[task] {
		if r.ended.IsZero() {
			j.counts["started while another run was on"]++
			j.twice = append(j.twice, fmt.Sprintf("%s: run %d starts on %s while run %d is on at %s", task, attempt, w.id, r.attempt, r.worker.id))
			j.write("TWICE", "%s", j.twice[len(j.twice)-1])
		}
	}
	j.runs[task] = append(j.runs[task], &seenRun{attempt: attempt, worker: w, started: time.Now()})
}

func (j *journal) find(task string, attempt int64, w *worker) *seenRun {
	runs := j.runs[task]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].attempt == attempt && runs[i].worker == w {
			return runs[i]
		}
	}
	return nil
}

func (j *journal) runEnded(task string, attempt int64, w *worker, how string, seq int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["ends "+how]++
	j.write(w.id, "ends %s run %d: %s, number %d", task, attempt, how, seq)
	if r := j.find(task, attempt, w); r != nil {
		r.ended, r.how = time.Now(), how
	}
}

func (j *journal) leaseLapsed(w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["lapsed leases"]++
	j.write(w.id, "its lease has lapsed")
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.worker == w && !r.ended.IsZero() && !r.noted {
				r.lapsedBefore = true
			}
		}
	}
}

// endNoted notes that ack-seq has reached the end of a run. Starts of the work unit after that end break the rule if the
// run ended done.
func (j *journal) endNoted(task string, attempt int64, w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.find(task, attempt, w)
	if r == nil || r.noted {
		return
	}
	r.noted = true
	j.counts["ends taken note of"]++
}

// check returns the breaches of the rule TWICE: runs of one work unit at the same time, and starts after a run had ended
// done, where that end was taken note of and the lease did not lapse between the two.
func (j *journal) check() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := append([]string(nil), j.twice...)
	for task, runs := range j.runs {
		for _, done := range runs {
			if done.how != "done" || !done.noted || done.lapsedBefore {
				continue
			}
			for _, later := range runs {
				if later != done && later.started.After(done.ended) {
					out = append(out, fmt.Sprintf("%s: run %d starts on %s %.3f s after run %d has ended done on %s, an end that is taken note of", task, later.attempt, later.worker.id, later.started.Sub(done.ended).Seconds(), done.attempt, done.worker.id))
				}
			}
		}
	}
	return out
}

// units counts the running work units of each job and of all jobs, and those that have ended done by job and step.
func (j *journal) units() (running, done map[string]int, all int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	running, done = map[string]int{}, map[string]int{}
	for task, runs := range j.runs {
		parts := strings.Split(task, ".") // job, occurrence, step, index
		ended := false
		for _, r := range runs {
			if r.ended.IsZero() {
				running[parts[0]]++
				all++
			}
			ended = ended || r.how == "done"
		}
		if ended {
			done[parts[0]+"."+parts[2]]++
		}
	}
	return running, done, all
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.out.Flush() // the verdict is also printed
	_ = j.file.Close()
}
