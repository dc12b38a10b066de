package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

// The figures of a small deployment.
const (
	partitions   = 12
	stopTimeout  = 400 * time.Millisecond
	maxHold      = 6 * time.Second
	heartbeat    = 1500 * time.Millisecond
	workerCPU    = 16_000 // thousandths of a core
	workerMemory = 65_536 // MiB
	rackSize     = 4
	host         = "desk.example"
)

var zones = []string{"nyarugenge", "kicukiro", "gasabo"}

// env is one deployment: the platform's stand-ins, and the daemons as processes.
type env struct {
	trouble bool
	begin   time.Time
	out     io.Writer
	store   *local.Store
	group   *group
	log     http.Handler // the log's calls
	vmAddr  string
	dir     string
	servers []*http.Server
	daemons []*daemon
	workers []*worker

	// loseWrite, if set before the daemons start, tells whether a write to the log is left unanswered and carried out lateTime later.
	loseWrite func(r *http.Request) bool

	isolated atomic.Pointer[string] // the zone that is cut off; nil or empty if none is

	mu     sync.Mutex
	counts bool   // writes are counted now
	writes int    // calls that write to the log
	lost   int    // those of them that were left unanswered
	runs   []*run // all runs of all workers, in the order of their starts
}

func newEnv(out io.Writer) *env {
	e := &env{trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), out: out, group: newGroup()}
	e.store = &local.Store{Log: &fakes.Log{Partitions: partitions, PageRecords: 500, PageBytes: 1 << 20}}
	return e
}

// note writes one line to the record.
func (e *env) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.out, "%8.3f  %s\n", time.Since(e.begin).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and listeners.
func (e *env) close() {
	for _, d := range e.daemons {
		d.kill()
	}
	for _, w := range e.workers {
		w.powerOff()
	}
	for _, s := range e.servers {
		_ = s.Close() // nothing is served any more
	}
	if e.dir != "" {
		_ = os.RemoveAll(e.dir) // a temporary folder
	}
}

// serve serves requests at a loopback address; an empty one is chosen.
func serve(addr string, h http.Handler) (*http.Server, string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // returns after Close
	return s, l.Addr().String(), nil
}

// startPlatform serves the log and the VM service.
func (e *env) startPlatform() error {
	var err error
	if e.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/log-join", e.group.join)
	mux.HandleFunc("/-/log-leave", e.group.leave)
	mux.HandleFunc("/-/log-owners", e.group.owners)
	mux.Handle("/", e.store)
	e.log = mux
	s, addr, err := serve("", http.HandlerFunc(e.serveVMs))
	if err != nil {
		return err
	}
	e.servers, e.vmAddr = append(e.servers, s), addr
	return nil
}

// queue is one route of the configuration.
type queue struct {
	path, pool  string
	maxAttempts int
	priority    int // 0 comes first
}

// configure publishes a configuration.
func (e *env) configure(version int, queues ...queue) {
	var routes, services []map[string]any
	seen := map[string]bool{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "q-" + q.path, "host": host, "path-prefix": "/" + q.path + "/", "service": q.pool, "priority": q.priority,
			"target-duration-ms": 600, "max-attempts": q.maxAttempts, "slack-factor": 1.6,
		})
		if !seen[q.pool] {
			seen[q.pool] = true
			services = append(services, map[string]any{"name": q.pool, "admission-check": false})
		}
	}
	e.store.Put(context.Background(), "op", "config", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"max-body-bytes": 262144}})
	e.note("configuration %d published", version)
}

// daemon is one toucanjobd process.
type daemon struct {
	env                     *env
	name, zone              string
	client, readiness, peer string
	settings                string
	gate                    *local.Gate // its path to the log
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// startDaemons starts one daemon in each zone and waits until all are ready.
func (e *env) startDaemons(ctx context.Context) error {
	for i, zone := range zones {
		d := &daemon{env: e, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
		d.gate = &local.Gate{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serveLog(w, r, d) })}
		s, addr, err := serve("", d.gate)
		if err != nil {
			return err
		}
		e.servers, d.gate.Addr = append(e.servers, s), addr
		if err := d.startAnew(); err != nil {
			return err
		}
		e.daemons = append(e.daemons, d)
	}
	for ctx.Err() == nil {
		ready := 0
		for _, d := range e.daemons {
			switch {
			case d.ended(): // another process has taken one of its ports
				if err := d.startAnew(); err != nil {
					return err
				}
			case d.ready():
				ready++
			}
		}
		if ready == len(e.daemons) && e.group.allOwned() {
			time.Sleep(2 * time.Second) // the partitions have moved and the owners are known
			e.note("all daemons are ready")
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}

// startAnew starts the process at free ports.
func (d *daemon) startAnew() error {
	for _, addr := range []*string{&d.client, &d.readiness, &d.peer} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*addr = l.Addr().String()
		defer func() { _ = l.Close() }() // frees the port for the daemon, which takes some time to start
	}
	d.settings = filepath.Join(d.env.dir, d.name+".toml")
	if err := os.WriteFile(d.settings, []byte(d.env.settings(d, d.zone)), 0o600); err != nil {
		return err
	}
	return d.start()
}

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// settings returns the settings that the deployment's template gives.
func (e *env) settings(d *daemon, zone string) string {
	return fmt.Sprintf(`entry = %q
zone = %q
client = %q
readiness = %q
peer = %q
machines = %q
advice = ""
control_mode = "invoke"
memory = 284_000_000
cpu_share = 0.4
cores = 1
grace = "6s"

[log]
address = %q
parts = %d
min_ttl = "1000ms"

[bounds]
stop_timeout = "400ms"
remote_cost = 2
retention = "120s"
machine_lease = "3000ms"
upkeep = "2s"
config_apply = "2000ms"
drain = "2000ms"
`, d.name, zone, d.client, d.readiness, d.peer, e.vmAddr, d.gate.Addr, partitions)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.cmd = exec.Command("target/toucanjobd")
	d.cmd.Env = append(os.Environ(), "TOUCANHATCH_SETTINGS="+d.settings, "TOUCANHATCH_MAX_RECORD=262144", "TOUCANHATCH_MAX_APPEND=2097152")
	logFile, err := os.Create(filepath.Join(d.env.dir, d.name+".log"))
	if err != nil {
		return err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if logFile, err = os.Create(filepath.Join(keep, d.name+".log")); err != nil {
			return err
		}
	}
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // killed
		close(exited)
	}(d.cmd, d.exited)
	d.env.note("%s started, process %d, clients at %s", d.name, d.cmd.Process.Pid, d.client)
	return nil
}

// kill ends the process without notice.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill() // it may have ended
	<-d.exited
}

func (d *daemon) ready() bool {
	resp, err := httpClient.Get("http://" + d.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it is empty
	return resp.StatusCode == http.StatusOK
}

// owner returns the daemon that owns a pool, and another one.
func (e *env) owner(pool string) (owner, other *daemon) {
	member := e.group.holder(plog.TopicPartition{Topic: shard.JobsTopic, Partition: shard.PartitionOf(ident.PoolID(pool), partitions)})
	for _, d := range e.daemons {
		if strings.HasPrefix(member, d.peer+"/") {
			owner = d
		} else {
			other = d
		}
	}
	return owner, other
}

// lateTime is how long after its arrival a write without an answer is carried out.
const lateTime = 3 * time.Second

// serveLog serves a daemon's call of the log.
func (e *env) serveLog(w http.ResponseWriter, r *http.Request, d *daemon) {
	if r.URL.Path != "/-/log-append" {
		e.log.ServeHTTP(w, r)
		return
	}
	lose := r.ContentLength > 0 && e.loseWrite != nil && e.loseWrite(r)
	e.countWrite(lose)
	if !lose {
		e.log.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.note("the log: a write of %s to partition %s (epoch %s, seq %s) gets no answer, and is carried out later", d.name, r.URL.Query().Get("part"), r.URL.Query().Get("epoch"), r.URL.Query().Get("seq"))
	late := r.Clone(context.Background())
	time.AfterFunc(lateTime, func() {
		late.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		e.log.ServeHTTP(answer, late)
		e.note("the log: the write of %s (epoch %s, seq %s) is carried out: %d %s", d.name, late.URL.Query().Get("epoch"), late.URL.Query().Get("seq"), answer.Code, strings.TrimSpace(answer.Body.String()))
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// separated reports whether a zone is cut off from another.
func (e *env) separated(a, b string) bool {
	cut := e.isolated.Load()
	return cut != nil && *cut != "" && (a == *cut) != (b == *cut)
}

// countWrite counts a call that writes to the log.
func (e *env) countWrite(lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts {
		e.writes++
	}
	if lost {
		e.lost++
	}
}

// count begins to count writes, or ends it.
func (e *env) count(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts = on
}

// cutZone partitions a zone from the log and the other zones, or connects it again. Requests within the zone pass.
func (e *env) cutZone(zone string, on bool) {
	for _, d := range e.daemons {
		if d.zone == zone {
			state := local.Undisturbed
			if on {
				state = local.Silent
			}
			d.gate.Disturb(state)
		}
	}
	name := ""
	if on {
		name = zone
	}
	e.isolated.Store(&name)
	if on {
		e.note("zone %s is cut off", zone)
	} else {
		e.note("zone %s is connected again", zone)
	}
}
