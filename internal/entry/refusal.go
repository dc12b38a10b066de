package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/keys"
	"github.com/toucanhatch/toucanhatch/internal/target"
)

const defaultRetryAfter = time.Second

// refusal is an error response of the entry, as opposed to a response of a target.
type refusal struct {
	status     int
	text       string
	retryAfter time.Duration // zero: no Retry-After header
	unknown    bool          // an earlier request with the same idempotency key may have run
}

// refuse responds with f. The outcome is not-run unless f is unknown or an attempt may have run.
func (x *exchange) refuse(f *refusal) {
	if f.unknown {
		x.outcome = Unknown
	}
	text := "not run: " + f.text
	if x.outcome == Unknown {
		text = "the request may have run: " + f.text
	}
	if f.retryAfter > 0 {
		seconds := int(math.Ceil(f.retryAfter.Seconds()))
		x.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	x.received.Finish(x.w.Header())
	x.status = f.status
	x.w.Header().Set(OutcomeHeader, string(x.outcome))
	http.Error(x.w, text, f.status)
}

// acquireRefusal returns the refusal for an error of Permits.Acquire.
func (x *exchange) acquireRefusal(err error) *refusal {
	f := &refusal{
		status: http.StatusServiceUnavailable, text: fmt.Sprintf("pool %q: %v", x.pool, err), retryAfter: defaultRetryAfter,
	}
	var overloaded *broker.OverloadedError
	var quarantined *broker.QuarantinedError
	switch {
	case errors.As(err, &quarantined):
		f.retryAfter = max(quarantined.RetryAfter, time.Millisecond)
	case errors.As(err, &overloaded):
		f.retryAfter = max(overloaded.RetryAfter, time.Millisecond)
	case errors.Is(err, context.DeadlineExceeded):
		f.text = fmt.Sprintf("pool %q: no slot became free in time", x.pool)
	}
	return f
}

// sendRefusal returns the refusal for an error of an attempt.
func sendRefusal(err error) *refusal {
	var notSent *target.NotSentError
	switch {
	case errors.As(err, &notSent), errors.Is(err, errMarkSent):
		return &refusal{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: defaultRetryAfter}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errTimedOut):
		return &refusal{status: http.StatusGatewayTimeout, text: "no complete response came in time"}
	}
	return &refusal{status: http.StatusBadGateway, text: err.Error()}
}

// claimRefusal returns the refusal for an error of Claims.Claim.
func claimRefusal(err error) *refusal {
	f := &refusal{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: defaultRetryAfter}
	switch {
	case errors.Is(err, keys.ErrMismatch):
		f.status, f.retryAfter = http.StatusUnprocessableEntity, 0
	case errors.Is(err, keys.ErrInUse):
		f.status, f.unknown = http.StatusConflict, true
	case errors.Is(err, keys.ErrUncertain):
		f.status, f.unknown, f.retryAfter = http.StatusConflict, true, 0
	}
	return f
}
