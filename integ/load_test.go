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

// backend is an entry as a load balancer sees it.
type backend struct {
	caller, admin string
	ready         atomic.Bool
}

type loader struct {
	backends []*backend
	path     string
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

// load is the program that scenarios use as callers behind a load balancer:
// load [-n 16] -until FILE PATH CALLER=ADMIN... It sends requests over keep-alive connections to entries
// that are ready until FILE is there, and fails if a response is not complete or not its own.
func load(args []string) int {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	callers := fs.Int("n", 16, "concurrent callers")
	until := fs.String("until", "", "end once this file exists")
	started := fs.String("started", "", "file to write once every caller has a request on its way")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	l := &loader{path: fs.Arg(0)}
	for _, a := range fs.Args()[1:] {
		caller, admin, _ := strings.Cut(a, "=")
		l.backends = append(l.backends, &backend{caller: caller, admin: admin})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	go l.checkReady(ctx)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range *callers {
		wg.Go(func() { l.call(ctx, i, stop) })
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

// checkReady asks every entry for its readiness, as a load balancer does.
func (l *loader) checkReady(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range l.backends {
			resp, err := http.Get("http://" + b.admin + "/readyz")
			b.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				resp.Body.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *loader) call(ctx context.Context, caller int, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		b := l.backends[(caller+n)%len(l.backends)]
		if !b.ready.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		id := fmt.Sprintf("load-%d-%d", caller, n)
		l.sent.Add(1)
		if err := post(ctx, client, "http://"+b.caller+l.path, id); err != nil {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Sprintf("%s to %s: %v\n", id, b.caller, err))
			l.mu.Unlock()
		}
	}
}

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
