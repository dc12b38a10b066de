package integ

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// entry is an entry to which the load generator sends requests while it is ready.
type entry struct {
	callerAddr, adminAddr string
	ready                 atomic.Bool
}

// loadGenerator sends requests to entries as callers behind a load balancer do.
type loadGenerator struct {
	entries  []*entry
	path     string
	sent     atomic.Int64 // requests started
	mu       sync.Mutex
	failures []string
}

// load is a program that sends requests as callers behind a load balancer:
// load [-n 16] [-started FILE] -until FILE PATH CALLER=ADMIN... It sends requests over keep-alive connections to the
// entries that are ready, until the file of -until exists. It fails if a response is not complete or belongs to another
// request. CALLER and ADMIN are the caller and admin addresses of an entry.
func load(args []string) int {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	callers := fs.Int("n", 16, "concurrent callers")
	until := fs.String("until", "", "stop once this file exists")
	started := fs.String("started", "", "file to write once as many requests have been started as there are callers")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	l := &loadGenerator{path: fs.Arg(0)}
	for _, a := range fs.Args()[1:] {
		caller, admin, _ := strings.Cut(a, "=")
		l.entries = append(l.entries, &entry{callerAddr: caller, adminAddr: admin})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	go l.checkReady(ctx)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range *callers {
		wg.Go(func() { l.runCaller(ctx, i, stop) })
	}
	for ctx.Err() == nil {
		if l.sent.Load() >= int64(*callers) {
			_ = os.WriteFile(*started, nil, 0o600)
		}
		if _, err := os.Stat(*until); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	fmt.Printf("sent %d failed %d\n%s", l.sent.Load(), len(l.failures), strings.Join(l.failures, ""))
	if len(l.failures) > 0 || ctx.Err() != nil {
		return 1
	}
	return 0
}

// checkReady polls the readiness of every entry, as a load balancer does.
func (l *loadGenerator) checkReady(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range l.entries {
			resp, err := http.Get("http://" + e.adminAddr + "/readyz")
			e.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				resp.Body.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runCaller sends one request after the other, each to the next entry, until stop is closed.
func (l *loadGenerator) runCaller(ctx context.Context, caller int, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		e := l.entries[(caller+n)%len(l.entries)]
		if !e.ready.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		id := fmt.Sprintf("load-%d-%d", caller, n)
		l.sent.Add(1)
		if err := post(ctx, client, "http://"+e.callerAddr+l.path, id); err != nil {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Sprintf("%s to %s: %v\n", id, e.callerAddr, err))
			l.mu.Unlock()
		}
	}
}

// post sends a request whose body and X-Work-Id header are id, and returns an error unless the response is complete and
// names id.
func post(ctx context.Context, client *http.Client, url, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		return err
	}
	req.Header.Set("X-Work-Id", id)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	outcome := resp.Header.Get("Toucanhatch-Outcome")
	if resp.StatusCode != http.StatusOK || outcome != "complete" || !strings.Contains(string(body), "work="+id+" ") {
		return fmt.Errorf("%s %s %.100q", resp.Status, outcome, body)
	}
	return nil
}
