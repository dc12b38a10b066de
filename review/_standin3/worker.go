package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the platform's pages that workers keep.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	maxWait     = 2 * time.Second
	stopTime    = 100 * time.Millisecond // at most stop-timeout-ms, 400
	entryExpiry = 3 * heartbeat
	gangNews    = 2 * time.Millisecond // until the other members know that one has ended
)

// worker is one machine of a pool and the life of the worker on it.
type worker struct {
	fleet *fleet
	id    string
	vm    string
	pool  string
	zone  string
	rack  string
	kind  string
	addr  string

	mu       sync.Mutex
	server   *http.Server // nil while the worker is down
	life     *life
	lateNext func(path string, req *order) time.Duration // if it returns a time, the order is not answered and carried out then
}

// life is what a worker knows. A crash loses all of it.
type life struct {
	w         *worker
	born      int64
	begin     time.Time
	fence     int64
	lease     int64 // end, on the worker's clock
	running   map[string]*run
	barred    map[string]int64 // task → highest attempt that was stopped or has ended
	ends      []end
	nextEnd   int64
	changed   chan struct{}
	over      bool
	seq       int64
	checkedIn time.Time // when its entry was last written
}

// run is one attempt at a work unit.
type run struct {
	task    string
	attempt int64
	begin   time.Time
	spec    spec
	working bool // false while a gang isn't complete
}

type end struct {
	n       int64
	task    string
	attempt int64
	how     string
}

// order is the body of a call.
type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence"`
	Acked    int64  `json:"ack-seq"`
	Wait     int64  `json:"wait-ms"`
	Ticket   string `json:"ticket"`
}

// spec says how a work unit behaves: how long it runs (0: until it is stopped), and how many members its gang has.
type spec struct {
	duration time.Duration
	gang     int
}

// parseSpec parses "run=MS gang=N".
func parseSpec(text string) spec {
	var s spec
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value) // 0 if missing
		switch name {
		case "run":
			s.duration = time.Duration(n) * time.Millisecond
		case "gang":
			s.gang = n
		}
	}
	return s
}

// up starts a life of the worker, at its address.
func (w *worker) up() error {
	if w.addr == "" {
		w.addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.addr = l.Addr().String()
	now := time.Now()
	w.life = &life{w: w, born: now.UnixMilli(), begin: now, running: map[string]*run{}, barred: map[string]int64{}, nextEnd: 1, changed: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	x, s := w.life, w.server
	w.mu.Unlock()
	w.fleet.rec.note("worker %s: up at %s, born %d", w.id, w.addr, x.born)
	go func() { _ = s.Serve(l) }()
	go x.keepLease()
	go x.checkIn()
	return nil
}

// mustUp starts a life of a worker that has crashed.
func (w *worker) mustUp() {
	if err := w.up(); err != nil {
		w.fleet.rec.note("worker %s can't start again: %v", w.id, err)
	}
}

// crash ends the life of the worker: all runs end without a report, and its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	x, s := w.life, w.server
	w.server, w.life = nil, nil
	if x == nil {
		w.mu.Unlock()
		return
	}
	x.over = true
	for _, r := range x.running {
		w.fleet.ended(w, r, "lost with its worker")
		if r.spec.gang > 0 && r.working {
			time.AfterFunc(gangNews, func() { w.fleet.breakGang(r) })
		}
	}
	x.running = map[string]*run{}
	w.mu.Unlock()
	w.fleet.rec.note("worker %s: crashes", w.id)
	_ = s.Close()
	go func() { // the platform removes the entry of a silent worker
		time.Sleep(time.Until(x.checkedIn.Add(entryExpiry)))
		if w.current() == nil {
			w.fleet.platform.Store.Put(context.Background(), "servers", w.id, nil)
		}
	}()
}

func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

// checkIn keeps the worker's entry in the platform's list.
func (x *life) checkIn() {
	for {
		x.w.mu.Lock()
		over := x.over
		x.seq++
		x.checkedIn = time.Now()
		entry := map[string]any{
			"service": x.w.pool, "addr": x.w.addr, "zone": x.w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": x.seq,
			"machine": x.w.vm, "born": x.born, "capacity": map[string]any{"cpu": 16000, "mem-mb": 65536, "gpu": 0}, "labels": []string{x.w.kind, x.w.rack},
		}
		x.w.mu.Unlock()
		if over {
			return
		}
		x.w.fleet.platform.Store.Put(context.Background(), "servers", x.w.id, entry)
		time.Sleep(heartbeat)
	}
}

// clock is the worker's steady clock in milliseconds. The caller holds w.mu.
func (x *life) clock() int64 { return time.Since(x.begin).Milliseconds() + 1 }

func (x *life) extend(deadline int64) {
	x.lease = max(x.lease, min(deadline, x.clock()+maxHold.Milliseconds()))
}

// keepLease ends all runs when the lease has expired.
func (x *life) keepLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		x.w.mu.Lock()
		if x.over {
			x.w.mu.Unlock()
			return
		}
		if x.clock() > x.lease {
			for key := range x.running {
				x.end(key, "lapsed")
			}
		}
		x.w.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds w.mu.
func (x *life) end(key, how string) {
	r := x.running[key]
	if r == nil {
		return
	}
	delete(x.running, key)
	x.barred[r.task] = max(x.barred[r.task], r.attempt)
	x.ends = append(x.ends, end{x.nextEnd, r.task, r.attempt, how})
	x.nextEnd++
	if r.spec.gang > 0 && how != "done" && r.working {
		time.AfterFunc(gangNews, func() { x.w.fleet.breakGang(r) })
	}
	close(x.changed)
	x.changed = make(chan struct{})
	x.w.fleet.ended(x.w, r, how)
}

func runKey(task string, attempt int64) string { return task + "#" + strconv.FormatInt(attempt, 10) }

func answer(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v) // fails only if the caller has left
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req order
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	late := w.lateNext
	w.mu.Unlock()
	if late != nil {
		if d := late(r.URL.Path, &req); d > 0 {
			w.fleet.rec.note("worker %s: %s of %s attempt %d, fence %d: gets no answer, is carried out %v later", w.id, r.URL.Path, req.Task, req.Attempt, req.Fence, d)
			time.AfterFunc(d, func() { w.carryOut(r.URL.Path, &req) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if r.URL.Path == "/-/hold" {
		w.hold(rw, r, &req)
		return
	}
	status, reason, clock := w.apply(r.URL.Path, &req)
	if clock == 0 {
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"clock-ms": clock}
	if reason != "" {
		body["reason"] = reason
	}
	answer(rw, status, body)
}

// carryOut carries out an order that got no answer, in the life that the worker has by then.
func (w *worker) carryOut(path string, req *order) {
	status, reason, _ := w.apply(path, req)
	w.fleet.rec.note("worker %s: %s of %s attempt %d carried out late: %d %s", w.id, path, req.Task, req.Attempt, status, reason)
}

// apply carries out an order. The clock is 0 if the worker is down.
func (w *worker) apply(path string, req *order) (status int, reason string, clock int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.life
	if x == nil {
		return 0, "the worker is down", 0
	}
	if req.Fence < x.fence {
		return http.StatusConflict, "fence", x.clock()
	}
	x.fence = req.Fence
	key := runKey(req.Task, req.Attempt)
	switch path {
	case "/-/run-start":
		switch {
		case x.running[key] != nil:
			x.extend(req.Deadline)
		case req.Attempt <= x.barred[req.Task]:
			x.extend(req.Deadline)
			return http.StatusConflict, "old", x.clock()
		case req.Deadline < x.clock():
			return http.StatusConflict, "late", x.clock()
		case w.fleet.advice != nil && !w.fleet.advice.accepts(w, x.born, req.Task, req.Ticket):
			return http.StatusConflict, "ticket", x.clock()
		default:
			x.extend(req.Deadline)
			x.begins(req)
		}
	case "/-/run-stop":
		x.barred[req.Task] = max(x.barred[req.Task], req.Attempt)
		if x.running[key] != nil {
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				x.end(key, "stopped")
			})
		}
	case "/-/pace":
	default:
		return http.StatusNotFound, "", x.clock()
	}
	return http.StatusOK, "", x.clock()
}

// begins starts a run. The caller holds w.mu.
func (x *life) begins(req *order) {
	r := &run{task: req.Task, attempt: req.Attempt, begin: time.Now(), spec: parseSpec(req.Spec)}
	key := runKey(r.task, r.attempt)
	x.running[key] = r
	x.w.fleet.began(x.w, x, r)
	if r.spec.gang == 0 {
		r.working = true
		x.work(key, r)
	}
}

// work lets a run work until its time has passed. The caller holds w.mu.
func (x *life) work(key string, r *run) {
	r.working = true
	if r.spec.duration == 0 {
		return
	}
	time.AfterFunc(r.spec.duration, func() {
		x.w.mu.Lock()
		defer x.w.mu.Unlock()
		if x.running[key] == r {
			x.end(key, "done")
		}
	})
}

// hold extends the lease, drops acknowledged ends, and lists all runs once there is an end or the wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, req *order) {
	w.mu.Lock()
	x := w.life
	if x == nil {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if req.Fence < x.fence {
		clock := x.clock()
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": "fence"})
		return
	}
	x.fence = req.Fence
	x.extend(req.Deadline)
	for len(x.ends) > 0 && x.ends[0].n <= req.Acked {
		w.fleet.acked(x.ends[0])
		x.ends = x.ends[1:]
	}
	wait := min(time.Duration(req.Wait)*time.Millisecond, maxWait)
	if len(x.ends) == 0 && wait > 0 {
		changed := x.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	if x.over {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.running {
		percent := 100
		switch {
		case !r.working:
			percent = 0
		case r.spec.duration > 0:
			percent = int(min(99, 100*time.Since(r.begin)/r.spec.duration))
		}
		running = append(running, []any{r.task, r.attempt, "", percent, 0})
	}
	for _, e := range x.ends[:min(len(x.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	body := map[string]any{"clock-ms": x.clock(), "born": x.born, "running": running, "finished": finished}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

func (e end) String() string { return fmt.Sprintf("%s attempt %d: %s", e.task, e.attempt, e.how) }
