package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime     = 6 * time.Second
	restartPause  = 300 * time.Millisecond // the platform starts an ended process again after a short delay
	readyPeriod   = time.Second
	readyTimeout  = 20 * time.Second // from the start of the daemons until all are ready
	clientPort    = 8624
	readinessPort = 8622
)

// daemon is one process of the system on a machine of its own.
type daemon struct {
	name, ip, zone string
	program        string
	dir            string // of its settings and its log

	mu      sync.Mutex
	process *os.Process
	ready   bool
	wanted  bool
}

// deployment holds the daemons of the system.
type deployment struct {
	root    string // of the repository
	daemons []*daemon
	journal *journal
	wg      sync.WaitGroup
}

var (
	buildLine = regexp.MustCompile(`(?m)^run = "([^"]+)"$`)
	field     = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// settings fills in the template of the deploy file.
func settings(root string, values map[string]string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy/settings.toml.tmpl"))
	if err != nil {
		return "", err
	}
	missing := ""
	out := field.ReplaceAllStringFunc(string(b), func(s string) string {
		name := strings.Trim(s, "{}")
		v, ok := values[name]
		if !ok {
			missing += " " + name
		}
		return v
	})
	if missing != "" {
		return "", fmt.Errorf("the template of the settings asks for%s", missing)
	}
	return out, nil
}

// newDeployment prepares one daemon for each zone given; its machines have addresses that begin with host.
func newDeployment(root, dir, host string, zones []string, storeAddr, cloudAddr string, j *journal) (*deployment, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	m := buildLine.FindSubmatch(b)
	if m == nil {
		return nil, fmt.Errorf("deploy/system.toml names no program")
	}
	d := &deployment{root: root, journal: j}
	for i, zone := range zones {
		x := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", host, i+1), zone: zone, program: string(m[1]), dir: filepath.Join(dir, fmt.Sprintf("edge-%d", i+1))}
		text, err := settings(root, map[string]string{
			"node-name": x.name, "zone": zone, "ip": x.ip, "port-range.0": "7060", "hint": cloudAddr, "control-mode": "invoke",
			"listen.frontend": fmt.Sprintf("%s:%d", x.ip, clientPort), "listen.readiness": fmt.Sprintf("%s:%d", x.ip, readinessPort),
			"cloud-api.addr": cloudAddr, "platform.addr": storeAddr, "platform.parts": strconv.Itoa(partitionCount), "platform.min-ttl-ms": "1000",
			"limits.memory-mb": "284", "limits.cpu-share": "0.4", "limits.cores": "1",
			"bounds.grace-s": "6", "bounds.stop-timeout-ms": "400", "bounds.remote-penalty": "2", "bounds.status_s": "120", "bounds.lease-ms": "3000",
			"bounds.maintenance-s": "2", "bounds.config-apply-ms": "2000", "bounds.drain-ms": "2000",
		})
		if err != nil {
			return nil, err
		}
		if err := os.MkdirAll(x.dir, 0o755); err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(x.dir, "boot.toml"), []byte(text), 0o644); err != nil {
			return nil, err
		}
		d.daemons = append(d.daemons, x)
	}
	return d, nil
}

// start starts a daemon, which is started again whenever it ends, until stopAll.
func (d *deployment) start(x *daemon) error {
	log, err := os.OpenFile(filepath.Join(x.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	words := strings.Fields(x.program)
	cmd := exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANHATCH_SETTINGS=" + filepath.Join(x.dir, "boot.toml")}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	x.mu.Lock()
	x.process, x.wanted = cmd.Process, true
	x.mu.Unlock()
	d.journal.line(x.name, "process %d started", cmd.Process.Pid)
	d.wg.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		x.mu.Lock()
		x.ready = false
		again := x.wanted
		x.mu.Unlock()
		if again {
			d.journal.line(x.name, "process %d ended by itself or was killed: %v", cmd.Process.Pid, err)
			time.Sleep(restartPause)
			x.mu.Lock()
			again = x.wanted
			x.mu.Unlock()
			if again {
				_ = d.start(x) // reported by the missing readiness
			}
		}
	})
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (d *deployment) startAll(ctx context.Context) error {
	for _, x := range d.daemons {
		if err := d.start(x); err != nil {
			return err
		}
	}
	go d.watchReadiness(ctx)
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(100 * time.Millisecond) {
		if len(d.inRotation()) == len(d.daemons) {
			d.journal.line("balancer", "all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("%d of %d daemons are ready after %v", len(d.inRotation()), len(d.daemons), readyTimeout)
}

// watchReadiness asks each daemon once a second whether it is ready, as the balancer does.
func (d *deployment) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := map[*daemon]int{}
	for ctx.Err() == nil {
		for _, x := range d.daemons {
			resp, err := client.Get("http://" + net.JoinHostPort(x.ip, strconv.Itoa(readinessPort)) + "/-/readyz")
			good := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			if good {
				misses[x] = 0
			} else {
				misses[x]++
			}
			x.mu.Lock()
			x.ready = good || x.ready && misses[x] < 2
			x.mu.Unlock()
		}
		time.Sleep(readyPeriod)
	}
}

// inRotation returns the daemons that get new connections.
func (d *deployment) inRotation() []*daemon {
	var out []*daemon
	for _, x := range d.daemons {
		x.mu.Lock()
		if x.ready {
			out = append(out, x)
		}
		x.mu.Unlock()
	}
	return out
}

// signal sends a signal to a daemon's process.
func (d *deployment) signal(x *daemon, s syscall.Signal) {
	x.mu.Lock()
	p := x.process
	x.mu.Unlock()
	if p != nil {
		d.journal.line(x.name, "gets signal %v", s)
		_ = p.Signal(s) // the process may have ended
	}
}

// stopAll ends all daemons.
func (d *deployment) stopAll() {
	for _, x := range d.daemons {
		x.mu.Lock()
		x.wanted = false
		if x.process != nil {
			_ = x.process.Kill() // the process may have ended
		}
		x.mu.Unlock()
	}
	d.wg.Wait()
}
