package entry

import (
	"context"
	"errors"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/target"
)

const (
	maxAttempts = 3
	retryWait   = time.Second
	// inlineSlack decides where an attempt runs: if the caller's remaining time is less than inlineSlack shorter than
	// longestRequest, the attempt runs in the caller's own goroutine and ends at the caller's deadline.
	inlineSlack = time.Second
	// statusCallerLeft is recorded for a caller that disconnected before its response.
	statusCallerLeft = 499
)

// forward claims the idempotency key, if there is one, makes up to maxAttempts attempts and responds to the caller.
func (x *exchange) forward(ctx context.Context) {
	ctx, cancel := withLazyDeadline(ctx, x.deadline, x.h.now)
	defer cancel()
	if !x.claimKey(ctx) {
		return
	}
	x.h.retries.deposit()
	var failed error // of the previous attempt
	for attempt := 1; ; attempt++ {
		g, err := x.acquireForAttempt(ctx, attempt)
		if err != nil {
			x.abandonClaim(ctx)
			if failed != nil {
				x.refuse(sendRefusal(failed))
			} else {
				x.refuse(x.acquireRefusal(err))
			}
			return
		}
		rep, err := x.runAttempt(ctx, g)
		if err == nil {
			x.respond(ctx, rep)
			return
		}
		if errors.Is(err, errTimedOut) {
			x.outcome = Unknown
			x.refuseTimedOut()
			return
		}
		x.releaseFailed(ctx, g, err)
		if !isNotSent(err) {
			x.outcome = Unknown
		}
		x.avoid = append(x.avoid, g.permit.Target)
		if attempt == maxAttempts || !x.mayRetry(ctx, err) {
			x.abandonClaim(ctx)
			x.refuse(sendRefusal(err))
			return
		}
		failed = err
	}
}

// acquireForAttempt obtains a permit. A retry waits at most retryWait: if no other
// target has a free slot by then, the caller gets the error of the previous attempt.
func (x *exchange) acquireForAttempt(ctx context.Context, attempt int) (*grant, error) {
	if attempt == 1 {
		return x.acquire(ctx)
	}
	short, cancel := context.WithTimeout(ctx, retryWait)
	defer cancel()
	return x.acquire(short)
}

// mayRetry reports whether a failed attempt may be followed by another one, and if so spends retry budget on it.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errMarkSent) || (!isNotSent(err) && !x.idempotent) {
		return false
	}
	return x.h.retries.tryWithdraw()
}

func isNotSent(err error) bool {
	var notSent *target.NotSentError
	return errors.As(err, &notSent) || errors.Is(err, errMarkSent)
}

// runAttempt makes one attempt. If the caller's deadline passes or the caller disconnects
// before the attempt ends, it returns errTimedOut; the attempt continues in the
// background, where it keeps its permit.
func (x *exchange) runAttempt(ctx context.Context, g *grant) (*reply, error) {
	if err := x.markSent(ctx); err != nil {
		return nil, err
	}
	left := x.deadline.Sub(x.h.now())
	inline := left > longestRequest-inlineSlack
	limit := longestRequest
	if inline {
		limit = left
	}
	out, cancel := x.newTargetRequest(ctx, g, limit)
	if inline {
		return x.send(g, out, cancel)
	}
	type result struct {
		rep *reply
		err error
	}
	done := make(chan result, 1)
	x.h.background.Go(func() {
		rep, err := x.send(g, out, cancel)
		done <- result{rep, err}
	})
	select {
	case r := <-done:
		return r.rep, r.err
	case <-ctx.Done():
	}
	claim := x.claim
	x.h.background.Go(func() {
		r := <-done
		if r.err != nil {
			x.releaseFailed(ctx, g, r.err)
			return
		}
		finishDetached(ctx, r.rep, claim)
	})
	return nil, errTimedOut
}

// refuseTimedOut responds to a caller whose deadline has passed, unless it has disconnected.
func (x *exchange) refuseTimedOut() {
	if x.r.Context().Err() != nil {
		x.status = statusCallerLeft
		return
	}
	x.refuse(sendRefusal(errTimedOut))
}

// releaseFailed releases the permit of a failed attempt and reports to the broker what the error says about the target.
// If the error alone does not show that, it checks the target in the background first.
func (x *exchange) releaseFailed(ctx context.Context, g *grant, err error) {
	switch {
	case errors.Is(err, target.ErrRefused):
		g.release(broker.Refused)
	case errors.Is(err, target.ErrUnresponsive):
		g.release(broker.Unresponsive)
	case isNotSent(err):
		g.release(broker.Unused)
	case errors.Is(err, target.ErrIDMismatch), errors.Is(err, errUpgrade):
		g.release(broker.Failed)
	default:
		x.h.background.Go(func() { g.release(x.h.checkTarget(ctx, g.permit.Address, err)) })
	}
}

// checkTarget makes a liveness exchange on a new connection after an attempt has failed with err, and returns the
// result to report. It returns Refused or Unresponsive only if the new connection fails that way.
func (h *Handler) checkTarget(ctx context.Context, addr string, err error) broker.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	var sent *target.SentError
	switch check := h.Targets.Check(ctx, addr); {
	case errors.Is(check, target.ErrRefused):
		return broker.Refused
	case errors.Is(check, target.ErrUnresponsive):
		return broker.Unresponsive
	case errors.Is(err, context.DeadlineExceeded) && errors.As(err, &sent) && sent.Reused:
		return broker.Unused // the reused connection may have become unresponsive, which is no evidence about the target
	}
	return broker.Failed
}

// checkTimeout bounds the check of a target after a failed attempt.
const checkTimeout = 3 * time.Second
