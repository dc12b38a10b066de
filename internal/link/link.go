package link

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/netopt"
	"github.com/toucanhatch/toucanhatch/internal/panics"
)

// Method names a request.
type Method string

// Errors of requests.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("the other process can't be reached")
	// ErrConnectionLost means that the connection broke after the request was sent; it may have been carried out.
	ErrConnectionLost = errors.New("the connection broke before the answer")

	errPanic = errors.New("the handler has failed")
)

const (
	path = "/link"
	// dialTimeout is several round trips between zones.
	dialTimeout = 500 * time.Millisecond
	// silence is how long a connection with outstanding requests may carry nothing before it counts as lost.
	silence = 900 * time.Millisecond
	// pingPeriod leaves several pings within the silence.
	pingPeriod   = 250 * time.Millisecond
	writeTimeout = time.Second
	maxFrame     = 1 << 20
	// redialPause keeps a process from dialing an unreachable one for each request.
	redialPause = 200 * time.Millisecond
	// headerTimeout bounds the handshake of an accepted connection.
	headerTimeout = 2 * time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged.
	ackTimeout = 1500 * time.Millisecond
)

// frame is one message. A frame without a method is an answer, one without an id a ping.
type frame struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Method Method
	Body   cbor.RawMessage
	Fault  string // why there is no body
}

// Handler answers requests; body and answer are CBOR.
type Handler func(ctx context.Context, m Method, body []byte) ([]byte, error)

// TypedHandler makes a Handler of a function with typed request and answer.
func TypedHandler[Q, A any](f func(context.Context, Q) (A, error)) func(context.Context, []byte) ([]byte, error) {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, fmt.Errorf("decode request: %w", err)
		}
		a, err := f(ctx, q)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(a)
	}
}

// Call sends a typed request and waits for its answer.
func Call[A, Q any](ctx context.Context, c *Client, addr string, m Method, q Q) (A, error) {
	var a A
	body, err := cbor.Marshal(q)
	if err != nil {
		return a, err
	}
	answer, err := c.call(ctx, addr, m, body)
	if err != nil {
		return a, err
	}
	return a, cbor.Unmarshal(answer, &a)
}

// Server accepts links. Set its exported fields before Run.
type Server struct {
	Listener net.Listener
	Handler  Handler
	Logger   hclog.Logger
}

// Listen opens a listener whose connections end when the other side doesn't acknowledge.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: netopt.UserTimeout(ackTimeout)}
	lc.SetMultipathTCP(false)
	return lc.Listen(ctx, "tcp", addr)
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0), // a handshake that fails is the dialer's concern
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != path {
				http.NotFound(w, r)
				return
			}
			ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
			if err != nil {
				return // Accept has answered
			}
			s.serve(ctx, ws)
		}),
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(s.Listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) serve(ctx context.Context, ws *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxFrame)
	for {
		f, err := read(ctx, ws)
		if err != nil {
			return
		}
		if f.ID == 0 {
			if write(ctx, ws, frame{}) != nil {
				return
			}
			continue
		}
		go func() {
			var body []byte
			err := errPanic
			panics.Catch(s.Logger, "request "+string(f.Method), func() { body, err = s.Handler(ctx, f.Method, f.Body) })
			answer := frame{ID: f.ID, Body: body}
			if err != nil {
				answer.Body, answer.Fault = nil, err.Error()
			}
			if write(ctx, ws, answer) != nil {
				cancel() // the dialer sees the connection end
			}
		}()
	}
}

func read(ctx context.Context, ws *websocket.Conn) (frame, error) {
	var f frame
	_, data, err := ws.Read(ctx)
	if err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(data, &f)
}

func write(ctx context.Context, ws *websocket.Conn, f frame) error {
	if f.Body == nil {
		f.Body = cbor.RawMessage{0xf6} // null
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, data)
}

// Client sends requests to other processes. Its zero value is ready for use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	ready  chan struct{} // closed when dialing has ended
	err    error         // of dialing
	failed time.Time
	ws     *websocket.Conn

	mu       sync.Mutex
	nextID   uint64
	waiting  map[uint64]chan frame
	heard    time.Time
	broken   bool
	checking bool // check will be called
}

func (c *Client) conn(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*conn{}
	}
	x := c.conns[addr]
	if x != nil && !x.replaceable() {
		return x
	}
	x = &conn{ready: make(chan struct{}), waiting: map[uint64]chan frame{}}
	c.conns[addr] = x
	go x.dial(addr)
	return x
}

// replaceable reports whether the connection has ended, or could not be made and it is time to try again.
func (x *conn) replaceable() bool {
	select {
	case <-x.ready:
	default:
		return false
	}
	if x.err != nil {
		return time.Since(x.failed) > redialPause
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.broken
}

func (x *conn) dial(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d := &net.Dialer{Control: netopt.UserTimeout(ackTimeout)}
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, Proxy: nil}}
	// The response of a handshake has no body to close.
	x.ws, _, x.err = websocket.Dial(ctx, "ws://"+addr+path, &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // see above
	x.failed = time.Now()
	if x.err == nil {
		x.ws.SetReadLimit(maxFrame)
		x.heard = time.Now()
		go x.receive()
	}
	close(x.ready)
}

func (x *conn) receive() {
	defer x.end()
	for {
		f, err := read(context.Background(), x.ws)
		if err != nil {
			return
		}
		x.mu.Lock()
		x.heard = time.Now()
		ch := x.waiting[f.ID]
		delete(x.waiting, f.ID)
		x.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// check ends a connection that is silent while answers are outstanding, or else pings. It is called every pingPeriod, but
// only as long as there is something to wait for: a process has links to many others, most of which are idle.
func (x *conn) check() {
	x.mu.Lock()
	busy, heard := len(x.waiting) > 0 && !x.broken, x.heard
	x.checking = busy
	x.mu.Unlock()
	if !busy {
		return
	}
	if time.Since(heard) > silence || write(context.Background(), x.ws, frame{}) != nil {
		x.end()
		return
	}
	time.AfterFunc(pingPeriod, x.check)
}

// end closes the connection and fails what waits for an answer.
func (x *conn) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken {
		return
	}
	x.broken = true
	for id, ch := range x.waiting {
		close(ch)
		delete(x.waiting, id)
	}
	go func() { _ = x.ws.CloseNow() }() // may wait for a write in progress
}

func (c *Client) call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	x := c.conn(addr) //nolint:contextcheck // the connection outlives the request
	select {
	case <-x.ready:
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnreachable, addr)
	}
	if x.err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", addr, x.err)
	}
	ch := make(chan frame, 1)
	x.mu.Lock()
	if x.broken {
		x.mu.Unlock()
		return nil, errors.Wrap(ErrUnreachable, addr)
	}
	x.nextID++
	id := x.nextID
	if len(x.waiting) == 0 {
		x.heard = time.Now()
	}
	if !x.checking {
		x.checking = true
		time.AfterFunc(pingPeriod, x.check)
	}
	x.waiting[id] = ch
	x.mu.Unlock()
	//nolint:contextcheck // a write that is broken off would end the connection for the other requests
	if err := write(context.Background(), x.ws, frame{ID: id, Method: m, Body: body}); err != nil {
		x.end()
		return nil, errors.Wrapf(ErrConnectionLost, "%s: %v", addr, err)
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return nil, errors.Wrap(ErrConnectionLost, addr)
		}
		if f.Fault != "" {
			return nil, &RemoteError{Method: m, Reason: f.Fault}
		}
		return f.Body, nil
	case <-ctx.Done():
		x.mu.Lock()
		delete(x.waiting, id)
		x.mu.Unlock()
		return nil, errors.Wrapf(ErrConnectionLost, "%s: %v", addr, ctx.Err())
	}
}

// RemoteError is an error of the other process's handler.
type RemoteError struct {
	Method Method
	Reason string
}

// Error names the request and the fault.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Method, e.Reason) }
