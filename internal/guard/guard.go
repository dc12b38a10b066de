package guard

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/intake"
)

// Kind tells for whom a listener is.
type Kind string

// The kinds of listeners.
const (
	Clients   Kind = "clients"
	Peers     Kind = "peers"
	Readiness Kind = "readiness"
	Metrics   Kind = "metrics"
)

const (
	// RetryAfter is when a client that was refused should come back.
	RetryAfter = time.Second
	// quietTime is how long nothing must have been shed before shedding counts as ended.
	quietTime = 5 * time.Second
	// shortRequest bounds the time for a whole request to a listener that takes no bodies, and for its response.
	shortRequest = 10 * time.Second
	// refusalTime bounds the write of a refusal to a new connection, whose buffers are empty.
	refusalTime = 50 * time.Millisecond

	headerTime = 3 * time.Second
	idleTime   = 30 * time.Second
	// writeTime bounds the time from the header of a request to the end of its response. It is longer than any body or request
	// may take; a response that isn't read is closed sooner if its connection is needed for another one.
	writeTime = 3 * time.Minute
	maxHeader = 16 << 10
)

// event is something that was refused or closed, as it is named in the metrics.
type event string

const (
	bodyRefused event = "bodies_refused" // there were no bytes left for it
	bodyShed    event = "bodies_shed"    // its bytes were needed for another one
	bodyLate    event = "bodies_late"    // it did not arrive in time
	connRefused event = "connections_refused"
	connShed    event = "connections_shed" // closed for another one
)

// The metrics of docs/metrics.md. Daemons that run in the same process share them.
var (
	connections = expvar.NewMap("connections") // open, by kind
	bodyBytes   = expvar.NewInt("body_bytes")  // held
	shed        = expvar.NewMap("shed")        // by event, and kind of the connection
)

// Guard bounds what a process takes in. Its methods may be called at the same time.
type Guard struct {
	limits Limits
	logger hclog.Logger
	bodies *intake.Budget
	frames *intake.Budget // of other processes, which clients must not use up
	quiet  time.Duration  // quietTime, except in tests

	mu       sync.Mutex
	counts   map[event]int // since shedding began
	quietEnd *time.Timer   // nil while nothing is shed
	lastNote time.Time     // of the last event
}

// New returns a guard with limits, all of which must be set.
func New(l Limits, logger hclog.Logger) *Guard {
	return &Guard{limits: l, logger: logger, bodies: intake.NewBudget(int64(l.Bodies)), frames: intake.NewBudget(int64(l.Bodies)), quiet: quietTime}
}

// BodyTime returns how long a small body may take to arrive.
func (g *Guard) BodyTime() time.Duration { return g.limits.BodyTime }

// note counts an event, and logs when shedding begins and when it has ended.
func (g *Guard) note(e event, kind Kind) {
	shed.Add(string(e)+"."+string(kind), 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNote = time.Now()
	if g.quietEnd != nil {
		g.counts[e]++
		g.quietEnd.Reset(g.quiet)
		return
	}
	g.counts = map[event]int{e: 1}
	g.quietEnd = time.AfterFunc(g.quiet, g.noteQuiet)
	g.logger.Warn("shedding of load has begun", "first", string(e), "kind", string(kind), "body_bytes", g.bodies.Used(), "limit_bodies", int64(g.limits.Bodies),
		"limit_clients", g.limits.Clients, "limit_peers", g.limits.Peers, "limit_others", g.limits.Others)
}

// noteQuiet logs that shedding has ended. The timer may fire while an event is noted, and then fires again.
func (g *Guard) noteQuiet() {
	g.mu.Lock()
	if g.quietEnd == nil || time.Since(g.lastNote) < g.quiet {
		g.mu.Unlock()
		return
	}
	counts := g.counts
	g.counts, g.quietEnd = nil, nil
	g.mu.Unlock()
	var args []any
	for _, e := range []event{bodyRefused, bodyShed, bodyLate, connRefused, connShed} {
		args = append(args, string(e), counts[e])
	}
	g.logger.Info("shedding of load has ended", args...)
}

// Server returns a server for a guarded listener. It bounds the time for the header of a request, and for idle connections;
// handlers bound the time for bodies with [Body].
func (g *Guard) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, WriteTimeout: writeTime, MaxHeaderBytes: maxHeader,
		ErrorLog:  log.New(io.Discard, "", 0), // not logged: mostly connections that clients broke
		ConnState: NoteState, ConnContext: ConnContext,
	}
}

// ShortServer returns a server for short requests whose bodies are not read.
func (g *Guard) ShortServer(h http.Handler) *http.Server {
	s := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without its limit on time, net/http would await the rest of the body after the response, up to ReadTimeout.
		g.Body(w, r, shortRequest).Finish(w.Header())
		h.ServeHTTP(w, r)
	}))
	s.ReadTimeout, s.WriteTimeout = shortRequest, shortRequest
	return s
}

type connKey struct{}

// ConnContext is the ConnContext of servers for guarded listeners.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if x := guarded(c); x != nil {
		return context.WithValue(ctx, connKey{}, x)
	}
	return ctx
}

// NoteState is the ConnState of servers for guarded listeners.
func NoteState(c net.Conn, s http.ConnState) {
	x := guarded(c)
	if x == nil {
		return
	}
	switch s {
	case http.StateActive:
		x.headerArrived()
		x.entry.Set(intake.Busy, time.Now())
	case http.StateIdle:
		x.nextHeader()
		x.entry.Set(intake.Idle, time.Now())
	case http.StateHijacked:
		x.releaseHeader()
	case http.StateNew, http.StateClosed:
	}
}

// guarded returns the guarded connection in c, which may wrap it, or nil.
func guarded(c net.Conn) *conn {
	switch c := c.(type) {
	case *conn:
		return c
	case interface{ NetConn() net.Conn }:
		return guarded(c.NetConn())
	}
	return nil
}

// Listen bounds the connections of a listener. A client whose connection is refused gets a response with the fields of a
// header, each of which ends with CR LF.
func (g *Guard) Listen(kind Kind, l net.Listener, fields ...string) net.Listener {
	limit := g.limits.Others
	switch kind {
	case Clients:
		limit = g.limits.Clients
	case Peers:
		limit = g.limits.Peers
	case Readiness, Metrics:
	}
	refusal := fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		RetryAfter/time.Second, strings.Join(fields, ""))
	return &listener{Listener: l, guard: g, kind: kind, conns: intake.NewConns(limit), refusal: refusal}
}

type listener struct {
	net.Listener
	guard   *Guard
	kind    Kind
	conns   *intake.Conns
	refusal []byte
}

// Accept returns the next connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		x := &conn{Conn: c, guard: l.guard, kind: l.kind}
		x.entry = l.conns.Open(func() {
			l.guard.note(connShed, l.kind)
			_ = c.Close() // the server then closes x
		}, time.Now())
		if x.entry != nil {
			connections.Add(string(l.kind), 1)
			return x, nil
		}
		l.guard.note(connRefused, l.kind)
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = c.Write(l.refusal) // best effort, the connection is closed next
		_ = c.Close()             // nothing was accepted
	}
}

// conn is a connection of a guarded listener.
type conn struct {
	net.Conn
	guard  *Guard
	kind   Kind
	entry  *intake.Conn
	header header
	once   sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.entry.Closed()
		connections.Add(string(c.kind), -1)
	})
	c.releaseHeader()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite closes the write side, which lets the server end a connection without losing its last response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return c.Close()
}
