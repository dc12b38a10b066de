package link

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/stall"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

// Guards against a panic of a handler that ends the process, or closes the connection for other requests.
func TestPanicOfHandlerFailsOneRequest(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	echo := TypedHandler(func(_ context.Context, s string) (string, error) { return s, nil })
	s := &Server{Listener: l, Logger: hclog.NewNullLogger(), Handler: func(ctx context.Context, m Method, body []byte) ([]byte, error) {
		if m == "bad" {
			panic("a malformed request")
		}
		return echo(ctx, body)
	}}
	go func() { _ = s.Run(t.Context()) }()
	c := &Client{}
	if got, err := Call[string](t.Context(), c, l.Addr().String(), "good", "a"); err != nil || got != "a" {
		t.Fatalf("a good request: %q, %v", got, err)
	}
	var remote *RemoteError
	if _, err := Call[string](t.Context(), c, l.Addr().String(), "bad", "a"); !errors.As(err, &remote) {
		t.Errorf("a bad request: %v, want a RemoteError", err)
	}
	if got, err := Call[string](t.Context(), c, l.Addr().String(), "good", "b"); err != nil || got != "b" {
		t.Errorf("a good request after a bad one: %q, %v", got, err)
	}
}

// Guards against requests that wait forever on a connection on which nothing arrives any more, even if the connection
// was idle before.
func TestSilentConnectionFailsItsRequests(t *testing.T) {
	relay, addr := startRelayedServer(t)
	c := &Client{}
	for range 2 { // the second time on a connection that has been idle
		if _, err := Call[string](t.Context(), c, addr, "m", "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * pingPeriod)
	}
	relay.SetMode(fakes.RelayDropExisting)
	begin := time.Now()
	if _, err := Call[string](t.Context(), c, addr, "m", "b"); !errors.Is(err, ErrConnectionLost) {
		t.Errorf("a request on a silent connection: %v, want %v", err, ErrConnectionLost)
	}
	if took, limit := time.Since(begin), silenceTimeout+2*pingPeriod+time.Second; took > limit {
		t.Errorf("the request failed after %v, want %v at most", took, limit)
	}
	if got, err := Call[string](t.Context(), c, addr, "m", "c"); err != nil || got != "c" {
		t.Errorf("a request on a new connection: %q, %v", got, err)
	}
}

// Guards against a silent connection that stays in use because each request times out before the silence is noticed.
func TestShortRequestsReplaceSilentConnection(t *testing.T) {
	relay, addr := startRelayedServer(t)
	c := &Client{}
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), pingPeriod)
		defer cancel()
		_, err := Call[string](ctx, c, addr, "m", "a")
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(silenceTimeout) // a connection that was made a moment ago is kept
	relay.SetMode(fakes.RelayDropExisting)
	const maxFailures = int(silenceTimeout / pingPeriod)
	for n := 0; call() != nil; n++ {
		if n == maxFailures {
			t.Fatalf("%d requests of %v without a response since the connection went silent, want one on a new connection after %d at most", n+1, pingPeriod, maxFailures)
		}
	}
}

// startRelayedServer starts a server that echoes requests, and a relay to it; it returns the relay and its address.
func startRelayedServer(t *testing.T) (*fakes.Relay, string) {
	t.Helper()
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Listener: l, Logger: hclog.NewNullLogger(), Handler: func(_ context.Context, _ Method, body []byte) ([]byte, error) { return body, nil }}
	go func() { _ = s.Run(t.Context()) }()
	front, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close() })
	relay := &fakes.Relay{Upstream: l.Addr().String()}
	go func() { _ = relay.Serve(front) }()
	return relay, front.Addr().String()
}

// Guards against a request or a response that fails because it takes longer to transfer than small ones may.
func TestLargeFramesPassSlowLinks(t *testing.T) {
	const size = maxFrame * 9 / 10
	_, addr := startRelayedServer(t)
	slow := local.NewLink(minRate)
	c := &Client{Dial: slow.Dial}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	body := strings.Repeat("x", size)
	if got, err := Call[string](ctx, c, addr, "m", body); err != nil || got != body {
		t.Errorf("%d bytes returned, error %v, want %d", len(got), err, size)
	}
}

// Guards against a request that waits as long as the other process answers pings, though its response makes no progress.
func TestPingsBringNoTransferForward(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Listener: l, Logger: hclog.NewNullLogger(), Handler: func(ctx context.Context, _ Method, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	go func() { _ = s.Run(t.Context()) }()
	ctx, cancel := stall.WithTimeout(t.Context(), 2*pingPeriod)
	defer cancel()
	limit, cancelLimit := context.WithTimeout(ctx, 10*pingPeriod)
	defer cancelLimit()
	begin := time.Now()
	if _, err := Call[string](limit, &Client{}, l.Addr().String(), "m", "a"); err == nil {
		t.Error("answered, want no response")
	}
	if limit.Err() == nil || ctx.Err() == nil {
		t.Errorf("given up after %v by the limit of the test, want after %v without progress", time.Since(begin), 2*pingPeriod)
	}
}

// Guards against a scheduled job that starts up to a second early because the process that took it is not the one that runs it:
// the fraction of a second of its time was dropped on the way.
func TestTimesKeepTheirFraction(t *testing.T) {
	type message struct{ At time.Time }
	received := make(chan time.Time, 1)
	addr := local.Addr()
	l, err := Listen(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	handle := TypedHandler(func(_ context.Context, m message) (message, error) {
		received <- m.At
		return m, nil
	})
	server := &Server{Listener: l, Handler: func(ctx context.Context, _ Method, body []byte) ([]byte, error) { return handle(ctx, body) }}
	go func() { _ = server.Run(t.Context()) }() // ends with the test
	for _, want := range []time.Time{time.UnixMilli(1_800_000_000_900), time.Unix(1_800_000_000, 123_456_789), {}} {
		response, err := Call[message](t.Context(), &Client{}, addr, "echo", message{want})
		if err != nil {
			t.Fatal(err)
		}
		for name, got := range map[string]time.Time{"request": <-received, "response": response.At} {
			if !got.Equal(want) {
				t.Errorf("time in a %s: got %v, want %v", name, got, want)
			}
		}
	}
}
