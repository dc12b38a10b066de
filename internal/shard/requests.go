package shard

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// PartitionOf returns the partition that holds a pool.
func PartitionOf(pool ident.PoolID, parts int) plog.Partition {
	if parts <= 0 {
		return 0
	}
	return plog.Partition(xxhash.Sum64String(string(pool)) % uint64(parts))
}

// RefusedError means that the pool doesn't take the job; it has not run and will not.
type RefusedError struct{ RetryAfter time.Duration }

// Error tells when to come back.
func (e *RefusedError) Error() string { return "refused, come back in " + e.RetryAfter.String() }

// Submit stores a job and returns once it is durable.
func (s *Shard) Submit(ctx context.Context, queue work.Queue, id work.JobID, spec *work.Spec) error {
	reply := make(chan error, 1)
	return s.wait(ctx, reply, func(now time.Time) {
		p := s.pool(queue.Pool)
		if s.write != nil && now.Sub(s.write.began) > maxStuck {
			if _, known := p.State(id, p.durable); !known {
				reply <- ErrNotStored
				return
			}
		}
		if p.Known(id) {
			s.whenDurable(p, waiter{flush: p.StoredBy(id), job: id, reply: reply})
			return
		}
		a := p.Submit(now, id, queue, spec)
		if a.Refused {
			if !s.confirmedWithin(refuseTime) { // a later owner may know the job
				reply <- ErrNotOwner
				return
			}
			reply <- &RefusedError{RetryAfter: a.RetryAfter}
			return
		}
		s.whenDurable(p, waiter{flush: a.Write, job: id, added: true, reply: reply})
	})
}

// Cancel cancels a job and returns once that is durable; known is false if there is no such job.
func (s *Shard) Cancel(ctx context.Context, pool ident.PoolID, id work.JobID) (known bool, err error) {
	reply := make(chan error, 1)
	err = s.wait(ctx, reply, func(now time.Time) {
		p := s.pool(pool)
		flush, ok := p.Cancel(now, id)
		if known = ok; !ok {
			s.prove(reply)
			return
		}
		s.whenDurable(p, waiter{flush: flush, job: id, reply: reply})
	})
	return known, err
}

// State returns the state of a job.
func (s *Shard) State(ctx context.Context, pool ident.PoolID, id work.JobID) (state work.JobState, known bool, err error) {
	reply := make(chan error, 1)
	err = s.wait(ctx, reply, func(time.Time) {
		p := s.pool(pool)
		state, known = p.State(id, p.durable)
		if !known {
			s.prove(reply)
			return
		}
		reply <- nil
	})
	return state, known, err
}

// Pending returns how many jobs of a queue have not begun.
func (s *Shard) Pending(ctx context.Context, pool ident.PoolID, queue work.QueueID) (n int, err error) {
	reply := make(chan error, 1)
	err = s.wait(ctx, reply, func(time.Time) {
		n = s.pool(pool).Pending(queue)
		reply <- nil
	})
	return n, err
}

// Report gives directions to a pool and returns its state.
func (s *Shard) Report(ctx context.Context, pool ident.PoolID, d jobs.Directives) (r sizer.Pool, err error) {
	reply := make(chan error, 1)
	err = s.wait(ctx, reply, func(now time.Time) {
		p := s.pool(pool)
		p.directed = now
		r = p.Report(now, d)
		reply <- nil
	})
	return r, err
}

// prove replies once a write has shown that no later owner exists: without
// that, a job that is not known here may be known there.
func (s *Shard) prove(reply chan error) { s.probes = append(s.probes, reply) }

func (s *Shard) whenDurable(p *pool, w waiter) {
	if w.flush <= p.durable {
		w.reply <- nil
		return
	}
	p.waiters = append(p.waiters, w)
}

// wait posts an event and waits for its reply.
func (s *Shard) wait(ctx context.Context, reply chan error, f func(now time.Time)) error {
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
