package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behavior is what a task does on a worker.
type behavior struct {
	lasts    bool          // it runs until it is stopped
	duration time.Duration // otherwise it ends then
	fails    bool          // and has failed
}

// run is one attempt at a task.
type run struct {
	task    string
	attempt int
	worker  *worker
	cpu     int
	started time.Time
	ended   time.Time // zero while it runs
	how     string
	kind    string // of the worker
	behavior
}

// runEnd is an end that the worker lists until it is acknowledged.
type runEnd struct {
	seq int64
	*run
}

// worker is a machine and the worker process on it. It doesn't guard its capacity.
type worker struct {
	env     *env
	id      string
	machine string
	pool    string
	zone    string
	rack    string
	addr    string
	// behave tells what a task does. need returns its CPU.
	behave func(task string, attempt int) behavior
	need   func(task string) int
	// rejects, while it is true, makes the worker answer starts with 503.
	rejects atomic.Bool
	// hangs, while it is true, makes the worker leave requests unanswered; they are not carried out.
	hangs atomic.Bool

	mu       sync.Mutex
	server   *http.Server // nil while the worker is down
	life     int          // counts the starts of the process
	kind     string
	cpu      int
	born     time.Time
	fence    int64
	leaseEnd time.Time
	running  map[string]*run // by task
	highest  map[string]int  // of the attempts that were stopped or have ended here, by task
	ends     []runEnd
	nextSeq  int64
	draining bool
	endAdded chan struct{} // closed when an end is added
}

// addWorkers starts n workers of a pool.
func (e *env) addWorkers(pool string, n int, behave func(task string, attempt int) behavior, need func(task string) int) error {
	for i := range n {
		k := len(e.workers)
		w := &worker{
			env: e, id: fmt.Sprintf("i-%s-%d", pool, i), machine: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, zone: zones[k%len(zones)],
			rack: fmt.Sprintf("r-%s-%d", pool, i/rackSize), behave: behave, need: need,
		}
		e.workers = append(e.workers, w)
		if err := w.powerOn("a", workerCPU); err != nil {
			return err
		}
	}
	return nil
}

// powerOn starts the worker process, at the address that it had, and registers it.
func (w *worker) powerOn(kind string, cpu int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.kind, w.cpu, w.born = kind, cpu, time.Now()
	w.fence, w.leaseEnd, w.ends, w.nextSeq = 0, time.Time{}, nil, 1
	w.running, w.highest, w.endAdded = map[string]*run{}, map[string]int{}, make(chan struct{})
	var err error
	life := w.life
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveLife(rw, r, life) })
	if w.server, w.addr, err = serve(w.addr, handler); err != nil {
		return err
	}
	w.env.note("worker %s up: life %d, kind %s, cpu %d, at %s", w.id, w.life, kind, cpu, w.addr)
	go w.checkIn(w.life)
	return nil
}

// powerOff ends the worker process without notice: connections break, and everything on it ends.
func (w *worker) powerOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	_ = w.server.Close() // breaks the connections
	w.server = nil
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "lost with its worker"
	}
	w.env.note("worker %s down with %d runs", w.id, len(w.running))
	w.running = map[string]*run{}
}

// checkIn writes the worker's entry at its start and then every heartbeat, and does the worker's periodic work.
func (w *worker) checkIn(life int) {
	seq, listed := 0, false
	next := time.Now()
	for {
		w.mu.Lock()
		if w.server == nil || w.life != life {
			w.mu.Unlock()
			return
		}
		w.expireLease()
		entry := w.entry(seq)
		w.mu.Unlock()
		if !time.Now().Before(next) && !w.env.separated(w.zone, "") {
			w.env.store.Put(context.Background(), "servers", w.id, entry)
			w.env.countWrite(false)
			seq++
			next = time.Now().Add(heartbeat)
			listed = true
		} else if listed && time.Since(next) > 2*heartbeat {
			w.env.store.Put(context.Background(), "servers", w.id, nil) // the store removes it after three intervals of silence
			listed = false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// clock returns the time on the worker's own clock. The caller holds w.mu.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// extendLease extends the lease up to a time on the worker's clock. The caller holds w.mu.
func (w *worker) extendLease(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadline-1) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// expireLease ends everything that runs once the lease has expired. The caller holds w.mu.
func (w *worker) expireLease() {
	if len(w.running) == 0 || time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

// end ends a run and lists its end. The caller holds w.mu.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	r.ended, r.how = time.Now(), how
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, runEnd{w.nextSeq, r})
	w.nextSeq++
	close(w.endAdded)
	w.endAdded = make(chan struct{})
	w.env.note("worker %s: %s#%d ended %s", w.id, r.task, r.attempt, how)
}

// load returns the CPU of what runs. The caller holds w.mu.
func (w *worker) load() int {
	sum := 0
	for _, r := range w.running {
		sum += r.cpu
	}
	return sum
}

type workerRequest struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence"`
	Acked    int64  `json:"ack-seq"`
	Wait     int64  `json:"wait-ms"`
}

// serveLife serves a request that has reached one life of the worker.
func (w *worker) serveLife(rw http.ResponseWriter, r *http.Request, life int) {
	var in workerRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		respond(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	w.hang(r, in.Fence)
	w.mu.Lock()
	if w.life != life || w.server == nil { // it has ended since
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.expireLease()
	if in.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = in.Fence
	switch r.URL.Path {
	case "/-/hold":
		w.hold(rw, r, &in)
	case "/-/run-start":
		w.start(rw, &in)
	case "/-/run-stop":
		w.highest[in.Task] = max(w.highest[in.Task], in.Attempt)
		if x := w.running[in.Task]; x != nil && x.attempt <= in.Attempt {
			w.end(x, "stopped")
		}
		w.answer(rw, http.StatusOK, "")
	default:
		w.answer(rw, http.StatusOK, "")
	}
}

// hang leaves a request unanswered if the worker hangs, or is cut off from the owner of the pool that has sent it.
func (w *worker) hang(r *http.Request, fence int64) {
	if w.hangs.Load() || w.env.separated(w.zone, w.env.zoneOf(w.pool, fence)) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// drain reports that the worker is about to leave, and returns when the store has accepted the report.
func (w *worker) drain() time.Time {
	w.mu.Lock()
	w.draining = true
	entry := w.entry(0)
	w.mu.Unlock()
	w.env.store.Put(context.Background(), "servers", w.id, entry)
	w.env.note("worker %s: the store has accepted that it is draining", w.id)
	return time.Now()
}

// entry returns the worker's entry in the store. The caller holds w.mu.
func (w *worker) entry(seq int) map[string]any {
	entry := map[string]any{
		"service": w.pool, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "machine": w.machine, "born": w.born.UnixMilli(),
		"capacity": map[string]any{"cpu": w.cpu, "mem-mb": workerMemory, "gpu": 0}, "labels": []string{w.kind, w.rack}, "cold-left-ms": 0, "seq": seq,
	}
	if w.draining {
		entry["state"], entry["remaining-ms"] = "draining", 10_000
	}
	return entry
}

// answer responds to a command and unlocks w.mu.
func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	w.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	respond(rw, status, body)
}

// start handles a start command and unlocks w.mu.
func (w *worker) start(rw http.ResponseWriter, in *workerRequest) {
	switch x := w.running[in.Task]; {
	case w.rejects.Load():
		w.env.note("worker %s: start of %s#%d refused, unhealthy", w.id, in.Task, in.Attempt)
		w.answer(rw, http.StatusServiceUnavailable, "")
		return
	case x != nil && x.attempt == in.Attempt:
		w.extendLease(in.Deadline)
		w.answer(rw, http.StatusOK, "")
		return
	case in.Attempt <= w.highest[in.Task]:
		w.extendLease(in.Deadline)
		w.answer(rw, http.StatusConflict, "old")
		return
	case in.Deadline < w.clock():
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	w.extendLease(in.Deadline)
	r := &run{task: in.Task, attempt: in.Attempt, worker: w, cpu: w.need(in.Task), started: time.Now(), behavior: w.behave(in.Task, in.Attempt)}
	w.running[in.Task] = r
	w.env.mu.Lock()
	w.env.runs = append(w.env.runs, r)
	w.env.mu.Unlock()
	r.kind = w.kind
	w.env.note("worker %s (life %d, kind %s): %s#%d started, load %d of %d", w.id, w.life, w.kind, r.task, r.attempt, w.load(), w.cpu)
	if !r.lasts {
		how := "done"
		if r.fails {
			how = "failed"
		}
		time.AfterFunc(r.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, how)
		})
	}
	w.answer(rw, http.StatusOK, "")
}

// maxEnds is the number of ends in one response.
const maxEnds = 500

// hold handles a hold request and unlocks w.mu.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, in *workerRequest) {
	w.extendLease(in.Deadline)
	w.ends = slices.DeleteFunc(w.ends, func(x runEnd) bool { return x.seq <= in.Acked })
	if len(w.ends) == 0 && in.Wait > 0 {
		endAdded := w.endAdded
		w.mu.Unlock()
		select {
		case <-endAdded:
		case <-time.After(time.Duration(in.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.hang(r, in.Fence)
		w.mu.Lock()
		if r.Context().Err() != nil || w.server == nil {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	w.expireLease()
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.running {
		percent := 100
		if !x.lasts && x.duration > 0 {
			percent = int(min(99, 100*time.Since(x.started)/x.duration))
		}
		running = append(running, []any{x.task, x.attempt, "", percent, x.cpu})
	}
	for _, x := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{x.seq, x.task, x.attempt, x.how, ""})
	}
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	respond(rw, http.StatusOK, body)
}

// serveVMs serves the list of the VM service. The cases have one pool, so that no machine is moved, and no waves.
func (e *env) serveVMs(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		respond(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	list := []map[string]any{}
	for _, w := range e.workers {
		w.mu.Lock()
		state := "up"
		if w.server == nil {
			state = "down"
		}
		list = append(list, map[string]any{
			"machine": w.machine, "pool": w.pool, "state": state, "zone": w.zone, "labels": []string{cmp.Or(w.kind, "a"), w.rack},
			"capacity": map[string]any{"cpu": w.cpu, "mem-mb": workerMemory, "gpu": 0}, "id": w.id,
		})
		w.mu.Unlock()
	}
	respond(rw, http.StatusOK, map[string]any{"machines": list, "next-token": ""})
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
