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

// SentError reports a request of which bytes were sent and that got no response.
type SentError struct {
	Addr   string
	Reused bool // the connection had carried an exchange before
	Cause  error
}

// Error describes the failure.
func (e *SentError) Error() string { return fmt.Sprintf("target %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Cause }

// ErrIDMismatch means that a response bears another request's id.
var ErrIDMismatch = errors.New("the response belongs to another request")

// Failures of a new connection, which count against the target.
var (
	ErrRefused      = errors.New("the target refused a new connection")
	ErrUnresponsive = errors.New("a new connection to the target is silent")
)

// errSealed ends writes that come after the outcome of the request was decided.
var errSealed = errors.New("the connection was given up")
