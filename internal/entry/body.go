package entry

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 10 * time.Second
	// maxPreallocated is the largest Content-Length for which memory is allocated before the body arrives.
	maxPreallocated = 64 << 10
)

func (x *exchange) hasBody() bool { return x.r.Body != nil && x.r.Body != http.NoBody }

// limitBody bounds how long the body may take to arrive. This is also needed for a request that is refused
// without reading its body, since net/http reads the rest of a body before it sends a response.
func (x *exchange) limitBody() {
	if !x.hasBody() {
		return
	}
	// If this fails, the limits of the connection still apply.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.began.Add(cmp.Or(x.h.bodyTime, bodyTimeout)))
}

// readBody reads the whole body. This is done before a permit is acquired, so that a slow caller does not keep a slot.
func (x *exchange) readBody() *refusal {
	if !x.hasBody() {
		return nil
	}
	if x.r.ContentLength > maxBody {
		x.w.Header().Set("Connection", "close") // the body is not read
		return bodyTooLarge()
	}
	var err error
	if n := x.r.ContentLength; n >= 0 && n <= maxPreallocated {
		x.body = make([]byte, n)
		_, err = io.ReadFull(x.r.Body, x.body)
	} else {
		x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, maxBody))
	}
	if err != nil {
		return bodyRefusal(err)
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{}) // the deadline would otherwise end the request
	return nil
}

func bodyTooLarge() *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", maxBody),
	}
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, text: fmt.Sprintf("the body did not arrive within %v", bodyTimeout)}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return &refusal{status: http.StatusBadRequest, text: "the body ended early"}
	}
	return &refusal{status: http.StatusBadRequest, text: fmt.Sprintf("the body cannot be read: %v", err)}
}
