package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
)

const testTimeout = 10 * time.Second

func newClient(t *testing.T) (*Client, *clock.Manual) {
	t.Helper()
	m := clock.NewManual(time.Now())
	c := New()
	c.Clock = m
	t.Cleanup(c.Close)
	return c, m
}

func serveTarget(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func send(ctx context.Context, c *Client, method, addr string, header ...string) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/work", strings.NewReader("body"))
	if err != nil {
		return err
	}
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	resp, err := c.Do(req, "1")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against net/http repeating a request that was sent on a reused connection, which the target
// closes without a response.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, key := range []string{"", "k-1"} {
			t.Run(method+key, func(t *testing.T) {
				var runs atomic.Int64
				addr := serveTarget(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					if runs.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
				})
				c, _ := newClient(t)
				ctx := testContext(t)
				if err := send(ctx, c, method, addr, "Idempotency-Key", key); err != nil {
					t.Fatal(err)
				}
				err := send(ctx, c, method, addr, "Idempotency-Key", key)
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Errorf("error = %v, want one after which the request may have run", err)
				}
				if got := runs.Load(); got != 2 {
					t.Errorf("target saw %d requests, want 2", got)
				}
			})
		}
	}
}

// Guards against a request that fails because the target closed the pooled connection, and against an error
// other than NotSentError when the target refuses connections.
func TestClosedConnectionIsReplaced(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	addr := s.Listener.Addr().String()
	c, _ := newClient(t)
	ctx := testContext(t)
	for range 3 {
		if err := send(ctx, c, http.MethodPost, addr); err != nil {
			t.Fatal(err)
		}
		s.CloseClientConnections()
	}
	s.Close()
	err := send(ctx, c, http.MethodPost, addr)
	var notSent *NotSentError
	if !errors.As(err, &notSent) || !errors.Is(err, ErrRefused) {
		t.Errorf("error = %v, want NotSentError with ErrRefused", err)
	}
}

// Guards against sending a request on a connection that became unresponsive while idle, and against
// checking the other connections of the same age one after another.
func TestUnresponsiveIdleConnectionsAreReplaced(t *testing.T) {
	var runs, probes atomic.Int64
	block := make(chan struct{})
	addr := serveTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == livenessPath {
			probes.Add(1)
			return
		}
		if runs.Add(1) <= 3 {
			<-block
		}
	})
	relay := &fakes.Relay{Upstream: addr}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = relay.Serve(l) }()
	c, m := newClient(t)
	ctx := testContext(t)
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			if err := send(ctx, c, http.MethodPost, l.Addr().String()); err != nil {
				t.Error(err)
			}
		})
	}
	for runs.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(block)
	wg.Wait()
	m.Advance(2 * livenessCheckAfter)
	if err := send(ctx, c, http.MethodPost, l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if got := probes.Load(); got != 1 {
		t.Errorf("liveness exchanges on a live connection = %d, want 1", got)
	}
	relay.SetMode(fakes.RelayDropExisting)
	m.Advance(2 * livenessCheckAfter)
	began := time.Now()
	if err := send(ctx, c, http.MethodPost, l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 2*livenessTimeout {
		t.Errorf("request took %v: more than one unresponsive connection was checked", took)
	}
}

// Guards against a connection that is used again after a response with another request's id, an incomplete response
// or a timeout.
func TestConnectionIsNotReusedAfterFailure(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter, *http.Request){
		"wrong id": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(RequestIDHeader, "another") },
		"incomplete": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		},
		"late": func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(200 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			conns := map[string]int{}
			addr := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				conns[r.RemoteAddr]++
				mu.Unlock()
				respond(w, r)
			})
			c, _ := newClient(t)
			for range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				err := send(ctx, c, http.MethodPost, addr)
				cancel()
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Errorf("error = %v, want one after which the request may have run", err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if len(conns) != 2 {
				t.Errorf("connections = %v, want two with one request each", conns)
			}
		})
	}
}

// Guards against a lost response when the target responds before it has read the request.
func TestEarlyResponse(t *testing.T) {
	addr := serveTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
	})
	c, _ := newClient(t)
	for range 5 {
		req, _ := http.NewRequestWithContext(testContext(t), http.MethodPost, "http://"+addr+"/", strings.NewReader(strings.Repeat("x", 200<<10)))
		resp, err := c.Do(req, "1")
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusTeapot {
			t.Errorf("status = %d, want %d", resp.StatusCode, http.StatusTeapot)
		}
		resp.Body.Close()
	}
}

// Guards against more than maxConnections connections to one target, and against idle connections beyond maxIdle
// that stay open.
func TestConnectionLimit(t *testing.T) {
	var open, most atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(20 * time.Millisecond)
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			most.Store(max(most.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		default:
		}
	}
	s.Start()
	defer s.Close()
	c, m := newClient(t)
	ctx := testContext(t)
	var wg sync.WaitGroup
	for range 3 * maxConnections {
		wg.Go(func() {
			if err := send(ctx, c, http.MethodGet, s.Listener.Addr().String()); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if got := most.Load(); got > maxConnections {
		t.Errorf("connections = %d, want at most %d", got, maxConnections)
	}
	m.Advance(3 * surplusIdleLimit)
	for deadline := time.Now().Add(testTimeout); open.Load() > maxIdle; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("idle connections = %d, want at most %d", open.Load(), maxIdle)
		}
	}
}

// Guards against a wrong classification: a listener that never responds gives ErrUnresponsive, a closed port ErrRefused.
func TestCheck(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, _ := newClient(t)
	ctx := testContext(t)
	if err := c.Check(ctx, l.Addr().String()); !errors.Is(err, ErrUnresponsive) {
		t.Errorf("Check of an unresponsive target = %v, want ErrUnresponsive", err)
	}
	l.Close()
	if err := c.Check(ctx, l.Addr().String()); !errors.Is(err, ErrRefused) {
		t.Errorf("Check of a closed port = %v, want ErrRefused", err)
	}
	addr := serveTarget(t, func(http.ResponseWriter, *http.Request) {})
	if err := c.Check(ctx, addr); err != nil {
		t.Errorf("Check of a live target = %v", err)
	}
}
