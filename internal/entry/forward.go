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
	// directSlack is how much less than longestRequest an attempt may take in the caller's own goroutine.
	directSlack = time.Second
	// statusLeft is recorded for a caller that left before its response.
	statusLeft = 499
)

// serve claims the key, obtains a permit, sends and answers.
func (x *exchange) serve(ctx context.Context) {
	ctx, cancel := withLazyDeadline(ctx, x.deadline, x.h.now)
	defer cancel()
	if !x.claimKey(ctx) {
		return
	}
	x.h.budget.earn()
	var failed error // of the former attempt
	for attempt := 1; ; attempt++ {
		g, err := x.acquireFor(ctx, attempt)
		if err != nil {
			x.abandonClaim(ctx)
			if failed != nil {
				x.refuse(sendRefusal(failed))
			} else {
				x.refuse(x.acquireRefusal(err))
			}
			return
		}
		rep, err := x.try(ctx, g)
		if err == nil {
			x.deliver(ctx, rep)
			return
		}
		if errors.Is(err, errNoTimeLeft) {
			x.outcome = Unknown
			x.giveUp()
			return
		}
		x.settleError(ctx, g, err)
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

// acquireFor obtains a permit. A retry waits only for a short time: when no
// other target is free by then, the caller is told of the first failure.
func (x *exchange) acquireFor(ctx context.Context, attempt int) (*grant, error) {
	if attempt == 1 {
		return x.acquire(ctx)
	}
	short, cancel := context.WithTimeout(ctx, retryWait)
	defer cancel()
	return x.acquire(short)
}

// mayRetry reports whether a failed attempt may be followed by another one.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errClaim) || (!isNotSent(err) && !x.idempotent) {
		return false
	}
	return x.h.budget.spend()
}

func isNotSent(err error) bool {
	var notSent *target.NotSentError
	return errors.As(err, &notSent) || errors.Is(err, errClaim)
}

// try makes one attempt. If the caller's time ends first, the attempt goes on in
// the background, where it keeps its permit, and errNoTimeLeft is returned.
func (x *exchange) try(ctx context.Context, g *grant) (*reply, error) {
	if err := x.markSent(ctx); err != nil {
		return nil, err
	}
	left := x.deadline.Sub(x.h.now())
	direct := left > longestRequest-directSlack
	limit := longestRequest
	if direct {
		limit = left
	}
	out, end := x.request(ctx, g, limit)
	if direct {
		return x.send(g, out, end)
	}
	type result struct {
		rep *reply
		err error
	}
	done := make(chan result, 1)
	x.h.work.Go(func() {
		rep, err := x.send(g, out, end)
		done <- result{rep, err}
	})
	select {
	case r := <-done:
		return r.rep, r.err
	case <-ctx.Done():
	}
	claim := x.claim
	x.h.work.Go(func() {
		r := <-done
		if r.err != nil {
			x.settleError(ctx, g, r.err)
			return
		}
		settleReply(ctx, r.rep, claim)
	})
	return nil, errNoTimeLeft
}

// giveUp answers a caller whose time has ended.
func (x *exchange) giveUp() {
	if x.r.Context().Err() != nil {
		x.status = statusLeft
		return
	}
	x.refuse(sendRefusal(errNoTimeLeft))
}

// settleError releases the permit of a failed attempt with what the failure tells about the target.
func (x *exchange) settleError(ctx context.Context, g *grant, err error) {
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
		x.h.work.Go(func() { g.release(x.h.examine(ctx, g.permit.Address, err)) })
	}
}

// examine finds out what a broken or silent exchange tells about the target: only a new connection counts against it.
func (h *Handler) examine(ctx context.Context, addr string, err error) broker.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), examineLimit)
	defer cancel()
	var sent *target.SentError
	switch check := h.Targets.Check(ctx, addr); {
	case errors.Is(check, target.ErrRefused):
		return broker.Refused
	case errors.Is(check, target.ErrUnresponsive):
		return broker.Unresponsive
	case errors.Is(err, context.DeadlineExceeded) && errors.As(err, &sent) && sent.Reused:
		return broker.Unused // the connection may have gone silent, which says nothing about the target
	}
	return broker.Failed
}

// examineLimit bounds the check of a target after a failure.
const examineLimit = 3 * time.Second
