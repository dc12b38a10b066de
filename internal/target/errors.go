package target

import (
	"errors"
	"fmt"
)

// NotSentError reports a request of which no byte was sent.
type NotSentError struct{ Cause error }

// Error describes why the request was not sent.
func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// SentError reports a request that got no response although bytes of it were sent or may have been sent.
type SentError struct {
	Addr   string
	Reused bool // an earlier exchange on the connection was successful
	Cause  error
}

// Error describes the failure.
func (e *SentError) Error() string { return fmt.Sprintf("target %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Cause }

// ErrIDMismatch means that a response carries the id of another request.
var ErrIDMismatch = errors.New("the response belongs to another request")

// Failures of a new connection. Unlike failures on a reused connection, they are evidence that the target is unhealthy.
var (
	ErrRefused      = errors.New("the target refused a new connection")
	ErrUnresponsive = errors.New("a new connection to the target is silent")
)

// errDiscarded is the error of a write on a discarded connection: discard has already reported whether bytes were sent.
var errDiscarded = errors.New("the connection was given up")
