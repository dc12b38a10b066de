package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// services of the small deployment, with the workers of each zone.
var services = []struct {
	name    string
	workers int
}{{"bakery-desk", 9}, {"welder-desk", 9}}

var zones = []string{"nyarugenge", "kicukiro", "gasabo"}

// world holds all that a case plays with.
type world struct {
	journal *journal
	store   *store
	fleet   *fleet
	system  *deployment
	client  *client
	trouble bool
	stop    chan struct{}
	needs   map[string]phase // what each work unit of a job requests, by job
}

// cases are the cases that are scripts. Each returns the breaches of its rule.
var cases = map[string]func(w *world) ([]string, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder for the settings and logs of the daemons; a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *root, *recordPath, *keep))
}

func play(name, root, recordPath, keep string) int {
	c := cases[name]
	if c == nil {
		fmt.Println("there is no case", name)
		return notRun
	}
	j, err := newJournal(recordPath)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer j.close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Println(err)
			return notRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if root, err = filepath.Abs(root); err != nil {
		fmt.Println(err)
		return notRun
	}
	if dir, err = filepath.Abs(dir); err != nil {
		fmt.Println(err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	w, err := newWorld(root, dir, j, signals)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer w.end()
	breaches, err := c(w)
	if err != nil {
		j.line("verdict", "the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	}
	j.mu.Lock()
	for _, k := range sortedKeys(j.counts) {
		j.write("verdict", "%s: %d", k, j.counts[k])
	}
	j.mu.Unlock()
	if len(breaches) == 0 {
		j.line("verdict", "the rule held")
		fmt.Println("the rule held")
		return ruleHeld
	}
	for _, b := range breaches {
		j.line("verdict", "broken: %s", b)
	}
	fmt.Printf("the rule was broken %d times; first: %s\n", len(breaches), breaches[0])
	return ruleBroken
}

// newWorld starts the platform, the workers and the daemons, and publishes a configuration.
func newWorld(root, dir string, j *journal, signals <-chan os.Signal) (*world, error) {
	w := &world{journal: j, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{}), needs: map[string]phase{}}
	go func() {
		<-signals
		w.end()
		os.Exit(notRun)
	}()
	j.line("case", "with the disruption: %v", w.trouble)
	net3 := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)) // three bytes of the loopback addresses
	w.store = newStore(j)
	w.fleet = &fleet{store: w.store, journal: j, host: net3}
	w.fleet.count = 50 // the addresses below belong to the daemons and the platform
	storeAddr, cloudAddr := net3+".40:8621", net3+".41:8621"
	for _, s := range []struct {
		addr    string
		handler http.Handler
	}{{storeAddr, w.store}, {cloudAddr, w.fleet}} {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return nil, err
		}
		go func() { _ = (&http.Server{Handler: s.handler}).Serve(l) }() // until this process ends
	}
	w.configure(1)
	n := 0
	for _, s := range services {
		for i := range s.workers {
			n++
			zone := zones[i%len(zones)]
			if err := w.fleet.addMachine(fmt.Sprintf("m-%02d", n), zone, fmt.Sprintf("r%d-%d", 1+i%len(zones), 1+i/4), s.name); err != nil {
				return nil, err
			}
		}
	}
	go w.fleet.checkIn(w.stop)
	var places []string
	for i := range 8 {
		places = append(places, zones[i%len(zones)])
	}
	var err error
	if w.system, err = newDeployment(root, dir, net3, places, storeAddr, cloudAddr, j); err != nil {
		return nil, err
	}
	w.client = newClient(w.system, j)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-w.stop; cancel() }()
	if err := w.system.startAll(ctx); err != nil {
		w.end()
		return nil, err
	}
	time.Sleep(2 * time.Second) // the owners have heard of all workers
	return w, nil
}

// configure publishes a configuration with one queue for each service.
func (w *world) configure(version int) {
	var routes, list []map[string]any
	for _, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s.name, "host": jobHost, "path-prefix": "/" + s.name + "/", "service": s.name, "priority": 0,
			"max-attempts": 2, "slack-factor": 2.0, "target-duration-ms": 600,
		})
		list = append(list, map[string]any{"name": s.name, "admission-check": false})
	}
	w.store.put("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]any{"max-body-bytes": 262144}})
}

var endOnce sync.Once

// end ends all that the case has started.
func (w *world) end() {
	endOnce.Do(func() {
		close(w.stop)
		if w.system != nil {
			w.system.stopAll()
		}
	})
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	for i := range out {
		for k := i; k > 0 && out[k] < out[k-1]; k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}
