package keys

import (
	"context"
	"errors"
	"net/http"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Claims claims idempotency keys. After an error of Claim the caller holds no claim and must not send the request.
type Claims interface {
	// Claim returns ErrInUse, ErrMismatch, ErrUncertain, ErrUnavailable or the error of ctx.
	Claim(ctx context.Context, key ident.KeyID, fingerprint Fingerprint) (Claim, error)
}

// Claim is either the right to run the request of a key or the stored response of its first run.
type Claim interface {
	// Stored returns the response of the first run, or nil if this claim may run the request.
	Stored() *Response
	// MarkSent records that the request may run from now on. The request must not be sent before MarkSent has returned nil.
	MarkSent(ctx context.Context) error
	// Finish stores the response of the run.
	Finish(ctx context.Context, resp *Response) error
	// Abandon releases the key; it is allowed only if nothing was sent.
	Abandon(ctx context.Context) error
}

// Fingerprint is a hash of a request's method, path and body. The same key with another fingerprint is an error of the
// caller.
type Fingerprint string

// Response is the stored response to a request. One whose body is too large is stored without the body.
type Response struct {
	Status      int         `cbor:"status"`
	Header      http.Header `cbor:"header"`
	Body        []byte      `cbor:"body"`
	BodyDropped bool        `cbor:"dropped"` // the body was too large to keep
}

// Errors of Claim.
var (
	ErrInUse       = errors.New("a request with this idempotency key is running")
	ErrMismatch    = errors.New("this idempotency key was used for another request")
	ErrUncertain   = errors.New("a request with this idempotency key may have run; its response is lost")
	ErrUnavailable = errors.New("it cannot be proved that this idempotency key is unused")
)
