package shard

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// PartitionOf returns the partition that holds a pool.
func PartitionOf(pool ident.PoolID, partitions int) plog.Partition {
	if partitions <= 0 {
		return 0
	}
	return plog.Partition(xxhash.Sum64String(string(pool)) % uint64(partitions))
}

// RefusedError means that the pool doesn't accept the job. No task of it has run or will run.
type RefusedError struct{ RetryAfter time.Duration }

// Error says when to retry.
func (e *RefusedError) Error() string { return "refused, come back in " + e.RetryAfter.String() }

// Submit stores a job and returns once it is durable. A job that is known already is not changed; the error is [ErrIDInUse]
// if it is another tenant's. It is [ErrCanceled] if the job was unknown when it was canceled, less than cancellationTime ago.
func (s *Shard) Submit(ctx context.Context, queue work.Queue, id work.JobID, spec *work.Spec) error {
	reply := make(chan error, 1)
	inUse, canceled := false, false
	err := s.call(ctx, reply, func(now time.Time) {
		if s.undecoded[id] {
			reply <- ErrUndecoded
			return
		}
		p := s.pool(queue.Pool)
		if s.writeOverdue(now) && !p.Known(id) {
			p.NoteArrival(now, id, queue, spec)
			reply <- ErrNotStored
			return
		}
		if p.Known(id) { // stored, or part of a write whose outcome is not known
			inUse = !p.sees(work.Caller{Tenant: spec.Tenant}, id)
			s.replyWhenDurable(p, waiter{writeSeq: p.StoredBy(id), job: id, reply: reply})
			return
		}
		if canceled = s.canceled(now, queue.Pool, id, spec.Tenant); canceled {
			s.Logger.Info("the job was canceled before it was submitted", "job", id, "queue", queue.ID, "tenant", spec.Tenant)
			s.proveOwnership(reply) // the cancellation may not be stored yet
			return
		}
		a := p.Submit(now, id, queue, spec)
		if a.Refused {
			if !s.confirmedWithin(answerValidity) { // a later owner may know the job
				reply <- ErrNotOwner
				return
			}
			reply <- &RefusedError{RetryAfter: a.RetryAfter}
			return
		}
		s.replyWhenDurable(p, waiter{writeSeq: a.Write, job: id, newJob: true, reply: reply})
	})
	switch {
	case err != nil && !errors.Is(err, ErrInvalid):
		return err
	case canceled:
		return ErrCanceled
	}
	return submitError(err, inUse)
}

// Cancel cancels a job and returns once that is durable. known is false if there is no such job for the caller, which also
// holds for a submission that comes later. The error is a [*RefusedError] if there is no space to keep that.
func (s *Shard) Cancel(ctx context.Context, caller work.Caller, pool ident.PoolID, id work.JobID) (known bool, err error) {
	reply := make(chan error, 1)
	found := false
	var cancel func(now time.Time)
	cancel = func(now time.Time) { //nolint:contextcheck // a read of deferred jobs outlives the request
		if s.undecoded[id] {
			reply <- ErrUndecoded
			return
		}
		p := s.pool(pool)
		var writeSeq jobs.WriteSeq
		if p.sees(caller, id) {
			if p.Want(id) {
				s.awaitingRestore[id] = append(s.awaitingRestore[id], cancel)
				s.restoreDeferred()
				return
			}
			writeSeq, found = p.Cancel(now, id)
		}
		switch {
		case found:
			s.replyWhenDurable(p, waiter{writeSeq: writeSeq, job: id, reply: reply})
		case p.Known(id): // another tenant's
			s.proveOwnership(reply)
		default:
			s.cancelUnknown(now, caller, pool, id, reply)
		}
	}
	if err := s.call(ctx, reply, cancel); err != nil {
		return false, err // the job may be canceled later, once it is in memory
	}
	return found, nil
}

// State returns the state of a job. known is false if there is no such job for the caller.
func (s *Shard) State(ctx context.Context, caller work.Caller, pool ident.PoolID, id work.JobID) (state work.JobState, known bool, err error) {
	reply := make(chan error, 1)
	err = s.call(ctx, reply, func(time.Time) {
		if s.undecoded[id] {
			reply <- ErrUndecoded
			return
		}
		p := s.pool(pool)
		if p.sees(caller, id) {
			state, known = p.State(id, p.durable)
		}
		if !known {
			s.proveOwnership(reply)
			return
		}
		reply <- nil
	})
	return state, known, err
}

// Pending returns how many jobs of a queue have not started.
func (s *Shard) Pending(ctx context.Context, pool ident.PoolID, queue work.QueueID) (n int, err error) {
	reply := make(chan error, 1)
	err = s.call(ctx, reply, func(time.Time) {
		n = s.pool(pool).Pending(queue)
		reply <- nil
	})
	return n, err
}

// Report passes directives to a pool and returns its state. The error is [ErrNotOwner] if the ownership has not been
// confirmed recently: VMs are taken down by what the report says, and the tasks of a later owner are not in it.
func (s *Shard) Report(ctx context.Context, pool ident.PoolID, d jobs.Directives) (r sizer.Pool, err error) {
	reply := make(chan error, 1)
	err = s.call(ctx, reply, func(now time.Time) {
		p := s.pool(pool)
		p.lastDirectives = now
		r = p.Report(now, d)
		if !s.confirmedWithin(answerValidity) {
			reply <- ErrNotOwner
			return
		}
		reply <- nil
	})
	return r, err
}

// proveOwnership replies once a write has succeeded, which shows that no later
// owner exists. A later owner could know a job that is unknown here. An owner
// that has read only a part of the stored jobs can't say of any that it doesn't exist.
func (s *Shard) proveOwnership(reply chan error) {
	if s.partlyRead {
		reply <- ErrUndecoded
		return
	}
	s.proofWaiters = append(s.proofWaiters, reply)
}

// replyWhenDurable answers a request once the write that it waits for is confirmed.
func (s *Shard) replyWhenDurable(p *pool, w waiter) {
	if w.writeSeq <= p.durable {
		w.reply <- nil
		return
	}
	p.waiters = append(p.waiters, w)
}

// call posts an event and waits for its reply.
func (s *Shard) call(ctx context.Context, reply chan error, f func(now time.Time)) error {
	select {
	case <-s.ready:
	case <-s.done:
		return ErrNotOwner
	case <-ctx.Done():
		return ErrNotOwner
	}
	if !s.post(func(now time.Time) {
		if s.closing {
			reply <- ErrNotOwner
			return
		}
		f(now)
	}) {
		return ErrNotOwner
	}
	select {
	case err := <-reply:
		return err
	case <-s.done:
		select {
		case err := <-reply:
			return err
		default:
			return ErrUnknownOutcome
		}
	case <-ctx.Done():
		return ErrUnknownOutcome
	}
}
