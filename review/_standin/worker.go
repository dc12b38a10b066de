package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the workers, as in the pages and the settings of a small deployment.
const (
	heartbeat     = 1500 * time.Millisecond
	maxHold       = 6000 // milliseconds
	maxWait       = 2000 // milliseconds
	endsAtATime   = 500
	stopTime      = 100 * time.Millisecond // a stop takes at most stop-timeout-ms, 400
	startupTime   = 700 * time.Millisecond // until a work unit that lasts is at work
	workerCPU     = 16000
	workerMemory  = 65536
	moveTime      = 1500 * time.Millisecond // migrate-s
	upkeepTime    = 2 * time.Second         // maintenance-s
	leaseLookFreq = 20 * time.Millisecond
)

// work is what the specification of a job asks of a worker: how long a work unit runs, between two bounds.
type work struct {
	From  int  `json:"from-ms"`
	To    int  `json:"to-ms"`
	Lasts bool `json:"lasts"`
}

// run is one run of a work unit on a worker.
type run struct {
	task      string
	attempt   int64
	startedAt time.Time
	takes     time.Duration // 0 if it lasts
	over      bool
}

type runEnd struct {
	seq     int64
	task    string
	attempt int64
	how     string
}

// worker is a stand-in of one worker, which is one life of a machine.
type worker struct {
	id, machine, service, addr, zone, rack string
	fleet                                  *fleet

	mu        sync.Mutex
	on        bool
	server    *http.Server
	born      int64
	startedAt time.Time
	fence     int64
	leaseEnd  int64 // milliseconds on the worker's clock
	lapsed    bool  // the lease has lapsed, and no other was given since
	runs      map[string]*run
	highest   map[string]int64 // highest attempt that ended or was stopped, by work unit
	ends      []runEnd
	nextSeq   int64
	endAdded  chan struct{}
	life      int // counts the lives under this id
	seq       int64
}

// powerOn begins a new life of the worker.
func (w *worker) powerOn() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.on, w.born, w.startedAt = true, time.Now().UnixMilli(), time.Now()
	w.fence, w.leaseEnd, w.lapsed, w.nextSeq = 0, 0, true, 1
	w.runs, w.highest, w.ends, w.endAdded = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	w.life++
	life := w.life
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }() // returns when the worker loses power
	go w.watchLease(life)
	w.register()
	return nil
}

// powerOff ends the life of the worker: its runs end, and it sends nothing more.
func (w *worker) powerOff(why string) {
	w.mu.Lock()
	if !w.on {
		w.mu.Unlock()
		return
	}
	w.on = false
	server := w.server
	for key, r := range w.runs {
		delete(w.runs, key)
		r.over = true
		w.fleet.journal.runEnded(r.task, r.attempt, w, "lost: "+why, 0)
	}
	w.mu.Unlock()
	_ = server.Close() // resets the open connections
}

func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": w.seq,
		"machine": w.machine, "born": w.born, "labels": []string{"a", w.rack},
		"capacity": map[string]any{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
	}
}

func (w *worker) register() { w.fleet.store.put("keyed.servers", w.id, w.entry()) }

func (w *worker) running() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.on
}

// clock returns the time on the worker's clock, in milliseconds. The caller holds w.mu.
func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() + 1000 }

type workerRequest struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence"`
	Acked    int64  `json:"ack-seq"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in workerRequest
	if json.Unmarshal(body, &in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.on {
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		respond(out, http.StatusMisdirectedRequest, map[string]any{"clock-ms": w.clock(), "born": w.born})
		return
	}
	if in.Fence < w.fence {
		respond(out, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": "fence"})
		return
	}
	w.fence = in.Fence
	w.endLapsed()
	switch r.URL.Path {
	case "/-/run-start":
		w.start(out, &in)
	case "/-/run-stop":
		w.highest[in.Task] = max(w.highest[in.Task], in.Attempt)
		if r := w.runs[runName(in.Task, in.Attempt)]; r != nil {
			life := w.life
			time.AfterFunc(stopTime, func() { w.finish(r, life, "stopped") })
		}
		respond(out, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	case "/-/pace":
		respond(out, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	case "/-/hold":
		w.hold(out, r, &in)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func runName(task string, attempt int64) string { return task + "#" + strconv.FormatInt(attempt, 10) }

// extend extends the lease, which never shortens. The caller holds w.mu.
func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold))
	w.lapsed = w.lapsed && w.clock() > w.leaseEnd
}

func (w *worker) start(out http.ResponseWriter, in *workerRequest) {
	reject := func(reason string) {
		respond(out, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
	}
	key := runName(in.Task, in.Attempt)
	switch {
	case w.runs[key] != nil:
	case in.Deadline <= w.clock():
		reject("late")
		return
	case in.Attempt <= w.highest[in.Task]:
		w.extend(in.Deadline)
		reject("old")
		return
	default:
		w.extend(in.Deadline)
		var asked work
		if json.Unmarshal([]byte(in.Spec), &asked) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		r := &run{task: in.Task, attempt: in.Attempt, startedAt: time.Now()}
		w.runs[key] = r
		w.fleet.journal.runStarted(in.Task, in.Attempt, w, in.Spec)
		if !asked.Lasts {
			h := fnv.New32a()
			_, _ = h.Write([]byte(in.Task)) // never fails
			r.takes = time.Duration(asked.From+int(h.Sum32()%uint32(max(1, asked.To-asked.From)))) * time.Millisecond
			life := w.life
			time.AfterFunc(r.takes, func() { w.finish(r, life, "done") })
		}
	}
	respond(out, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

// finish ends a run, unless it has ended or the worker has lost power since.
func (w *worker) finish(r *run, life int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.on || w.life != life || r.over {
		return
	}
	w.endRun(r, how)
}

// endRun lists the end of a run. The caller holds w.mu.
func (w *worker) endRun(r *run, how string) {
	r.over = true
	delete(w.runs, runName(r.task, r.attempt))
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, runEnd{w.nextSeq, r.task, r.attempt, how})
	w.fleet.journal.runEnded(r.task, r.attempt, w, how, w.nextSeq)
	w.nextSeq++
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

// endLapsed ends all runs once the lease has expired. The caller holds w.mu.
func (w *worker) endLapsed() {
	if w.lapsed || w.clock() <= w.leaseEnd {
		return
	}
	w.lapsed = true
	w.fleet.journal.leaseLapsed(w)
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

func (w *worker) watchLease(life int) {
	for {
		time.Sleep(leaseLookFreq)
		w.mu.Lock()
		if w.life != life || !w.on {
			w.mu.Unlock()
			return
		}
		w.endLapsed()
		w.mu.Unlock()
	}
}

// hold extends the lease, forgets the ends that are taken note of, and lists the runs. It is called with w.mu held, which
// it gives up while it waits for an end.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, in *workerRequest) {
	if in.Deadline > 0 {
		w.extend(in.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].seq <= in.Acked {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.fleet.journal.endNoted(e.task, e.attempt, w)
	}
	if life := w.life; len(w.ends) == 0 && in.Wait > 0 {
		added := w.endAdded
		w.mu.Unlock()
		select {
		case <-added:
		case <-time.After(time.Duration(min(in.Wait, maxWait)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.life != life || !w.on {
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent, ran := 0, time.Since(x.startedAt)
		switch {
		case x.takes > 0:
			percent = int(min(99, 100*ran/x.takes))
		case ran > startupTime:
			percent = 100
		}
		running = append(running, []any{x.task, x.attempt, "", percent, 10})
	}
	for _, e := range w.ends[:min(len(w.ends), endsAtATime)] {
		finished = append(finished, []any{e.seq, e.task, e.attempt, e.how, ""})
	}
	respond(out, http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born, "running": running, "finished": finished})
}

// fleet holds the machines and their workers.
type fleet struct {
	store   *store
	journal *journal
	host    string // loopback addresses of the workers begin with it

	mu       sync.Mutex
	machines []*machine
	count    int // workers so far
}

// machine is one machine with its present worker.
type machine struct {
	id, zone, rack, pool, state string
	worker                      *worker
}

// addMachine adds a machine with a worker.
func (f *fleet) addMachine(id, zone, rack, pool string) error {
	m := &machine{id: id, zone: zone, rack: rack, pool: pool, state: "up"}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return f.newWorker(m)
}

// newWorker begins a new life of a machine, as a worker with a new id.
func (f *fleet) newWorker(m *machine) error {
	f.mu.Lock()
	f.count++
	w := &worker{id: fmt.Sprintf("i-%010x", 0x4d2f0000+f.count*7919), machine: m.id, service: m.pool, addr: fmt.Sprintf("%s.%d:8600", f.host, f.count), zone: m.zone, rack: m.rack, fleet: f}
	m.worker, m.state = w, "up"
	f.mu.Unlock()
	return w.powerOn()
}

// checkIn renews the entries of the workers until stop is closed, and removes those of workers that have been silent for
// three intervals.
func (f *fleet) checkIn(stop chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	silent := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		f.mu.Lock()
		var workers []*worker
		for _, m := range f.machines {
			workers = append(workers, m.worker)
		}
		f.mu.Unlock()
		for _, w := range workers {
			if w.running() {
				silent[w.id] = 0
				w.register()
			} else if silent[w.id]++; silent[w.id] == 3 {
				f.store.put("keyed.servers", w.id, nil)
			}
		}
	}
}

// crash ends the life of a machine's worker, which starts again under its id after d.
func (f *fleet) crash(w *worker, d time.Duration) {
	f.setState(w.machine, "down")
	w.powerOff("the worker crashed")
	time.AfterFunc(d, func() {
		if w.powerOn() == nil {
			f.setState(w.machine, "up")
		}
	})
}

func (f *fleet) setState(id, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.id == id {
			m.state = state
		}
	}
}

// ServeHTTP serves the list of machines and the calls that move them. It implements http.Handler.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if r.URL.Path == "/-/machines" {
		f.mu.Lock()
		list := []map[string]any{}
		for _, m := range f.machines {
			id := ""
			if m.state == "up" {
				id = m.worker.id
			}
			list = append(list, map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "id": id,
				"capacity": map[string]any{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
			})
		}
		f.mu.Unlock()
		respond(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
		return
	}
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil || !strings.HasPrefix(r.URL.Path, "/-/machine-") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	state, takes := "moving", moveTime
	if r.URL.Path == "/-/machine-upkeep" {
		state, takes = "upkeep", upkeepTime
	}
	f.mu.Lock()
	var m *machine
	for _, x := range f.machines {
		if x.id == in.Machine {
			m = x
		}
	}
	switch {
	case m == nil:
		f.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	case state == "moving" && m.pool == in.Pool:
		f.mu.Unlock()
		respond(w, http.StatusOK, map[string]any{})
		return
	case m.state != "up":
		f.mu.Unlock()
		respond(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	old := m.worker
	m.state = state
	if state == "moving" {
		m.pool = in.Pool
	}
	f.mu.Unlock()
	f.journal.line("platform", "machine %s is %s by %s with token %s, pool %s", m.id, state, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"), m.pool)
	old.powerOff("its machine was taken by the platform's call")
	f.store.put("keyed.servers", old.id, nil)
	time.AfterFunc(takes, func() { _ = f.newWorker(m) }) // fails only if the address is in use
	respond(w, http.StatusOK, map[string]any{})
}
