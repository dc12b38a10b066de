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

// claimTimeout bounds the messages about a claim that follow the caller's request.
const claimTimeout = 2 * time.Second

// errClaim means that the claim of an idempotency key was lost before anything was sent.
var errClaim = errors.New("the idempotency key could not be marked as sent")

// claimKey claims the request's idempotency key. It reports whether the request is to be sent.
func (x *exchange) claimKey(ctx context.Context) bool {
	key := x.key()
	if key == "" || x.h.Claims == nil {
		return true
	}
	claim, err := x.h.Claims.Claim(ctx, key, x.fingerprint())
	if err != nil {
		x.refuse(claimRefusal(err))
		return false
	}
	if a := claim.Stored(); a != nil {
		x.replay(a)
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

// markSent tells the key's home, before the first attempt, that the request may run from now on.
func (x *exchange) markSent(ctx context.Context) error {
	if x.claim == nil || x.claimSent {
		return nil
	}
	if err := x.claim.MarkSent(ctx); err != nil {
		return fmt.Errorf("%w: %w", errClaim, err)
	}
	x.claimSent = true
	return nil
}

// abandonClaim frees the key of a request of which nothing was sent.
func (x *exchange) abandonClaim(ctx context.Context) {
	if x.claim == nil || x.outcome != NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err := x.claim.Abandon(ctx); err != nil {
		x.h.Logger.Debug("idempotency key was not freed", "request", x.id, "error", err)
	}
}

// finishClaim stores a complete response. A failure leaves the key claimed, so a repeat is refused truthfully.
func finishClaim(ctx context.Context, claim keys.Claim, rep *reply) {
	if claim == nil {
		return
	}
	a := &keys.Response{Status: rep.resp.StatusCode, Header: rep.resp.Header.Clone(), BodyDropped: !rep.whole}
	if rep.whole {
		a.Body = rep.head
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err := claim.Finish(ctx, a); err != nil {
		rep.g.h.Logger.Warn("response of an idempotency key was not stored", "target", rep.g.permit.Target, "error", err)
	}
}

// settleReply reads the response of a request whose caller has left, then frees its slot.
func settleReply(ctx context.Context, rep *reply, claim keys.Claim) {
	if !rep.whole {
		_, err := io.Copy(io.Discard, rep.resp.Body)
		rep.close()
		if err != nil {
			rep.g.release(rep.g.h.examine(ctx, rep.g.permit.Address, err))
			return
		}
	}
	rep.g.release(resultOf(rep.resp))
	finishClaim(ctx, claim, rep)
}
