package integ

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/toucanhatch/toucanhatch/internal/daemon"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/opcli"
	"github.com/toucanhatch/toucanhatch/internal/wire"
)

// These flags let two versions of toucand run in one group.
var (
	otherBuild = flag.String("other_build", "", "path of a toucand of another version, which runs the settings files that other_files matches")
	otherFiles = flag.String("other_files", `(2|-b)\.toml$`, "regular expression of the settings files that the toucand of other_build runs")
)

// The environment variables that pass the flags to the toucand of a script.
const (
	otherBuildEnv = "OTHER_BUILD"
	otherFilesEnv = "OTHER_FILES"
)

// waitLimit limits every wait of a script, so that each script ends within a minute.
const waitLimit = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"toucand":    func() { writePID(os.Args); execOtherBuild(os.Args); os.Exit(daemon.Main(os.Args)) },
		"toucanctl":  func() { os.Exit(opcli.Main(os.Args)) },
		"fakelog":    func() { os.Exit(fakes.PlatformMain(os.Args)) },
		"faketarget": func() { os.Exit(fakes.TargetMain(os.Args)) },
		"fakerelay":  func() { os.Exit(fakes.RelayMain(os.Args)) },
		// trytoucanctl runs toucanctl, prints its exit code and succeeds, for commands that may fail, such as one of two
		// concurrent ones.
		"trytoucanctl": func() { fmt.Println("exit code", opcli.Main(os.Args)) },
		"call":         func() { os.Exit(call(os.Args[1:])) },
		"load":         func() { os.Exit(load(os.Args[1:])) },
		"raw":          func() { os.Exit(raw(os.Args[1:])) },
	})
}

// TestScenarios runs the scripts in testdata. Each checks one of the guarantees in docs/proofs.md.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv(otherBuildEnv, *otherBuild)
			e.Setenv(otherFilesEnv, *otherFiles)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"freeport":      freePort,
			"subst":         substitute,
			"signal":        signalProcess,
			"waitfile":      waitFile,
			"waitclosed":    waitClosed,
			"matchone":      matchOne,
			"appendunknown": appendUnknown,
			"waithome":      waitHome,
			"waitatleast":   waitAtLeast,
			"settime":       setTime,
		},
	})
}

// hostCount counts the loopback addresses that freePort has used.
var hostCount atomic.Uint32

// freePort sets each named variable to a loopback address with a free port: freeport NAME...
// Each call uses a loopback address of its own, because a port that is free on a
// shared one may be taken by another script, or by an outgoing connection, before
// the process that is meant to listen there starts. The port is chosen by opening a
// UDP socket: a TCP socket would be inherited for a moment by a process that another
// script starts at the same time, and would block the address.
func freePort(ts *testscript.TestScript, _ bool, args []string) {
	n := uint32(os.Getpid())<<8 | hostCount.Add(1)&0xff
	host := net.IPv4(127, 1+byte(n>>16)%254, byte(n>>8), 1+byte(n)%254).String()
	for _, name := range args {
		l, err := net.ListenPacket("udp", net.JoinHostPort(host, "0"))
		ts.Check(err)
		defer l.Close() // kept open until all ports are chosen, so that they differ
		ts.Setenv(name, l.LocalAddr().String())
	}
}

// substitute replaces ${NAME} in files with the variables of the script: subst FILE...
func substitute(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		data, err := os.ReadFile(path)
		ts.Check(err)
		text := os.Expand(string(data), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// waitFile waits until each of the files exists: waitfile FILE...
func waitFile(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		for deadline := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
			if _, err := os.Stat(ts.MkAbs(name)); err == nil {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("file %s was not created in time", name)
			}
		}
	}
}

// waitClosed waits until each address refuses connections: waitclosed ADDRESS...
func waitClosed(ts *testscript.TestScript, _ bool, args []string) {
	for _, addr := range args {
		for deadline := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				break
			}
			c.Close()
			if time.Now().After(deadline) {
				ts.Fatalf("%s still accepts connections", addr)
			}
		}
	}
}

// writePID writes the process ID of a toucand to a file next to its settings file: entry.toml.pid.
func writePID(args []string) {
	for i := 1; i+1 < len(args); i++ {
		if args[i] == "--settings" {
			_ = os.WriteFile(args[i+1]+".pid", []byte(strconv.Itoa(os.Getpid())), 0o600)
		}
	}
}

// execOtherBuild replaces this process with the toucand of -other_build, if that is
// set and -other_files matches the settings file in args.
func execOtherBuild(args []string) {
	other := os.Getenv(otherBuildEnv)
	if other == "" || !slices.ContainsFunc(args, regexp.MustCompile(os.Getenv(otherFilesEnv)).MatchString) {
		return
	}
	if err := syscall.Exec(other, args, os.Environ()); err != nil {
		fmt.Fprintln(os.Stderr, "cannot run the toucand of -other_build:", err)
		os.Exit(1)
	}
}

// signalProcess sends a signal to the process whose ID is in a file: signal STOP|CONT|KILL|TERM FILE
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
	}
	sig, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %q", args[0])
	}
	data, err := os.ReadFile(ts.MkAbs(args[1]))
	ts.Check(err)
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	ts.Check(err)
	ts.Check(syscall.Kill(pid, sig))
	if sig == syscall.SIGSTOP { // a process that is still stopped when the script fails would not exit
		ts.Defer(func() { _ = syscall.Kill(pid, syscall.SIGCONT) })
	}
}

// matchOne fails unless exactly one of the files matches: matchone REGEXP FILE...
func matchOne(ts *testscript.TestScript, _ bool, args []string) {
	re := regexp.MustCompile(args[0])
	n := 0
	for _, name := range args[1:] {
		if re.MatchString(ts.ReadFile(name)) {
			n++
		}
	}
	if n != 1 {
		ts.Fatalf("%d of %v match %q, want exactly 1", n, args[1:], args[0])
	}
}

// appendUnknown appends a record of a kind that this version does not know, as a later version may: appendunknown STREAM-URL
func appendUnknown(ts *testscript.TestScript, _ bool, args []string) {
	data, err := wire.Marshal([]any{"later_kind", map[string]int{}})
	ts.Check(err)
	resp, err := http.Post(args[0], "application/cbor", bytes.NewReader(data))
	ts.Check(err)
	ts.Check(resp.Body.Close())
}

// setTime sets a variable to the current time plus a duration: settime NAME 6h
func setTime(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], time.Now().Add(d).UTC().Format(time.RFC3339))
}
