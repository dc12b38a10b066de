package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/keys"
	"github.com/toucanhatch/toucanhatch/internal/target"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const testTimeout = 10 * time.Second

// testPermits grants the first target that is not in Avoid and records the reported results.
type testPermits struct {
	addrs []string

	mu      sync.Mutex
	granted int
	results []broker.Result
}

func (p *testPermits) Acquire(ctx context.Context, req broker.AcquireRequest) (broker.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addrs {
		if !slices.Contains(req.Avoid, ident.VMID(a)) {
			p.granted++
			return broker.Permit{Target: ident.VMID(a), Address: a}, nil
		}
	}
	if len(req.Avoid) == 0 {
		return broker.Permit{}, broker.ErrNoTarget
	}
	<-ctx.Done() // a broker may wait for a target that is not in Avoid
	return broker.Permit{}, ctx.Err()
}

func (p *testPermits) Release(_ broker.Permit, rep broker.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, rep.Result)
}

func (p *testPermits) grantedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.granted
}

// waitReleased waits until every permit is released and returns the results.
func (p *testPermits) waitReleased(t *testing.T) []broker.Result {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		results, granted := slices.Clone(p.results), p.granted
		p.mu.Unlock()
		if len(results) == granted {
			return results
		}
		if len(results) > granted || time.Now().After(deadline) {
			t.Fatalf("results = %v, want one for each of %d permits", results, granted)
		}
	}
}

type testState struct{ *fold.State }

func (s testState) Snapshot() *fold.State { return s.State }

type testEntry struct {
	h       *Handler
	permits *testPermits
	addr    string
}

// newTestEntry starts an entry and the given targets.
func newTestEntry(t *testing.T, targets ...http.HandlerFunc) *testEntry {
	t.Helper()
	state := fold.Empty()
	state.File = &fleet.File{Pools: []fleet.Pool{
		{ID: "cutting", Routes: []string{"/cutting/"}}, {ID: "express", Routes: []string{"/cutting/express/"}},
	}}
	p := &testPermits{}
	for _, f := range targets {
		s := httptest.NewServer(f)
		t.Cleanup(s.Close)
		p.addrs = append(p.addrs, s.Listener.Addr().String())
	}
	c := target.New()
	t.Cleanup(c.Close)
	r := &testEntry{permits: p, h: &Handler{State: testState{state}, Permits: p, Targets: c, Guard: guard.New(guard.Derive(config.Limits{}, 0), hclog.NewNullLogger()), Logger: hclog.NewNullLogger()}}
	l, err := Listen("127.0.0.1:0", r.h.Guard)
	if err != nil {
		t.Fatal(err)
	}
	r.addr = l.Addr().String()
	srv := r.h.Server()
	srv.ReadHeaderTimeout = time.Second
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return r
}

type response struct {
	status  int
	outcome Outcome
	header  http.Header
	body    string
	err     error // of reading the body
}

// do sends one request to the pool "cutting".
func (r *testEntry) do(t *testing.T, method, body string, header ...string) response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.addr+"/cutting/1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, Outcome(resp.Header.Get(OutcomeHeader)), resp.Header, string(b), err}
}

func respondOK(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "did %s", b)
}

// incomplete sends half a response and closes the connection; it responds to liveness checks.
func incomplete(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

// Guards against a permit that is released twice, never or with a wrong result, and against a wrong outcome.
func TestOutcomeAndResult(t *testing.T) {
	wrongID := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(target.RequestIDHeader, "another") }
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for _, tt := range []struct {
		name, method string
		targets      []http.HandlerFunc
		status       int
		outcome      Outcome
		results      []broker.Result
	}{
		{"complete", "POST", []http.HandlerFunc{respondOK}, 200, Complete, []broker.Result{broker.OK}},
		{"target error", "GET", []http.HandlerFunc{failing, respondOK}, 500, Complete, []broker.Result{broker.Failed}},
		{"incomplete POST", "POST", []http.HandlerFunc{incomplete, respondOK}, 502, Unknown, []broker.Result{broker.Failed}},
		{"incomplete GET", "GET", []http.HandlerFunc{incomplete, respondOK}, 200, Complete, []broker.Result{broker.Failed, broker.OK}},
		{"wrong id POST", "POST", []http.HandlerFunc{wrongID, respondOK}, 502, Unknown, []broker.Result{broker.Failed}},
		{"wrong id GET", "GET", []http.HandlerFunc{wrongID, respondOK}, 200, Complete, []broker.Result{broker.Failed, broker.OK}},
		{"refused POST", "POST", []http.HandlerFunc{nil, respondOK}, 200, Complete, []broker.Result{broker.Refused, broker.OK}},
		{"all refused", "POST", []http.HandlerFunc{nil}, 503, NotRun, []broker.Result{broker.Refused}},
		{"sent, then no target", "GET", []http.HandlerFunc{incomplete}, 502, Unknown, []broker.Result{broker.Failed}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestEntry(t, tt.targets...)
			for i, f := range tt.targets {
				if f == nil {
					r.permits.addrs[i] = closedPort(t)
				}
			}
			if resp := r.do(t, tt.method, "order"); resp.status != tt.status || resp.outcome != tt.outcome || resp.err != nil {
				t.Errorf("response = %+v, want %d %s", resp, tt.status, tt.outcome)
			}
			got := r.permits.waitReleased(t)
			slices.Sort(got)
			slices.Sort(tt.results)
			if !slices.Equal(got, tt.results) {
				t.Errorf("results = %v, want %v", got, tt.results)
			}
		})
	}
}

func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against releasing a permit while the target still runs the request of a caller that no longer waits.
func TestPermitIsHeldAfterCallerLeft(t *testing.T) {
	for name, leave := range map[string]func(r *testEntry){
		"timeout": func(r *testEntry) {
			resp := r.do(t, "POST", "order", timeoutHeader, "100ms")
			if resp.status != http.StatusGatewayTimeout || resp.outcome != Unknown {
				t.Errorf("response = %+v", resp)
			}
		},
		"disconnect": func(r *testEntry) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr+"/cutting/1", nil)
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				resp.Body.Close()
				t.Error("got a response before the target finished")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			finish := make(chan struct{})
			r := newTestEntry(t, func(_ http.ResponseWriter, req *http.Request) {
				select {
				case <-finish:
				case <-req.Context().Done():
					t.Error("the target's request was canceled")
				}
			})
			leave(r)
			time.Sleep(50 * time.Millisecond) // a premature release would happen at once
			r.permits.mu.Lock()
			if len(r.permits.results) != 0 {
				t.Errorf("the permit was released while the target was running the request")
			}
			r.permits.mu.Unlock()
			close(finish)
			if got := r.permits.waitReleased(t); !slices.Equal(got, []broker.Result{broker.OK}) {
				t.Errorf("results = %v", got)
			}
		})
	}
}

// Guards against a large incomplete response that looks complete to the caller.
func TestStreamedResponse(t *testing.T) {
	const size = 3 * maxBufferedBody
	for _, whole := range []bool{true, false} {
		for _, length := range []string{"", fmt.Sprint(size)} {
			r := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/healthz" {
					return
				}
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", size-1))
				if !whole {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "x")
			})
			resp := r.do(t, "GET", "")
			if (resp.err == nil) != whole || (whole && len(resp.body) != size) || resp.outcome != Complete {
				t.Errorf("whole %t, length %q: %d bytes, %s, error %v", whole, length, len(resp.body), resp.outcome, resp.err)
			}
			r.permits.waitReleased(t)
		}
	}
}

// Guards against a caller that keeps a permit by not reading its response.
func TestStalledCallerReleasesPermit(t *testing.T) {
	r := newTestEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 32<<20)) // more than the socket buffers hold
	})
	r.h.chunkTime = 200 * time.Millisecond
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET /cutting/1 HTTP/1.1\r\nHost: x\r\n\r\n")
	for r.permits.grantedCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := r.permits.waitReleased(t); !slices.Equal(got, []broker.Result{broker.OK}) {
		t.Errorf("results = %v", got)
	}
}

// Guards against a malformed or slow request that gets no response, or one without an outcome.
func TestBadRequests(t *testing.T) {
	r := newTestEntry(t, respondOK)
	r.h.bodyTime = 500 * time.Millisecond
	const get, post = "GET /cutting/1 HTTP/1.1\r\nHost: x\r\n", "POST /cutting/1 HTTP/1.1\r\nHost: x\r\n"
	for name, tt := range map[string]struct{ send, want string }{
		"not HTTP":           {"hello\r\n\r\n", "400"},
		"no host":            {"GET / HTTP/1.1\r\n\r\n", "400"},
		"large header":       {get + "X: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n", "431"},
		"slow header":        {get, "408"},
		"unknown path":       {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		"server options":     {"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
		"expectation":        {post + "Expect: more\r\nContent-Length: 1\r\n\r\n", "417"},
		"bad timeout":        {get + "Toucanhatch-Timeout: soon\r\n\r\n", "400"},
		"negative timeout":   {get + "Toucanhatch-Timeout: -1s\r\n\r\n", "400"},
		"bad priority":       {get + "Toucanhatch-Priority: high\r\n\r\n", "400"},
		"large body":         {post + "Content-Length: 99999999\r\n\r\n", "413"},
		"slow body":          {post + "Content-Length: 2\r\n\r\na", "408"},
		"slow refused body":  {"POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na", "404"},
		"bad chunk":          {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		"two lengths":        {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		"unknown encoding":   {post + "Transfer-Encoding: gzip\r\n\r\n", "501"},
		"second is not HTTP": {get + "\r\nhello\r\n\r\n", "400"},
		"second is too slow": {get + "\r\n|" + get, "408"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", r.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			go func() {
				for part := range strings.SplitSeq(tt.send, "|") { // "|" separates two requests; the second one follows the first response
					_, _ = io.WriteString(c, part)
					time.Sleep(50 * time.Millisecond)
				}
			}()
			in := bufio.NewReader(c)
			var resp *http.Response
			for resp == nil || resp.StatusCode == http.StatusOK {
				if resp, err = http.ReadResponse(in, nil); err != nil {
					t.Fatal(err)
				}
				if got := resp.Header[OutcomeHeader]; len(got) != 1 {
					t.Errorf("outcome = %v", got)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if resp.Close {
				if rest, _ := io.ReadAll(in); len(rest) > 0 {
					t.Errorf("the response is followed by %.100q", rest)
				}
			}
			if got := resp.Header.Get(OutcomeHeader); !strings.HasPrefix(resp.Status, tt.want) || got != string(NotRun) {
				t.Errorf("response = %s %s, want %s %s", resp.Status, got, tt.want, NotRun)
			}
		})
	}
}

// Guards against a connection that stays open during shutdown.
func TestShutdownClosesConnections(t *testing.T) {
	r := newTestEntry(t, respondOK)
	r.h.BeginShutdown()
	for _, path := range []string{"/cutting/1", "/other"} {
		resp, err := http.Get("http://" + r.addr + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if !resp.Close {
			t.Errorf("the response to %s leaves the connection open", path)
		}
	}
}

// Guards against forwarding hop-by-hop or reserved headers, and against a lost Host.
func TestForwardedHeaders(t *testing.T) {
	var got http.Header
	var host string
	r := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
		got, host = r.Header, r.Host
		w.Header().Set("Connection", "X-Local")
		w.Header().Set("X-Local", "1")
		w.Header().Set("Keep-Alive", "timeout=1")
		w.Header().Set(OutcomeHeader, "forged")
	})
	resp := r.do(t, "GET", "", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers",
		"X-Forwarded-For", "192.0.2.1", "X-Kept", "1", target.RequestIDHeader, "forged")
	if got.Get("X-Hop") != "" || got.Get("Te") != "" || got.Get("X-Kept") != "1" || got.Get(target.RequestIDHeader) == "forged" {
		t.Errorf("target got %v", got)
	}
	if host != r.addr || got.Get("X-Forwarded-Host") != "" || got.Get("X-Forwarded-For") != "192.0.2.1, 127.0.0.1" {
		t.Errorf("target got host %q and %v", host, got)
	}
	if resp.header.Get("X-Local") != "" || resp.header.Get("Keep-Alive") != "" || resp.outcome != Complete {
		t.Errorf("caller got %v", resp.header)
	}
}

// Guards against more retries than a tenth of the requests.
func TestRetryBudget(t *testing.T) {
	var b retryBudget
	for b.tryWithdraw() {
	}
	retries := 0
	for range 1000 {
		b.deposit()
		if b.tryWithdraw() {
			retries++
		}
	}
	if retries != 1000/retryCost {
		t.Errorf("retries of 1000 requests = %d, want %d", retries, 1000/retryCost)
	}
}

// Guards against choosing the shorter of two matching prefixes, and against a routing table that does not follow the
// configuration.
func TestRoute(t *testing.T) {
	state := fold.Empty()
	h := &Handler{State: testState{state}}
	if _, ok := h.route("/cutting/1"); ok {
		t.Error("a path was routed although there are no pools")
	}
	state.File = &fleet.File{Pools: []fleet.Pool{
		{ID: "cutting", Routes: []string{"/cutting/"}}, {ID: "express", Routes: []string{"/cutting/express/"}},
	}}
	for path, want := range map[string]ident.PoolID{"/cutting/1": "cutting", "/cutting/express/1": "express", "/": ""} {
		if got, _ := h.route(path); got != want {
			t.Errorf("route(%q) = %q, want %q", path, got, want)
		}
	}
}

// testClaim implements keys.Claims and keys.Claim for one key and records the calls.
type testClaim struct {
	err    error
	stored *keys.Response
	calls  []string
}

func (c *testClaim) Claim(context.Context, ident.KeyID, keys.Fingerprint) (keys.Claim, error) {
	c.calls = append(c.calls, "claim")
	return c, c.err
}

func (c *testClaim) Stored() *keys.Response         { return c.stored }
func (c *testClaim) MarkSent(context.Context) error { c.calls = append(c.calls, "sent"); return nil }

func (c *testClaim) Abandon(context.Context) error { c.calls = append(c.calls, "abandon"); return nil }

func (c *testClaim) Finish(_ context.Context, r *keys.Response) error {
	c.calls = append(c.calls, "finish "+string(r.Body))
	return nil
}

// Guards against sending a request whose key is not claimed, abandoning a key whose request was sent, and wrong
// outcomes of repeated requests.
func TestIdempotencyKey(t *testing.T) {
	for _, tt := range []struct {
		name    string
		claim   testClaim
		target  http.HandlerFunc
		calls   string
		status  int
		outcome Outcome
	}{
		{"first", testClaim{}, respondOK, "claim, sent, finish did order", 200, Complete},
		{"repeated", testClaim{stored: &keys.Response{Status: 201, Body: []byte("first")}}, nil, "claim", 201, Complete},
		{"too large", testClaim{stored: &keys.Response{Status: 200, BodyDropped: true}}, nil, "claim", 409, Unknown},
		{"in use", testClaim{err: keys.ErrInUse}, nil, "claim", 409, Unknown},
		{"uncertain", testClaim{err: keys.ErrUncertain}, nil, "claim", 409, Unknown},
		{"mismatch", testClaim{err: keys.ErrMismatch}, nil, "claim", 422, NotRun},
		{"unavailable", testClaim{err: keys.ErrUnavailable}, nil, "claim", 503, NotRun},
		{"incomplete", testClaim{}, incomplete, "claim, sent", 502, Unknown},
		{"refused", testClaim{}, nil, "claim, sent, abandon", 503, NotRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestEntry(t, tt.target)
			if tt.target == nil {
				r.permits.addrs[0] = closedPort(t)
			}
			r.h.Claims = &tt.claim
			resp := r.do(t, "POST", "order", keyHeader, "k-1")
			if resp.status != tt.status || resp.outcome != tt.outcome {
				t.Errorf("response = %+v, want %d %s", resp, tt.status, tt.outcome)
			}
			if got := strings.Join(tt.claim.calls, ", "); got != tt.calls {
				t.Errorf("calls = %s, want %s", got, tt.calls)
			}
		})
	}
}
