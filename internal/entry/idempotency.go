package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/keys"
)

// claimTimeout bounds the calls that finish or abandon a claim, which do not end with the caller's request.
const claimTimeout = 2 * time.Second

// errMarkSent means that a claimed idempotency key could not be marked as sent, so that nothing was sent.
var errMarkSent = errors.New("the idempotency key could not be marked as sent")

// claimKey claims the request's idempotency key, if there is one. It reports whether the request is to be sent; if
// not, it has responded to the caller.
func (x *exchange) claimKey(ctx context.Context) bool {
	key := x.idempotencyKey()
	if key == "" || x.h.Claims == nil {
		return true
	}
	claim, err := x.h.Claims.Claim(ctx, key, x.fingerprint())
	if err != nil {
		x.refuse(claimRefusal(err))
		return false
	}
	if stored := claim.Stored(); stored != nil {
		x.replay(stored)
		return false
	}
	x.claim = claim
	return true
}

func (x *exchange) fingerprint() keys.Fingerprint {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", x.r.Method, x.r.URL.RequestURI())
	_, _ = h.Write(x.body) // a hash never fails
	return keys.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// markSent tells the key's home entry, before the first attempt, that the request may run from now on.
func (x *exchange) markSent(ctx context.Context) error {
	if x.claim == nil || x.markedSent {
		return nil
	}
	if err := x.claim.MarkSent(ctx); err != nil {
		return fmt.Errorf("%w: %w", errMarkSent, err)
	}
	x.markedSent = true
	return nil
}

// abandonClaim releases the idempotency key of a request of which nothing was sent.
func (x *exchange) abandonClaim(ctx context.Context) {
	if x.claim == nil || x.outcome != NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err := x.claim.Abandon(ctx); err != nil {
		x.h.Logger.Debug("cannot release the idempotency key; repeated requests may be refused", "request", x.id, "error", err)
	}
}

// finishClaim stores a complete response. On failure the key stays claimed, and a repeated request is still refused.
func finishClaim(ctx context.Context, claim keys.Claim, rep *reply) {
	if claim == nil {
		return
	}
	stored := &keys.Response{Status: rep.resp.StatusCode, Header: rep.resp.Header.Clone(), BodyDropped: !rep.complete}
	if rep.complete {
		stored.Body = rep.prefix
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err := claim.Finish(ctx, stored); err != nil {
		rep.g.h.Logger.Warn("cannot store the response for an idempotency key; repeated requests are refused",
			"target", rep.g.permit.Target, "error", err)
	}
}

// finishDetached reads the rest of the response to a request whose caller no longer waits, then releases the permit
// and stores the response.
func finishDetached(ctx context.Context, rep *reply, claim keys.Claim) {
	if !rep.complete {
		_, err := io.Copy(io.Discard, rep.resp.Body)
		rep.close()
		if err != nil {
			rep.g.release(rep.g.h.checkTarget(ctx, rep.g.permit.Address, err))
			return
		}
	}
	rep.g.release(resultOf(rep.resp))
	finishClaim(ctx, claim, rep)
}
