package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/daemon"
	"github.com/toucanhatch/toucanhatch/internal/jobcli"
)

const (
	// programEnv makes the test program run as the daemon that it names.
	programEnv = "CROWD_PROGRAM"
	// enableEnv enables the tests. They take minutes and are to run one at a time, apart from those of other packages, which
	// go test runs at the same time.
	enableEnv = "CROWD_TESTS"
	// files is the limit on open descriptors of a daemon.
	files = 1024
	// maxOpenFiles is the bound on open descriptors: a daemon keeps some of its limit for its own connections.
	maxOpenFiles = files * 3 / 4
	// patience ends waits for conditions. It is no requirement on the daemon.
	patience = time.Minute
)

func TestMain(m *testing.M) {
	program := os.Getenv(programEnv)
	switch {
	case program != "":
	case os.Getenv(enableEnv) == "":
		fmt.Printf("not run: set %s=1 to run these tests apart from others, as .ci/run does\n", enableEnv)
		os.Exit(0)
	default:
		os.Exit(m.Run())
	}
	limit := syscall.Rlimit{Cur: files, Max: files}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if program == "toucand" {
		os.Exit(daemon.Main(os.Args))
	}
	os.Exit(jobcli.Main(os.Args))
}

// process is a daemon that the test has started.
type process struct {
	t      *testing.T
	pid    int
	proc   *os.Process
	exited chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.proc.Signal(s); err != nil {
		p.t.Fatalf("the daemon has ended: %v", err)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// start runs the test program as a daemon with the settings; its output goes to a file.
func start(t *testing.T, program, settings string, more ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	proc, err := os.StartProcess(os.Args[0], append([]string{program, "--settings", path}, more...), &os.ProcAttr{
		Env: append(os.Environ(), programEnv+"="+program), Files: []*os.File{nil, output, output},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, pid: proc.Pid, proc: proc, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_, _ = proc.Wait()
	}()
	t.Cleanup(func() {
		_ = proc.Kill()
		<-p.exited
		if data, err := os.ReadFile(path + ".log"); t.Failed() && err == nil {
			t.Logf("last output of the daemon: %s", data[max(0, len(data)-4000):])
		}
	})
	return p
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		p.t.Fatalf("the daemon has ended: %v", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return n * 1024
		}
	}
	p.t.Fatal("the daemon has ended: it has no memory")
	return 0
}

// settle waits until the process has taken in what it takes in: its peak of memory has stayed the same for some seconds.
func (p *process) settle() {
	p.t.Helper()
	last, same := int64(0), 0
	for end := time.Now().Add(patience); same < 30 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if peak := p.peakMemory(); peak > last+last/50 {
			last, same = peak, 0
		}
		same++
	}
}

// openFiles returns the number of open descriptors.
func (p *process) openFiles() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		p.t.Fatalf("the daemon has ended: %v", err)
	}
	return len(entries)
}

// check checks the process against its bounds.
func (p *process) check(maxMemory int64) {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatal("the daemon has ended")
	default:
	}
	memory, open := p.peakMemory(), p.openFiles()
	p.t.Logf("peak of resident memory %.1f MB, %d open descriptors", float64(memory)/1e6, open)
	if memory > maxMemory {
		p.t.Errorf("peak of resident memory: got %d bytes, want %d at most", memory, maxMemory)
	}
	if open > maxOpenFiles {
		p.t.Errorf("open descriptors: got %d, want %d at most", open, maxOpenFiles)
	}
}

// await repeats a request, each time on a connection of its own, until its response is as wanted. Its failure is a request
// that was never answered in many tries.
func await(t *testing.T, what string, want func(status int) bool, newRequest func() *http.Request) {
	t.Helper()
	awaitBody(t, what, func(status int, _ string) bool { return want(status) }, newRequest)
}

// awaitBody is await for responses whose bodies matter.
func awaitBody(t *testing.T, what string, want func(status int, body string) bool, newRequest func() *http.Request) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}, Timeout: 10 * time.Second}
	last := "no try"
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Do(newRequest())
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if want(resp.StatusCode, string(body)) {
			return
		}
		last = fmt.Sprintf("%d %s", resp.StatusCode, body)
	}
	t.Fatalf("%s: not answered as wanted in %v; last: %s", what, patience, last)
}

// awaitUpgrade waits until a listener upgrades a connection to a WebSocket.
func awaitUpgrade(t *testing.T, addr, request string) {
	t.Helper()
	last := error(nil)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", addr, 5*time.Second)
		if err != nil {
			last = err
			continue
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, request)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the connection is closed
		c.Close()
		if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
			return
		}
		last = err
	}
	t.Fatalf("no upgrade in %v: %v", patience, last)
}

func isStatus(want int) func(int) bool { return func(got int) bool { return got == want } }

func anyStatus(int) bool { return true }
