package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/netopt"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/stall"
)

// Method is the name of a kind of request.
type Method string

// Errors of requests.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("the other process cannot be reached")
	// ErrConnectionLost means that the connection was lost, or the caller's context ended, after the request was sent. The
	// request may have been carried out.
	ErrConnectionLost = errors.New("no response: the connection was lost or the request timed out")

	errHandlerPanicked = errors.New("the handler has failed")
)

const (
	endpointPath = "/link"
	// dialTimeout allows for several round trips between zones.
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout is how long nothing may arrive on a connection with outstanding requests before it counts as lost.
	silenceTimeout = 900 * time.Millisecond
	// suspicionTime is how long nothing may arrive after a request that then times out before other requests use a new
	// connection. It is many round trips.
	suspicionTime = 150 * time.Millisecond
	// pingPeriod is short enough for several pings within silenceTimeout.
	pingPeriod = 250 * time.Millisecond
	// writeTimeout bounds the time to write a small frame. A larger one has the time in addition that it takes at minRate.
	writeTimeout = time.Second
	minRate      = 5e6 / 8 // bytes a second, a half of the slowest link
	maxFrame     = 1 << 20 // bytes
	// minLargeFrame is the size in bytes from which a frame takes a slow link some time.
	minLargeFrame = 1 << 10
	// redialPause is the shortest time between two attempts to dial a process that can't be reached.
	redialPause = 200 * time.Millisecond
	// headerTimeout bounds the time for the header of a WebSocket handshake.
	headerTimeout = 2 * time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged by TCP before the connection is closed.
	ackTimeout = 1500 * time.Millisecond
)

// frame is one message. A frame without a method is a response; one without an id is a ping or the response to a ping.
type frame struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Method Method
	Body   cbor.RawMessage
	Error  string // of the handler; empty on success
}

// Handler carries out requests; their bodies and its results are encoded as CBOR.
type Handler func(ctx context.Context, m Method, body []byte) ([]byte, error)

// encodeMode encodes requests and responses. The default mode drops the fraction of a second of times; every version decodes
// times in this form.
var encodeMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// TypedHandler returns a function that decodes a request, calls f and encodes the response of f.
func TypedHandler[Req, Resp any](f func(context.Context, Req) (Resp, error)) func(context.Context, []byte) ([]byte, error) {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("decode request: %w", err)
		}
		resp, err := f(ctx, req)
		if err != nil {
			return nil, err
		}
		return encodeMode.Marshal(resp)
	}
}

// Call encodes and sends a request, and waits for its response, which it decodes.
func Call[Resp, Req any](ctx context.Context, c *Client, addr string, m Method, req Req) (Resp, error) {
	var resp Resp
	body, err := encodeMode.Marshal(req)
	if err != nil {
		return resp, err
	}
	data, err := c.call(ctx, addr, m, body)
	if err != nil {
		return resp, err
	}
	return resp, cbor.Unmarshal(data, &resp)
}

// Server accepts connections of [Client]. Set its exported fields before Run.
type Server struct {
	Listener net.Listener
	Handler  Handler
	Guard    *guard.Guard // bounds what arrives, if set; the listener is one of its own
	Logger   hclog.Logger
}

// Listen opens a listener whose connections are closed if the other side doesn't acknowledge sent bytes in time.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: netopt.UserTimeout(ackTimeout)}
	lc.SetMultipathTCP(false)
	return lc.Listen(ctx, "tcp", addr)
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	srv := s.Guard.ShortServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != endpointPath {
			http.NotFound(w, r)
			return
		}
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return // Accept has written the response
		}
		s.serve(ctx, ws, s.Guard.Stream(r))
	}))
	srv.ReadHeaderTimeout = headerTimeout
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(s.Listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) serve(ctx context.Context, ws *websocket.Conn, stream guard.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxFrame)
	for {
		f, received, err := readGuardedFrame(ctx, ws, stream)
		if err != nil {
			return
		}
		if f.ID == 0 {
			received.Release()
			if writeFrame(ctx, ws, frame{}) != nil {
				return
			}
			continue
		}
		go func() {
			defer received.Release()
			var body []byte
			err := errHandlerPanicked
			panics.Catch(s.Logger, "request "+string(f.Method), func() { body, err = s.Handler(ctx, f.Method, f.Body) })
			response := frame{ID: f.ID, Body: body}
			if err != nil {
				response.Body, response.Error = nil, err.Error()
			}
			if writeFrame(ctx, ws, response) != nil {
				cancel() // closes the connection, which fails the requests of the dialing side
			}
		}()
	}
}

// readGuardedFrame reads a frame within the limits of a stream. The bytes of the frame are to be released if there is no error.
func readGuardedFrame(ctx context.Context, ws *websocket.Conn, stream guard.Stream) (frame, *guard.Frame, error) {
	var f frame
	_, r, err := ws.Reader(ctx)
	if err != nil {
		return f, nil, err
	}
	received := stream.Frame(r)
	data, err := io.ReadAll(received)
	if err == nil {
		received.End()
		err = cbor.Unmarshal(data, &f)
	}
	if err != nil {
		received.Release()
		return f, nil, err
	}
	return f, received, nil
}

// readFrame reads a frame. Each time that bytes of it have arrived, it calls received with their number and that of all bytes
// of the frame so far.
func readFrame(ctx context.Context, ws *websocket.Conn, received func(n, total int)) (frame, error) {
	var f frame
	_, r, err := ws.Reader(ctx)
	if err != nil {
		return f, err
	}
	data, err := io.ReadAll(&progressReader{from: r, received: received})
	if err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(data, &f)
}

// progressReader tells how much has been read.
type progressReader struct {
	from     io.Reader
	received func(n, total int)
	total    int
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.total += n
	r.received(n, r.total)
	return n, err
}

func writeFrame(ctx context.Context, ws *websocket.Conn, f frame) error {
	if f.Body == nil {
		f.Body = cbor.RawMessage{0xf6} // null
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout+time.Duration(len(data))*time.Second/minRate)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, data)
}

// Client sends requests to other processes. Its zero value is ready for use.
type Client struct {
	// Dial, if set, connects to an address in place of the net package.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*conn
}

// pendingCall is a request that waits for its response.
type pendingCall struct {
	ctx      context.Context
	response chan frame
}

type conn struct {
	ready     chan struct{} // closed when dialing has finished
	err       error         // the error of dialing, set before ready is closed
	dialEnded time.Time
	ws        *websocket.Conn

	mu             sync.Mutex
	nextID         uint64
	pending        map[uint64]pendingCall
	lastReceived   time.Time // when bytes have last arrived
	broken         bool
	writing        int  // requests that are being written
	suspect        bool // may have gone silent: only the requests in flight still wait for it
	checkScheduled bool // a call of check is scheduled
}

// conn returns the connection to an address, and starts to dial a new one if there is none that can be used.
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
	x = &conn{ready: make(chan struct{}), pending: map[uint64]pendingCall{}}
	c.conns[addr] = x
	go x.dial(addr, c.Dial)
	return x
}

// replaceable reports whether the connection was closed or is suspect, or dialing failed at least redialPause ago.
func (x *conn) replaceable() bool {
	select {
	case <-x.ready:
	default:
		return false
	}
	if x.err != nil {
		return time.Since(x.dialEnded) > redialPause
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.broken || x.suspect
}

func (x *conn) dial(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if dial == nil {
		dial = (&net.Dialer{Control: netopt.UserTimeout(ackTimeout)}).DialContext
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, Proxy: nil}}
	// The response of a handshake has no body to close.
	x.ws, _, x.err = websocket.Dial(ctx, "ws://"+addr+endpointPath, &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // see above
	x.dialEnded = time.Now()
	if x.err == nil {
		x.ws.SetReadLimit(maxFrame)
		x.lastReceived = time.Now()
		go x.receive()
	}
	close(x.ready)
}

// receive passes responses to the requests that wait for them until the connection is closed.
func (x *conn) receive() {
	defer x.shutDown()
	for {
		f, err := readFrame(context.Background(), x.ws, x.noteProgress)
		if err != nil {
			return
		}
		x.mu.Lock()
		ch := x.pending[f.ID].response
		delete(x.pending, f.ID)
		replaced := x.suspect && len(x.pending) == 0
		x.mu.Unlock()
		if ch != nil {
			ch <- f
		}
		if replaced {
			return
		}
	}
}

// noteProgress notes that n bytes of a frame have arrived. Those of a large frame bring the requests that wait for the
// connection forward, whichever of them it answers; others, such as responses to pings, don't.
func (x *conn) noteProgress(n, total int) {
	x.mu.Lock()
	x.lastReceived = time.Now()
	var waiting []context.Context
	if total >= minLargeFrame {
		for _, p := range x.pending {
			waiting = append(waiting, p.ctx)
		}
	}
	x.mu.Unlock()
	for _, ctx := range waiting {
		stall.Progress(ctx, n)
	}
}

// check closes the connection if responses are outstanding and nothing has arrived for silenceTimeout, and otherwise sends
// a ping. While a request is being written, which has a time limit of its own, it does neither. It is called every
// pingPeriod, but only while responses are outstanding, because a process has connections to many others, most of which are
// idle.
func (x *conn) check() {
	x.mu.Lock()
	busy, writing, lastReceived := len(x.pending) > 0 && !x.broken, x.writing > 0, x.lastReceived
	x.checkScheduled = busy
	x.mu.Unlock()
	if !busy {
		return
	}
	if !writing && (time.Since(lastReceived) > silenceTimeout || writeFrame(context.Background(), x.ws, frame{}) != nil) {
		x.shutDown()
		return
	}
	time.AfterFunc(pingPeriod, x.check)
}

// shutDown closes the connection and fails the requests that wait for a response.
func (x *conn) shutDown() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken {
		return
	}
	x.broken = true
	for id, p := range x.pending {
		close(p.response)
		delete(x.pending, id)
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
	sentAt := time.Now()
	if len(x.pending) == 0 {
		x.lastReceived = sentAt
	}
	if !x.checkScheduled {
		x.checkScheduled = true
		time.AfterFunc(pingPeriod, x.check)
	}
	x.pending[id] = pendingCall{ctx, ch}
	x.writing++
	x.mu.Unlock()
	//nolint:contextcheck // canceling a write would close the connection for the other requests
	err := writeFrame(context.Background(), x.ws, frame{ID: id, Method: m, Body: body})
	x.written(len(body))
	if err != nil {
		x.shutDown()
		return nil, errors.Wrapf(ErrConnectionLost, "%s: %v", addr, err)
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return nil, errors.Wrap(ErrConnectionLost, addr)
		}
		if f.Error != "" {
			return nil, &RemoteError{Method: m, Reason: f.Error}
		}
		return f.Body, nil
	case <-ctx.Done():
		x.giveUp(id, sentAt)
		return nil, errors.Wrapf(ErrConnectionLost, "%s: %v", addr, ctx.Err())
	}
}

// written notes that a request has been written, or has failed. A large one may have taken longer than silenceTimeout.
func (x *conn) written(size int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writing--
	if size >= stall.LargeTransfer {
		x.lastReceived = time.Now()
	}
}

// giveUp forgets a request whose caller no longer waits. If nothing has arrived since it was sent, the connection may have
// gone silent. One that was made a moment ago is kept, so that a process that answers late isn't dialed all the time.
func (x *conn) giveUp(id uint64, sentAt time.Time) {
	x.mu.Lock()
	delete(x.pending, id)
	now := time.Now()
	if !x.lastReceived.After(sentAt) && now.Sub(sentAt) >= suspicionTime && now.Sub(x.dialEnded) >= silenceTimeout {
		x.suspect = true
	}
	replaced := x.suspect && len(x.pending) == 0
	x.mu.Unlock()
	if replaced {
		x.shutDown()
	}
}

// RemoteError is an error that the other process's handler returned.
type RemoteError struct {
	Method Method
	Reason string
}

// Error returns the method and the text of the error.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Method, e.Reason) }
