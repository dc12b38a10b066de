package guard

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/intake"
)

const (
	// freeHeader is how many bytes of a header don't count: an ordinary header, and a small body that follows it, arrive in
	// one read of the 4 KB buffer of net/http.
	freeHeader = 4 << 10
	// fieldMemory is the memory that a line of a header takes beside its text. A header of 19 KB with fields of 6 bytes takes
	// 265 KB, which is 86 bytes for a line.
	fieldMemory = 128
)

// header counts the header of the request that is being received or handled on a connection.
type header struct {
	complete atomic.Bool // the header has arrived; what is read belongs to a body or to a stream

	mu    sync.Mutex
	read  int
	claim *intake.Claim // nil unless the header has more than freeHeader bytes
}

// Read implements net.Conn. It fails if the process holds too many bytes for the header that is being received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.header.complete.Load() && !c.countHeader(p[:n]) {
		c.guard.note(bodyRefused, c.kind)
		return 0, ErrOverloaded
	}
	return n, err
}

// countHeader reserves the memory for more bytes of a header, and reports whether there is room.
func (c *conn) countHeader(arrived []byte) bool {
	h := &c.header
	h.mu.Lock()
	defer h.mu.Unlock()
	h.read += len(arrived)
	if h.read <= freeHeader {
		return true
	}
	if h.claim == nil {
		h.claim = c.guard.bodies.Claim(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	}
	size := int64(len(arrived) + bytes.Count(arrived, []byte{'\n'})*fieldMemory)
	if !h.claim.Grow(size, time.Now()) {
		return false
	}
	bodyBytes.Add(size)
	return true
}

// headerArrived notes that the header is complete. If its bytes had been given to others, the connection is closed.
func (c *conn) headerArrived() {
	h := &c.header
	h.complete.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claim != nil && !h.claim.Completed() {
		c.guard.note(bodyShed, c.kind)
		_ = c.Conn.Close() // the server then closes c
	}
}

// takeHeader returns the claim of the header, which the caller has to release, or nil if there is none.
func (c *conn) takeHeader() *intake.Claim {
	h := &c.header
	h.mu.Lock()
	defer h.mu.Unlock()
	claim := h.claim
	h.claim = nil
	return claim
}

// releaseHeader returns the bytes of the header, if nobody has taken its claim.
func (c *conn) releaseHeader() {
	if claim := c.takeHeader(); claim != nil {
		bodyBytes.Add(-claim.Release())
	}
}

// nextHeader prepares for the header of the next request.
func (c *conn) nextHeader() {
	c.releaseHeader()
	c.header.mu.Lock()
	c.header.read = 0
	c.header.mu.Unlock()
	c.header.complete.Store(false)
}
