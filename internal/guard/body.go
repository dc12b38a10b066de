package guard

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/intake"
)

// Errors of reading a body. The request of such a body has not been carried out.
var (
	// ErrTooLarge means that a body has more bytes than its limit.
	ErrTooLarge = errors.New("the body is larger than the limit")
	// ErrOverloaded means that the process holds too many bytes of bodies.
	ErrOverloaded = errors.New("too many bodies are being received; this one was given up")
	// ErrLate means that a body did not arrive in time.
	ErrLate = errors.New("the body did not arrive in time")
)

const (
	// minBodyTime is granted to clients with a shorter deadline.
	minBodyTime = time.Second
	// minRate is the rate at which larger bodies must arrive, in bytes a second: a hundredth of a link of 10 Mbit/s.
	minRate = 12500

	firstBuffer = 512
	// firstKnown is the largest first buffer of a body whose length is known.
	firstKnown = 4 << 10
	// drainTime is how long the rest of a body that isn't read may delay the end of its connection.
	drainTime = 500 * time.Millisecond
)

// bodyLimit returns how long a body may take to arrive: the time that its client waits for the response, but at
// most base, and longer for a large body.
func bodyLimit(clientWaits, base time.Duration, limit int64) time.Duration {
	longest := base + time.Duration(max(min(limit, 1<<30)-intake.SmallBody, 0))*time.Second/minRate
	return max(min(clientWaits, longest), minBodyTime)
}

// Body is the body of a request, which may be read again with another limit. Release must be called once the request has
// been handled.
type Body struct {
	// Timeout, if set, is how long the body may take to arrive, whatever its size.
	Timeout time.Duration

	guard       *Guard
	kind        Kind
	conn        *conn
	deadline    func(time.Time) error // sets the deadline of reads
	from        io.Reader
	length      int64 // -1 if it isn't known
	clientWaits time.Duration

	claim *intake.Claim
	data  []byte
	err   error // of the read that ended; io.EOF at the end of the body
}

// Body returns the body of a request, whose client waits for the response for some time.
func (g *Guard) Body(w http.ResponseWriter, r *http.Request, clientWaits time.Duration) *Body {
	b := &Body{guard: g, kind: Clients, from: r.Body, length: r.ContentLength, clientWaits: clientWaits}
	b.conn, _ = r.Context().Value(connKey{}).(*conn)
	if r.Body == nil || r.Body == http.NoBody {
		b.err = io.EOF
		return b
	}
	if b.conn != nil {
		b.deadline = b.conn.SetReadDeadline
	} else {
		b.deadline = http.NewResponseController(w).SetReadDeadline
	}
	return b
}

// Read returns the whole body, or ErrTooLarge if it has more bytes than the limit.
func (b *Body) Read(limit int64) ([]byte, error) {
	if b.err == nil && b.length > limit {
		return nil, ErrTooLarge
	}
	if b.err == nil && int64(len(b.data)) <= limit {
		b.receive(limit)
	}
	switch {
	case int64(len(b.data)) > limit:
		return nil, ErrTooLarge
	case !errors.Is(b.err, io.EOF):
		return nil, b.err
	}
	return b.data, nil
}

// receive reads until the body ends, fails or has more bytes than the limit.
func (b *Body) receive(limit int64) {
	now := time.Now()
	if b.claim == nil {
		if b.conn != nil {
			b.claim = b.conn.takeHeader() // a body that is given up gives up its header as well
		}
		if b.claim == nil {
			b.claim = b.guard.bodies.Claim(func() { _ = b.deadline(time.Unix(1, 0)) })
		}
		_ = b.deadline(now.Add(cmp.Or(b.Timeout, bodyLimit(b.clientWaits, b.guard.limits.BodyTime, limit)))) // if this fails, the limits of the connection still apply
		if b.conn != nil {
			b.conn.entry.Set(intake.Reading, now)
		}
	}
	for int64(len(b.data)) <= limit {
		if len(b.data) == cap(b.data) {
			size := b.nextSize(limit)
			if !b.grow(size-int64(cap(b.data)), now) {
				b.end(ErrOverloaded)
				return
			}
			b.data = append(make([]byte, 0, size), b.data...)
		}
		n, err := b.from.Read(b.data[len(b.data):min(int64(cap(b.data)), limit+1)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			b.end(err)
			return
		}
		now = time.Now()
		b.claim.Progressed(now)
	}
}

// nextSize returns the size of the next buffer. It has room for a byte more than the body, so that its end is seen.
func (b *Body) nextSize(limit int64) int64 {
	whole := limit + 1
	if b.length >= 0 {
		whole = min(b.length+1, whole)
	}
	first := int64(firstBuffer)
	if b.length >= 0 {
		first = firstKnown
	}
	return min(max(4*int64(cap(b.data)), first), whole)
}

func (b *Body) grow(n int64, now time.Time) bool {
	if !b.claim.Grow(n, now) {
		return false
	}
	bodyBytes.Add(n)
	return true
}

// end notes how the body has ended.
func (b *Body) end(err error) {
	stayed := b.claim.Completed()
	switch {
	case !stayed:
		b.err = ErrOverloaded
		b.guard.note(bodyShed, b.kind)
	case errors.Is(err, ErrOverloaded):
		b.err = err
		b.guard.note(bodyRefused, b.kind)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.err = ErrLate
		b.guard.note(bodyLate, b.kind)
	default:
		b.err = err
	}
	if !errors.Is(b.err, io.EOF) {
		b.drop()
		return
	}
	_ = b.deadline(time.Time{}) // the deadline would otherwise end the request
	if b.conn != nil {
		b.conn.entry.Set(intake.Busy, time.Now())
	}
}

// drop releases what has been read.
func (b *Body) drop() {
	b.data = nil
	if b.claim != nil {
		bodyBytes.Add(-b.claim.Release())
	}
}

// Finish prepares for the response: it notes that the response is being written, and if the body has not been read to its end,
// makes the connection close after it.
func (b *Body) Finish(h http.Header) {
	if errors.Is(b.err, io.EOF) {
		if b.conn != nil {
			b.conn.entry.Set(intake.Responding, time.Now())
		}
		return
	}
	h.Set("Connection", "close")
	until := time.Now()
	if b.err == nil {
		until = until.Add(drainTime)
	}
	_ = b.deadline(until) // net/http reads on before it closes the connection
	if b.conn != nil {
		b.conn.entry.Set(intake.Reading, time.Now())
	}
}

// Release ends the use of the body's data.
func (b *Body) Release() { b.drop() }
