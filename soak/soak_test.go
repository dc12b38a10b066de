package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobcli"
	"github.com/toucanhatch/toucanhatch/platform"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

var (
	seeds = flag.Int("seeds", 1, "number of seeds to run besides the known ones")
	first = flag.Uint64("first", 1, "first seed")
	size  = flag.Int("daemons", 0, "daemons in each run; 0 for 4, and 48 in each tenth")
	// otherBuild lets two versions of the program run in one group.
	otherBuild = flag.String("other_build", "", "path of a toucanjobd of another version, which every second daemon runs")
)

// daemonSettingsEnv is the environment variable that makes the test program run as a daemon with the settings file that
// it names: the test starts its daemons by executing itself.
const daemonSettingsEnv = "SOAK_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonSettingsEnv) != "" {
		fmt.Println(`{"@message":"main"}`) // see awaitMain
		os.Exit(jobcli.Main([]string{"toucanjobd", "--settings", os.Getenv(daemonSettingsEnv)}))
	}
	os.Exit(m.Run())
}

const (
	daemonCount   = 4
	crowdedSeeds  = 10 // each tenth seed runs crowdedCount daemons
	crowdedCount  = 48
	faultPeriod   = 12 * time.Second       // how long faults are injected
	recoveryLimit = 40 * time.Second       // after the last fault, all accepted jobs must be completed within this time
	handlerTime   = 100 * time.Millisecond // from the first output of a daemon until it handles reloads
	crashingShare = 40                     // one job in so many has a task that crashes each target that starts it
	maxCrashes    = 5                      // of targets by one task
	largeShare    = 30                     // one job in so many has largeTasks tasks, whose state takes several records
	largeTasks    = 150
	slowLink      = 10e6 / 8 // bytes a second between a daemon and the store
	jobHost       = "desk.example"
)

var soakPools = []string{"cut", "sew"}

// knownSeeds lists the seeds that failed once, with the cause. They run every time.
var knownSeeds = []struct {
	seed  uint64
	cause string
}{
	{41002, "a task crashed 13 targets: each takeover hid a crash"},
	{41005, "tasks ran again: a request acknowledged ends of a new incarnation that nobody had read"},
	{44026, "the same between two long polls, although the restart was known"},
}

// TestSoak injects random faults into a group of daemons. It guards against accepted
// jobs that are lost, refused jobs that run, canceled jobs that start, jobs that run twice, wrong job states, routes that are denied, dropped routes that are
// served, and tasks that crash target after target.
func TestSoak(t *testing.T) {
	for _, k := range knownSeeds {
		t.Run(fmt.Sprintf("known-%d", k.seed), func(t *testing.T) { runSeed(t, k.seed, nil, "") })
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, nil, "") })
	}
}

// daemonProcess is a daemon that reaches the store through a relay of its own.
type daemonProcess struct {
	t            *testing.T
	index        int
	dir          string
	clientAddr   string
	settingsPath string
	relay        *fakes.Relay
	gate         *local.Gate // between the relay and the store

	mu      sync.Mutex
	proc    *os.Process
	exited  chan struct{} // closed when proc has exited
	logSize int64         // when proc was started
}

// newDaemonProcess starts the relay and the gate to the store, and writes the settings of a daemon.
func newDaemonProcess(t *testing.T, index int, fleet *local.Fleet, settings string) *daemonProcess {
	t.Helper()
	gate, err := fleet.AddGateOver(t.Context(), local.NewLink(slowLink))
	if err != nil {
		t.Fatal(err)
	}
	p := &daemonProcess{t: t, index: index, dir: t.TempDir(), clientAddr: local.Addr(), relay: &fakes.Relay{Upstream: gate.Addr}, gate: gate}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { _ = p.relay.Serve(l) }() // ends with the listener
	p.settingsPath = filepath.Join(p.dir, "settings.toml")
	text := fmt.Sprintf("entry = \"entry-%d\"\nzone = \"z1\"\nclient = %q\nreadiness = %q\npeer = %q\ngrace = \"4s\"\n[log]\naddress = %q\nparts = 12\n[bounds]\nstop_timeout = \"400ms\"\n",
		index, p.clientAddr, local.Addr(), local.Addr(), l.Addr().String()) + settings
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// start starts the daemon; its output goes to a log file.
func (p *daemonProcess) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return // restarted by another series of faults
	}
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer out.Close()
	if info, err := out.Stat(); err == nil {
		p.logSize = info.Size()
	}
	program, args := os.Args[0], os.Args[:1]
	if *otherBuild != "" && p.index%2 == 1 {
		program, args = *otherBuild, []string{*otherBuild, "--settings", p.settingsPath}
	}
	p.proc, err = os.StartProcess(program, args, &os.ProcAttr{
		Env: append(os.Environ(), daemonSettingsEnv+"="+p.settingsPath), Files: []*os.File{nil, out, out},
	})
	if err != nil {
		p.t.Error(err)
		return
	}
	p.exited = make(chan struct{})
	go func(proc *os.Process, exited chan struct{}) {
		_, _ = proc.Wait() // the exit status depends on the fault
		close(exited)
	}(p.proc, p.exited)
}

// running reports whether the daemon has been started and has not exited. The caller holds p.mu.
func (p *daemonProcess) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends s to the daemon, and waits until the daemon has exited if s ends it.
func (p *daemonProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	proc, exited := p.proc, p.exited
	p.mu.Unlock()
	_ = proc.Signal(s) // fails if the process has exited
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		<-exited
	}
}

// awaitMain waits until the daemon has written to its log, or has exited. Before main runs, a reload would end the process,
// which nobody starts again here.
func (p *daemonProcess) awaitMain() {
	for {
		p.mu.Lock()
		running, size := p.running(), p.logSize
		p.mu.Unlock()
		info, err := os.Stat(filepath.Join(p.dir, "log"))
		if !running || err == nil && info.Size() > size {
			time.Sleep(handlerTime)
			return
		}
		time.Sleep(handlerTime / 10)
	}
}

// injectFault injects one random fault and undoes it after a random time. It describes the fault with logf.
func (p *daemonProcess) injectFault(rng *rand.Rand, logf func(string, ...any)) {
	duration := time.Duration(200+rng.IntN(3500)) * time.Millisecond
	switch kind := rng.IntN(6); kind {
	case 0:
		logf("kill %d", p.index)
		p.signal(syscall.SIGKILL)
		time.Sleep(duration / 3)
		p.start()
	case 1:
		logf("terminate %d", p.index)
		p.signal(syscall.SIGTERM)
		p.start()
	case 2:
		logf("pause %d for %v", p.index, duration)
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	default:
		mode := []fakes.RelayMode{fakes.RelayRefuse, fakes.RelayDropExisting, fakes.RelayDropAll}[kind-3]
		logf("relay mode %q for %d for %v", mode, p.index, duration)
		p.relay.SetMode(mode)
		time.Sleep(duration)
		p.relay.SetMode(fakes.RelayPass)
	}
}

// injectOverlapping injects a short series of reloads, restarts and cuts, of which some meet the faults of other series.
func (p *daemonProcess) injectOverlapping(rng *rand.Rand, logf func(string, ...any)) {
	for range 1 + rng.IntN(4) {
		switch kind := rng.IntN(5); kind {
		case 0:
			logf("terminate %d beside other faults", p.index)
			p.signal(syscall.SIGTERM)
			p.start()
		case 1:
			logf("silent connections of %d", p.index)
			p.relay.SetMode(fakes.RelayDropExisting)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			p.relay.SetMode(fakes.RelayPass)
		case 2:
			d := []local.Disturbance{local.Silent, local.Busy}[rng.IntN(2)]
			logf("records of the operators are %s for %d", d, p.index)
			p.gate.DisturbTopic("op", d)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			p.gate.DisturbTopic("op", local.Undisturbed)
		default:
			logf("reload %d", p.index)
			p.awaitMain()
			p.signal(syscall.SIGHUP)
		}
	}
}

// outcomes records for each job, identified by its path, what the responses to its submissions said.
type outcomes struct {
	tenants *tenantChanges // nil without tenants; client n is that of tenant n

	mu       sync.Mutex
	accepted map[string]bool
	unknown  map[string]bool // an attempt had neither an acceptance nor a refusal as response
	refused  map[string]bool // by every attempt
	crashing map[string]bool // its only task crashes each target that starts it
	long     bool            // some jobs have long specifications
}

// runSeed runs the daemons, clients and faults of one seed and checks the outcomes. The configurations have the tenants of
// c and its changes; if it is nil, they have none, and routes change. The daemons have some settings in addition.
func runSeed(t *testing.T, seed uint64, c *tenantChanges, settings string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet, err := local.NewFleet(ctx, soakPools, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	o := &outcomes{tenants: c, accepted: map[string]bool{}, unknown: map[string]bool{}, refused: map[string]bool{}, crashing: map[string]bool{}, long: settings == smallSpace}
	var l *leavers
	if c == nil {
		fleet.Configure(ctx, 1, jobHost, soakPools)
		l = newLeavers(fleet)
	} else {
		c.init(t, fleet, o)
	}
	count := daemonCount
	if seed%crowdedSeeds == 0 {
		count = crowdedCount
	}
	if *size > 0 {
		count = max(*size, daemonCount)
	}
	var daemons []*daemonProcess
	for n := range count {
		p := newDaemonProcess(t, n, fleet, settings)
		p.start()
		daemons = append(daemons, p)
	}
	defer func() {
		for _, p := range daemons {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			if t.Failed() {
				saveLog(t, p, seed)
			}
		}
	}()
	var faultLog []string
	var faultLogMu sync.Mutex
	begin := time.Now()
	logf := func(format string, args ...any) {
		faultLogMu.Lock()
		defer faultLogMu.Unlock()
		faultLog = append(faultLog, fmt.Sprintf("%6.2f s ", time.Since(begin).Seconds())+fmt.Sprintf(format, args...))
	}
	time.Sleep(time.Second)
	for _, p := range daemons {
		select {
		case <-p.exited:
			t.Fatalf("daemon %d exited before the first fault", p.index)
		default:
		}
	}

	var clients, faults sync.WaitGroup
	end := time.Now().Add(faultPeriod)
	for n := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		sizes := rand.New(rand.NewPCG(seed, 400+uint64(n)))
		clients.Go(func() { o.submitJobs(rng, sizes, n, daemons, end) })
	}
	if l != nil {
		rng := rand.New(rand.NewPCG(seed, 700))
		clients.Go(func() { l.run(rng, 4, daemons, end) })
	}
	for n := range 2 { // two concurrent series of faults, each over two of the daemons
		rng := rand.New(rand.NewPCG(seed, 100+uint64(n)))
		faults.Go(func() {
			for time.Now().Before(end) {
				daemons[2*n+rng.IntN(2)].injectFault(rng, logf)
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
				if rng.IntN(4) == 0 {
					target := fleet.Targets[rng.IntN(len(fleet.Targets))]
					logf("crash target %s", target.ID)
					target.Crash()
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 200))
	versionSizes := rand.New(rand.NewPCG(seed, 600))
	faults.Go(func() {
		if c != nil {
			c.run(rng, daemons, end, logf)
			return
		}
		(&routeChanges{t: t, rng: rng, sizes: versionSizes, fleet: fleet, daemons: daemons}).run(end)
	})
	odd := rand.New(rand.NewPCG(seed, 500))
	faults.Go(func() {
		for time.Now().Before(end) {
			entries := local.OddEntries(string(rune('a'+odd.IntN(26)))+"-", fleet.Targets[odd.IntN(len(fleet.Targets))])
			fleet.Store.PutRecords(ctx, "servers", entries[odd.IntN(len(entries))])
			time.Sleep(time.Duration(odd.IntN(200)) * time.Millisecond)
		}
	})
	overlapping := rand.New(rand.NewPCG(seed, 300))
	faults.Go(func() {
		for time.Now().Before(end) {
			daemons[overlapping.IntN(len(daemons))].injectOverlapping(overlapping, logf)
			time.Sleep(time.Duration(overlapping.IntN(1000)) * time.Millisecond)
		}
	})
	clients.Wait()
	faults.Wait()
	if c != nil {
		c.finish()
	}
	o.check(t, daemons, fleet)
	if c != nil {
		c.check()
	} else {
		l.check(t, daemons)
	}
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, strings.Join(faultLog, "\n"))
	}
}

// submitJobs submits jobs until end, as client n. Like a client of the service, it submits a job again under the same ID
// until the job is accepted, up to six times.
func (o *outcomes) submitJobs(rng, sizes *rand.Rand, n int, daemons []*daemonProcess, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		path := fmt.Sprintf("/%s/%08x%08x", soakPools[rng.IntN(len(soakPools))], n+1, i)
		body := local.TwoSteps(fmt.Sprint(100+rng.IntN(900)), 300, 3, 2)
		if sizes.IntN(largeShare) == 0 {
			body = local.TwoSteps(fmt.Sprint(100+sizes.IntN(400)), 300, largeTasks, 2)
		}
		if o.long && sizes.IntN(spaceShare) == 0 {
			body = longJob(sizes)
		}
		if rng.IntN(crashingShare) == 0 {
			body = local.TwoSteps("crashes", 300, 1, 1)
			o.mu.Lock()
			o.crashing[path] = true
			o.mu.Unlock()
		}
		for range 6 {
			status, _ := o.call(http.MethodPost, daemons[rng.IntN(len(daemons))], path, body)
			o.record(path, status)
			if status == http.StatusOK {
				break
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rng.IntN(250)) * time.Millisecond)
	}
}

// record records the status of the response to a submission; status 0 stands for none.
func (o *outcomes) record(path string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch status {
	case http.StatusOK:
		o.accepted[path] = true
		delete(o.refused, path)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusUnauthorized:
		if !o.accepted[path] && !o.unknown[path] {
			o.refused[path] = true
		}
	default:
		o.unknown[path] = true
		delete(o.refused, path)
	}
}

// call sends a request for a job, with a key of its tenant if there are tenants.
func (o *outcomes) call(method string, p *daemonProcess, path, body string) (int, string) {
	if o.tenants != nil {
		return o.tenants.call(method, p, o.tenants.key(tenantOf(path)), path, body)
	}
	return call(method, p.clientAddr, path, "", body)
}

// call sends a request, with a key unless it is empty, and returns the status of the response and the job state in its body. Without a complete response
// the status is 0.
func call(method, addr, path, key, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return callWithin(ctx, method, addr, path, key, body)
}

// callWithin is call by a client that leaves when the context ends.
func callWithin(ctx context.Context, method, addr, path, key, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = jobHost
	req.Header.Set(local.DeadlineHeader, "3000")
	if key != "" {
		req.Header.Set(platform.KeyHeader, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var state struct{ State string }
	_ = json.Unmarshal(data, &state) // not all responses have a state
	return resp.StatusCode, state.State
}

// check waits until all accepted jobs are completed, or have failed if they can't be done, and checks that no refused job has run and what the recorder of the
// targets reports.
func (o *outcomes) check(t *testing.T, daemons []*daemonProcess, fleet *local.Fleet) {
	deadline := time.Now().Add(recoveryLimit)
	unfinished := 0
	for path := range o.accepted {
		want := "completed"
		if o.crashing[path] {
			want = "failed"
		}
		for {
			status, state := o.call(http.MethodGet, daemons[0], path, "")
			if state == want {
				break
			}
			if status == http.StatusGone {
				t.Errorf("%s was accepted, but the service does not know it", path)
				break
			}
			if time.Now().After(deadline) {
				unfinished++
				t.Errorf("%s was accepted, but its state is %q (status %d) %v after the last fault", path, state, status, recoveryLimit)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for path := range o.refused {
		id := path[strings.LastIndexByte(path, '/')+1:]
		if fleet.Recorder.Started(id) {
			t.Errorf("%s was refused by every attempt, but has run", path)
		}
	}
	for task, n := range fleet.Recorder.Crashes() {
		if n > maxCrashes {
			t.Errorf("%s crashed %d targets, want at most %d", task, n, maxCrashes)
		}
	}
	for _, v := range fleet.Recorder.Violations() {
		t.Error(v)
	}
	t.Logf("%d accepted, %d with an unknown outcome, %d refused, %d not completed", len(o.accepted), len(o.unknown), len(o.refused), unfinished)
	if len(o.accepted) == 0 {
		t.Error("no job was accepted")
	}
}

// saveLog copies the log of a daemon out of the test's directory, which is removed after the test.
func saveLog(t *testing.T, p *daemonProcess, seed uint64) {
	data, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		t.Log(err)
		return
	}
	name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%d.log", seed, p.index))
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Log(err)
		return
	}
	t.Logf("log of daemon %d: %s", p.index, name)
}
