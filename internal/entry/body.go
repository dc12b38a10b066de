package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/toucanhatch/toucanhatch/internal/guard"
)

// readBody reads the whole body. This is done before a permit is acquired, so that a slow caller does not keep a slot.
func (x *exchange) readBody() *refusal {
	var err error
	if x.body, err = x.received.Read(maxBody); err != nil {
		return x.bodyRefusal(err)
	}
	return nil
}

func bodyTooLarge() *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", maxBody),
	}
}

func (x *exchange) bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return bodyTooLarge()
	case errors.Is(err, guard.ErrOverloaded):
		return &refusal{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: guard.RetryAfter}
	case errors.Is(err, guard.ErrLate):
		return &refusal{status: http.StatusRequestTimeout, text: fmt.Sprintf("the body did not arrive within %v", x.received.Timeout)}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return &refusal{status: http.StatusBadRequest, text: "the body ended early"}
	}
	return &refusal{status: http.StatusBadRequest, text: fmt.Sprintf("the body cannot be read: %v", err)}
}
