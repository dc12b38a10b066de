package guard

import (
	"io"
	"net/http"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/intake"
)

// frameTime bounds the time for a frame from its first bytes to its last.
const frameTime = 10 * time.Second

// Stream is a connection of another process that carries frames after an upgrade. Its zero value bounds nothing.
type Stream struct {
	guard *Guard
	conn  *conn
}

// Stream returns the connection of a request that has been upgraded. The guard may be nil.
func (g *Guard) Stream(r *http.Request) Stream {
	s := Stream{guard: g}
	s.conn, _ = r.Context().Value(connKey{}).(*conn)
	if s.conn != nil {
		s.conn.entry.Set(intake.Fresh, time.Now())
	}
	return s
}

// Trusted notes that the other side has proved who it is. The connection is not closed for others any more.
func (s Stream) Trusted() {
	if s.conn != nil {
		s.conn.entry.Set(intake.Busy, time.Now())
	}
}

// Frame is one frame that is being received.
type Frame struct {
	stream Stream
	from   io.Reader
	claim  *intake.Claim // nil for a small frame
	total  int64
	held   int64
}

// Frame returns a frame whose first bytes have arrived.
func (s Stream) Frame(from io.Reader) *Frame {
	if s.conn != nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(frameTime)) // fails only on a closed connection
	}
	return &Frame{stream: s, from: from}
}

// Read implements io.Reader. It fails if the process holds too many bytes of frames.
func (f *Frame) Read(p []byte) (int, error) {
	n, err := f.from.Read(p)
	f.total += int64(n)
	if f.total <= intake.SmallBody || f.stream.guard == nil {
		return n, err
	}
	if f.claim == nil {
		f.claim = f.stream.guard.frames.Claim(func() { _ = f.stream.conn.SetReadDeadline(time.Unix(1, 0)) })
	}
	if grown := f.total - f.held; f.stream.conn != nil && n > 0 {
		if !f.claim.Grow(grown, time.Now()) {
			f.stream.guard.note(bodyRefused, f.stream.conn.kind)
			return n, ErrOverloaded
		}
		f.held += grown
		bodyBytes.Add(grown)
	}
	return n, err
}

// End notes that the whole frame has arrived.
func (f *Frame) End() {
	if f.claim != nil {
		f.claim.Completed()
	}
	if c := f.stream.conn; c != nil {
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
		c.entry.Set(intake.Idle, time.Now())
	}
}

// Release returns the bytes of the frame, once it has been handled or has failed.
func (f *Frame) Release() {
	if f.claim == nil {
		return
	}
	bodyBytes.Add(-f.claim.Release())
}
