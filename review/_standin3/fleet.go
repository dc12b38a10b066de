package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	host = "desk.example"
	pool = "dispatch-desk"
)

var zones = []string{"nyarugenge", "kicukiro", "gasabo"}

// fleet is a small deployment: the platform, the workers of a pool, and the daemons.
type fleet struct {
	rec      *record
	platform *local.Fleet
	cloud    string  // address of the VM service
	advice   *advice // nil if the queue needs none
	workers  []*worker
	entries  []*entry
	dir      string

	mu     sync.Mutex
	begins []beginning
	finish []finishing
	onRun  func(w *worker, x *life, r *run) // called at each start, with w.mu held
	gangs  map[string][]*member             // by step and attempt
	onGang func(members []*member)          // called once all members of a gang are there
}

// beginning is the start of a run, finishing its end.
type beginning struct {
	at      time.Time
	worker  string
	task    string
	attempt int64
}

type finishing struct {
	beginning
	how   string
	acked bool
}

// member is a run of a gang.
type member struct {
	w *worker
	x *life
	r *run
}

// newFleet starts the platform, workers and daemons.
func newFleet(ctx context.Context, rec *record, workers, entries int, advised bool) (*fleet, error) {
	f := &fleet{rec: rec, gangs: map[string][]*member{}, onGang: func(members []*member) { begin(members, false) }}
	var err error
	if f.dir, err = os.MkdirTemp("", "standin3-"); err != nil {
		return nil, err
	}
	if f.platform, err = local.NewFleet(ctx, nil, 0); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.cloud = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(f.serveCloud)) }()
	for i := range workers {
		w := &worker{fleet: f, id: fmt.Sprintf("i-%04d", i), vm: fmt.Sprintf("m-%04d", i), pool: pool, kind: "a", zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", 1+i%len(zones), 1+i/len(zones)/4)}
		if err := w.up(); err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	route := map[string]any{"name": "notes", "host": host, "path-prefix": "/notes/", "service": pool, "priority": 1, "max-attempts": 2, "slack-factor": 1.6, "target-duration-ms": 600}
	if advised {
		if f.advice, err = newAdvice(f); err != nil {
			return nil, err
		}
		route["hint"] = map[string]any{"decision-ms": decisionMS, "interval-ms": intervalMS, "validity-ms": validityMS}
	}
	f.platform.Store.Put(ctx, "op", "config", map[string]any{
		"version": 1, "limits": map[string]any{}, "routes": []any{route}, "services": []any{map[string]any{"name": pool}},
	})
	for i := range entries {
		e, err := f.newEntry(i)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady(ctx)
}

// serveCloud serves the VM service: the list of the machines. No machine has another pool to move to.
func (f *fleet) serveCloud(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	list := []any{}
	for _, w := range f.workers {
		state := "up"
		if w.current() == nil {
			state = "down"
		}
		list = append(list, map[string]any{
			"machine": w.vm, "pool": w.pool, "state": state, "zone": w.zone, "labels": []string{w.kind, w.rack},
			"capacity": map[string]any{"cpu": 16000, "mem-mb": 65536, "gpu": 0}, "id": w.id,
		})
	}
	answer(rw, http.StatusOK, map[string]any{"machines": list})
}

// began notes the start of a run, and lets a gang work once all of its members are there. The caller holds w.mu.
func (f *fleet) began(w *worker, x *life, r *run) {
	f.rec.note("worker %s: begins %s attempt %d", w.id, r.task, r.attempt)
	f.mu.Lock()
	f.begins = append(f.begins, beginning{time.Now(), w.id, r.task, r.attempt})
	onRun := f.onRun
	f.mu.Unlock()
	if onRun != nil {
		onRun(w, x, r)
	}
	if r.spec.gang > 0 {
		f.joinGang(&member{w, x, r})
	}
}

// gangTimeout is gang-timeout-ms: how long a member waits for the others.
const gangTimeout = 3 * time.Second

// gangOf names the gang of a run: its step and attempt.
func gangOf(r *run) string { return runKey(r.task[:strings.LastIndexByte(r.task, '.')], r.attempt) }

// joinGang adds a run to its gang, which works once it is complete.
func (f *fleet) joinGang(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := gangOf(m.r)
	f.gangs[key] = append(f.gangs[key], m)
	if members := f.gangs[key]; len(members) == m.r.spec.gang {
		go f.onGang(members)
		return
	}
	time.AfterFunc(gangTimeout, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if key := runKey(m.r.task, m.r.attempt); m.x.running[key] == m.r && !m.r.working {
			m.x.end(key, "alone")
		}
	})
}

// breakGang ends the other members of a gang.
func (f *fleet) breakGang(r *run) {
	f.mu.Lock()
	members := slices.Clone(f.gangs[gangOf(r)])
	f.mu.Unlock()
	for _, m := range members {
		if m.r == r {
			continue
		}
		m.w.mu.Lock()
		if key := runKey(m.r.task, m.r.attempt); m.x.running[key] == m.r && m.r.working {
			m.x.end(key, "broken")
		}
		m.w.mu.Unlock()
	}
}

// ended notes the end of a run. The caller holds w.mu.
func (f *fleet) ended(w *worker, r *run, how string) {
	f.rec.note("worker %s: %s attempt %d ends: %s", w.id, r.task, r.attempt, how)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish = append(f.finish, finishing{beginning{time.Now(), w.id, r.task, r.attempt}, how, false})
}

// acked notes that an end was taken note of.
func (f *fleet) acked(e end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.finish {
		if x := &f.finish[i]; x.task == e.task && x.attempt == e.attempt {
			x.acked = true
		}
	}
}

// startsOf returns the starts of a job's work units so far.
func (f *fleet) startsOf(job string) []beginning {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []beginning
	for _, b := range f.begins {
		if len(b.task) > len(job) && b.task[:len(job)] == job {
			out = append(out, b)
		}
	}
	return out
}

// endsOf counts the ends of a job's runs by kind.
func (f *fleet) endsOf(job string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, e := range f.finish {
		if len(e.task) > len(job) && e.task[:len(job)] == job {
			out[e.how]++
		}
	}
	return out
}

// entry is one daemon.
type entry struct {
	f                       *fleet
	name                    string
	zone                    string
	client, readiness, peer string
	metrics                 string
	settings, log           string
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// newEntry writes the settings of a daemon, as the deploy file's template does for a small deployment.
func (f *fleet) newEntry(i int) (*entry, error) {
	e := &entry{f: f, name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)]}
	for _, addr := range []*string{&e.client, &e.readiness, &e.peer, &e.metrics} {
		*addr = local.Addr() // of this process alone
	}
	e.settings, e.log = filepath.Join(f.dir, e.name+".toml"), filepath.Join(f.dir, e.name+".log")
	adviser := ""
	if f.advice != nil {
		adviser = f.advice.addr
	}
	text := fmt.Sprintf(`entry = %q
zone = %q
client = %q
readiness = %q
peer = %q
metrics = %q
machines = %q
advice = %q
control_mode = "invoke"
memory = 284_000_000
cpu_share = 0.4
cores = 1
grace = "6s"

[log]
address = %q
parts = 12
min_ttl = "1000ms"

[bounds]
stop_timeout = "400ms"
remote_cost = 2
retention = "120s"
machine_lease = "3000ms"
upkeep = "2s"
config_apply = "2000ms"
drain = "2000ms"
`, e.name, e.zone, e.client, e.readiness, e.peer, e.metrics, f.cloud, adviser, f.platform.Addr)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the daemon with the command of the deploy file, in the repository.
func (e *entry) start() error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command("target/toucanjobd")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANHATCH_SETTINGS=" + e.settings, "TOUCANHATCH_MAX_RECORD=262144", "TOUCANHATCH_MAX_APPEND=2097152"}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(e.cmd, e.exited)
	e.f.rec.note("daemon %s: started, client address %s", e.name, e.client)
	return nil
}

// signal sends a signal to the daemon.
func (e *entry) signal(s syscall.Signal) {
	e.f.rec.note("daemon %s: gets %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// kill ends the daemon.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	select {
	case <-e.exited:
	case <-time.After(3 * time.Second):
	}
}

// close ends all that was started.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.kill()
	}
	f.platform.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

// awaitReady waits until all daemons are ready and a job has been completed.
func (f *fleet) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(20 * time.Second)
	for _, e := range f.entries {
		for {
			resp, err := http.Get("http://" + e.readiness + "/-/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	const first = "00000000000000ff"
	c := f.client(f.entries[0])
	for c.post(first, oneUnit("run=200"), 3*time.Second) != http.StatusOK {
		if time.Now().After(limit) {
			return fmt.Errorf("the first job was not accepted")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for time.Now().Before(limit) {
		if status, state := c.get(first, 3*time.Second); status == http.StatusOK && state == "completed" {
			time.Sleep(3 * time.Second) // in touch: contact-ms without an event
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the first job was not completed")
}

// owner returns the daemon that owns the pool's partition; nil if that isn't known.
func (f *fleet) owner(partition int) *entry {
	holders, err := f.platform.Store.Log.Holders(context.Background(), "toucanhatch")
	if err != nil {
		return nil
	}
	for _, h := range holders {
		if int(h.Partition) != partition || h.Topic != "jobs" {
			continue
		}
		for _, e := range f.entries {
			if len(h.Member) > len(e.peer) && string(h.Member)[:len(e.peer)] == e.peer {
				return e
			}
		}
	}
	return nil
}

// toJSON encodes a job.
func toJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// oneUnit returns the body of a job of one work unit.
func oneUnit(text string) string {
	return toJSON(map[string]any{"spec": text, "phases": []any{map[string]any{"count": 1, "cpu": 1900, "mem-mb": 3900, "est-runtime-ms": 1300}}})
}
