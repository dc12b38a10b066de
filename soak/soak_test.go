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
	"github.com/toucanhatch/toucanhatch/platform/local"
)

var (
	seeds = flag.Int("seeds", 1, "number of seeds to run")
	first = flag.Uint64("first", 1, "first seed")
	// otherBuild lets two versions of the program work in one group.
	otherBuild = flag.String("other_build", "", "path of a toucanjobd of another version, which every second process runs")
)

// daemonVariable makes this program a daemon: the soak starts itself.
const daemonVariable = "SOAK_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(jobcli.Main([]string{"toucanjobd", "--settings", os.Getenv(daemonVariable)}))
	}
	os.Exit(m.Run())
}

const (
	daemons  = 4
	faultsIn = 12 * time.Second // during which faults are injected
	calmIn   = 40 * time.Second // in which all accepted jobs must be over
	host     = "desk.example"
)

// known lists the seeds that ever failed, with the cause; they are always run.
var known = []struct {
	seed  uint64
	cause string
}{}

// TestSoak plays random faults over separate processes. It guards against
// jobs that are lost, refused and run, or run twice, and against false states.
func TestSoak(t *testing.T) {
	for _, k := range known {
		t.Run(fmt.Sprintf("known-%d", k.seed), func(t *testing.T) { run(t, k.seed) })
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, seed) })
	}
}

// process is one daemon behind its own relay to the store.
type process struct {
	t        *testing.T
	n        int
	dir      string
	client   string
	settings string
	relay    *fakes.Relay

	mu     sync.Mutex
	proc   *os.Process
	exited chan struct{}
}

func newProcess(t *testing.T, n int, store string) *process {
	t.Helper()
	p := &process{t: t, n: n, dir: t.TempDir(), client: local.Addr(), relay: &fakes.Relay{Upstream: store}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { _ = p.relay.Serve(l) }() // ends with the listener
	p.settings = filepath.Join(p.dir, "settings.toml")
	text := fmt.Sprintf("entry = \"entry-%d\"\nzone = \"z1\"\nclient = %q\nreadiness = %q\npeer = %q\ngrace = \"4s\"\n[log]\naddress = %q\nparts = 12\n[bounds]\nstop_timeout = \"400ms\"\n",
		n, p.client, local.Addr(), local.Addr(), l.Addr().String())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer out.Close()
	program, args := os.Args[0], os.Args[:1]
	if *otherBuild != "" && p.n%2 == 1 {
		program, args = *otherBuild, []string{*otherBuild, "--settings", p.settings}
	}
	p.proc, err = os.StartProcess(program, args, &os.ProcAttr{
		Env: append(os.Environ(), daemonVariable+"="+p.settings), Files: []*os.File{nil, out, out},
	})
	if err != nil {
		p.t.Error(err)
		return
	}
	p.exited = make(chan struct{})
	go func(proc *os.Process, exited chan struct{}) {
		_, _ = proc.Wait() // how it ended is the fault's doing
		close(exited)
	}(p.proc, p.exited)
}

// signal sends s to this process only, and waits for its end if it ends it.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	proc, exited := p.proc, p.exited
	p.mu.Unlock()
	_ = proc.Signal(s) // it may have ended
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		<-exited
	}
}

// fault injects one fault and undoes it after a while.
func (p *process) fault(rng *rand.Rand, note func(string, ...any)) {
	hold := time.Duration(200+rng.IntN(3500)) * time.Millisecond
	switch kind := rng.IntN(6); kind {
	case 0:
		note("kill %d", p.n)
		p.signal(syscall.SIGKILL)
		time.Sleep(hold / 3)
		p.start()
	case 1:
		note("terminate %d", p.n)
		p.signal(syscall.SIGTERM)
		p.start()
	case 2:
		note("pause %d for %v", p.n, hold)
		p.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		p.signal(syscall.SIGCONT)
	default:
		mode := []fakes.RelayMode{fakes.RelayRefuse, fakes.RelaySilence, fakes.RelayHole}[kind-3]
		note("store %s for %d, %v", mode, p.n, hold)
		p.relay.SetMode(mode)
		time.Sleep(hold)
		p.relay.SetMode(fakes.RelayPass)
	}
}

// book is what the clients were told.
type book struct {
	mu       sync.Mutex
	accepted map[string]bool // path → stored
	unsure   map[string]bool
	refused  map[string]bool // all attempts were refused
}

func run(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet, err := local.NewFleet(ctx, []string{"cut", "sew"}, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	fleet.Configure(ctx, 1, host, []string{"cut", "sew"})
	var all []*process
	for n := range daemons {
		p := newProcess(t, n, fleet.Addr)
		p.start()
		all = append(all, p)
	}
	defer func() {
		for _, p := range all {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			if t.Failed() {
				keepLog(t, p, seed)
			}
		}
	}()
	var notes []string
	var noteMu sync.Mutex
	begin := time.Now()
	note := func(format string, args ...any) {
		noteMu.Lock()
		defer noteMu.Unlock()
		notes = append(notes, fmt.Sprintf("%6.2f s ", time.Since(begin).Seconds())+fmt.Sprintf(format, args...))
	}
	time.Sleep(time.Second)
	for _, p := range all {
		select {
		case <-p.exited:
			t.Fatalf("daemon %d has ended before the first fault", p.n)
		default:
		}
	}

	b := &book{accepted: map[string]bool{}, unsure: map[string]bool{}, refused: map[string]bool{}}
	var clients, faults sync.WaitGroup
	end := time.Now().Add(faultsIn)
	for n := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		clients.Go(func() { b.client(rng, n, all, end) })
	}
	for n := range 2 { // two series of faults that overlap
		rng := rand.New(rand.NewPCG(seed, 100+uint64(n)))
		faults.Go(func() {
			for time.Now().Before(end) {
				all[2*n+rng.IntN(2)].fault(rng, note)
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
				if rng.IntN(4) == 0 {
					x := fleet.Targets[rng.IntN(len(fleet.Targets))]
					note("crash target %s", x.ID)
					x.Crash()
				}
			}
		})
	}
	clients.Wait()
	faults.Wait()
	b.check(t, all, fleet)
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, strings.Join(notes, "\n"))
	}
}

// client hands jobs in, as clients do: where the outcome isn't known, again under the same id.
func (b *book) client(rng *rand.Rand, n int, all []*process, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		path := fmt.Sprintf("/%s/%08x%08x", []string{"cut", "sew"}[rng.IntN(2)], n+1, i)
		body := local.TwoSteps(fmt.Sprint(100+rng.IntN(900)), 300, 3, 2)
		for range 6 {
			status, _ := call(http.MethodPost, all[rng.IntN(len(all))].client, path, body)
			b.told(path, status)
			if status == http.StatusOK {
				break
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rng.IntN(250)) * time.Millisecond)
	}
}

func (b *book) told(path string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch status {
	case http.StatusOK:
		b.accepted[path] = true
		delete(b.refused, path)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if !b.accepted[path] && !b.unsure[path] {
			b.refused[path] = true
		}
	default:
		b.unsure[path] = true
		delete(b.refused, path)
	}
}

func call(method, addr, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set(local.DeadlineHeader, "3000")
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
	_ = json.Unmarshal(data, &state) // answers without a state have none
	return resp.StatusCode, state.State
}

// check waits until all accepted jobs are completed and looks at what the targets have seen.
func (b *book) check(t *testing.T, all []*process, fleet *local.Fleet) {
	limit := time.Now().Add(calmIn)
	open := 0
	for path := range b.accepted {
		for {
			status, state := call(http.MethodGet, all[0].client, path, "")
			if state == "completed" {
				break
			}
			if status == http.StatusGone {
				t.Errorf("%s was accepted and is not known", path)
				break
			}
			if time.Now().After(limit) {
				open++
				t.Errorf("%s was accepted and is %q (%d) %v after the last fault", path, state, status, calmIn)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for path := range b.refused {
		id := path[strings.LastIndexByte(path, '/')+1:]
		if fleet.Recorder.Started(id) {
			t.Errorf("%s was refused by all attempts and has run", path)
		}
	}
	for _, f := range fleet.Recorder.Violations() {
		t.Error(f)
	}
	t.Logf("%d accepted, %d with an unknown outcome, %d refused, %d open", len(b.accepted), len(b.unsure), len(b.refused), open)
	if len(b.accepted) == 0 {
		t.Error("no job was accepted")
	}
}

// keepLog copies the log of a daemon to where it outlasts the test.
func keepLog(t *testing.T, p *process, seed uint64) {
	data, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		t.Log(err)
		return
	}
	name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%d.log", seed, p.n))
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Log(err)
		return
	}
	t.Logf("log of daemon %d: %s", p.n, name)
}
