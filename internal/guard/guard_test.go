package guard

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/intake"
)

func testLimits() Limits {
	return Limits{intake.Limits{Bodies: 1 << 20, Clients: 1, Peers: 1, Others: 1}, time.Minute}
}

// Guards against a client that gets no answer, or one that isn't true, when there are too many connections.
func TestRefusedConnectionIsToldToComeBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(testLimits(), hclog.NewNullLogger())
	running, finish := make(chan struct{}), make(chan struct{})
	srv := g.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-finish
	}))
	go func() { _ = srv.Serve(g.Listen(Clients, l, "Outcome: not-run\r\n")) }()
	t.Cleanup(func() { srv.Close() })
	defer close(finish)
	busy, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	_, _ = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	<-running
	second, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1" || resp.Header.Get("Outcome") != "not-run" {
		t.Errorf("status %d, header %v; want 503 with Retry-After 1 and the outcome", resp.StatusCode, resp.Header)
	}
}

// lockedBuffer is a buffer for a logger.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Guards against a log that grows with the crowd, and against shedding that no line tells of.
func TestSheddingIsLoggedOnce(t *testing.T) {
	var out lockedBuffer
	g := New(testLimits(), hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	g.quiet = 50 * time.Millisecond
	for range 1000 {
		g.note(connRefused, Clients)
	}
	const end = "shedding of load has ended"
	for limit := time.Now().Add(30 * time.Second); !strings.Contains(out.String(), end) && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	text := out.String()
	if got, want := strings.Count(text, "\n"), 2; got != want || !strings.Contains(text, "shedding of load has begun") || !strings.Contains(text, `"connections_refused":1000`) {
		t.Errorf("log: %s\nwant one line that shedding has begun, and one that it has ended with 1000 connections refused", text)
	}
}

// Guards against a line that says shedding has ended while it goes on: the timer of the quiet time fires while something is
// refused, or fires twice.
func TestSheddingEndsOnce(t *testing.T) {
	var out lockedBuffer
	g := New(testLimits(), hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	g.quiet = time.Minute
	g.note(connRefused, Clients)
	g.noteQuiet()
	if text := out.String(); strings.Contains(text, "has ended") {
		t.Errorf("log: %s\nwant no line that shedding has ended before it has been quiet for %v", text, g.quiet)
	}
	g.quiet = 0
	g.noteQuiet()
	g.noteQuiet()
	if text := out.String(); strings.Count(text, "has ended") != 1 {
		t.Errorf("log: %s\nwant one line that shedding has ended", text)
	}
}

// Guards against limits on the time of a body that cut clients within their own deadline, or let others stay for days.
func TestBodyLimit(t *testing.T) {
	const base = 10 * time.Second
	for _, test := range []struct {
		waits time.Duration
		limit int64
		want  time.Duration
	}{
		{3 * time.Second, 256 << 10, 3 * time.Second},
		{time.Millisecond, 256 << 10, minBodyTime},
		{24 * time.Hour, intake.SmallBody, base},
		{24 * time.Hour, intake.SmallBody + 10*minRate, base + 10*time.Second},
		{time.Minute, 1 << 62, time.Minute},
	} {
		if got := bodyLimit(test.waits, base, test.limit); got != test.want {
			t.Errorf("client waits %v, limit %d: %v, want %v", test.waits, test.limit, got, test.want)
		}
	}
}

// Guards against a body that nobody reads and that never ends: its connection stayed open for the time of a whole request,
// and a crowd of such connections left no room for an ordinary request.
func TestUnreadBodyEndsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(testLimits(), hclog.NewNullLogger())
	srv := g.ShortServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.ReadTimeout, srv.WriteTimeout = 0, 0 // the connection must not depend on them
	go func() { _ = srv.Serve(g.Listen(Metrics, l)) }()
	t.Cleanup(func() { srv.Close() })
	for _, header := range []string{"Content-Length: 3", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a.example\r\n"+header+"\r\n\r\n2")
		from := bufio.NewReader(c)
		resp, err := http.ReadResponse(from, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got, want := resp.StatusCode, http.StatusOK; got != want || !resp.Close {
			t.Errorf("%s: status %d, close %t; want %d, true", header, got, resp.Close, want)
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := from.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: after the response: %v, want the end of the connection", header, err)
		}
	}
}
