package keys

import (
	"context"
	"errors"
	"net/http"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Claims claims idempotency keys. An error of Claim means that the request has not run under this claim.
type Claims interface {
	// Claim returns ErrInUse, ErrMismatch, ErrUncertain, ErrUnavailable or the error of ctx.
	Claim(ctx context.Context, key ident.KeyID, print Fingerprint) (Claim, error)
}

// Claim is the right to run the request of one key, or the response of its first run.
type Claim interface {
	// Stored returns the response of the first run, or nil if this claim may run the request.
	Stored() *Response
	// MarkSent records that the first byte is about to be sent; only after it returns nil may the request be sent.
	MarkSent(ctx context.Context) error
	// Finish stores the response.
	Finish(ctx context.Context, a *Response) error
	// Abandon frees the key; it is allowed only if nothing was sent.
	Abandon(ctx context.Context) error
}

// Fingerprint is a hash over method, path and body: the same key with another fingerprint is a caller's mistake.
type Fingerprint string

// Response is a stored response. Larger ones than the home keeps are stored without their body.
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
