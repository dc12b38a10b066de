package shard

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// MaxSubmissionAge is how long after its arrival a submission may be sent to the owner of its pool.
	MaxSubmissionAge = time.Minute
	// cancellationTime is how long the cancellation of an unknown job holds. A submission that arrived before it may be sent
	// until MaxSubmissionAge, and reaches the owner later if a process on its way stands still.
	cancellationTime = 2 * MaxSubmissionAge
	// cancellationPrefix precedes the keys of the records of cancellations.
	cancellationPrefix = reservedPrefix + "cancel/"
	// cancellationSize is what one takes in memory beside its names, with its part of the map.
	cancellationSize ident.Bytes = 224
)

// ErrCanceled means that the job has been canceled before it was submitted. It is not stored and no task of it will run.
var ErrCanceled = errors.New("the job was canceled before it was submitted")

// cancellation is the cancellation of a job that its pool didn't know, as it is stored.
type cancellation struct {
	Pool   ident.PoolID  `cbor:"1,keyasint"`
	Job    work.JobID    `cbor:"2,keyasint"`
	Access work.Access   `cbor:"3,keyasint"` // of the caller
	Tenant work.TenantID `cbor:"4,keyasint,omitempty"`
	Until  int64         `cbor:"5,keyasint"` // wall time, Unix milliseconds
}

// scope is whose submissions a cancellation concerns.
func (c *cancellation) scope() work.Caller { return work.Caller{Access: c.Access, Tenant: c.Tenant} }

// size returns the bytes that the cancellation takes in memory.
func (c *cancellation) size() ident.Bytes {
	return cancellationSize + ident.Bytes(len(c.Pool)+len(c.Job)+len(c.Access)+len(c.Tenant))
}

// key returns the key of the cancellation's record.
func (c *cancellation) key() string {
	h := xxhash.New()
	for _, s := range []string{string(c.Pool), string(c.Access), string(c.Tenant)} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	return cancellationPrefix + string(c.Job) + "/" + hex.EncodeToString(h.Sum(nil))
}

// record returns the cancellation's record.
func (c *cancellation) record() (plog.Record, error) {
	value, err := cbor.Marshal(c)
	return plog.Record{Key: c.key(), Value: value}, err
}

// canceledJob names a job that a pool doesn't know.
type canceledJob struct {
	pool ident.PoolID
	job  work.JobID
}

// cancellations holds the cancellations of unknown jobs, which have been confirmed to clients or are about to be. A submission
// may still be on its way: in the socket of a process that stands still, or behind a call that is repeated.
type cancellations struct {
	jobs     map[canceledJob][]cancellation // with different scopes
	unsaved  map[string]cancellation        // those that the next write stores, by key
	refusing bool                           // the last one was refused
	spaceDue time.Time                      // when the first one expires, as of the last search for expired ones
}

// cancelUnknown notes that a caller has canceled a job that the pool doesn't know, and replies once that is durable. Without space
// for it the cancellation is refused: it would not hold.
func (s *Shard) cancelUnknown(now time.Time, caller work.Caller, pool ident.PoolID, id work.JobID, reply chan error) {
	c := cancellation{Pool: pool, Job: id, Access: caller.Access, Tenant: caller.Tenant, Until: s.wallTime(now).Add(cancellationTime).UnixMilli()}
	refused := !s.cancellations.knows(&c) && !s.Space.Fits(space.Cancellations, c.size())
	if refused != s.cancellations.refusing {
		s.cancellations.refusing = refused
		s.Logger.Warn("whether there is space for cancellations of unknown jobs has changed", "partition", s.Partition, "refused", refused, "bytes", s.Space.Used(space.Cancellations))
	}
	if refused {
		reply <- &RefusedError{RetryAfter: max(s.cancellations.spaceDue.Sub(now), expirePeriod)}
		return
	}
	s.addCancellation(c)
	s.cancellations.unsaved[c.key()] = c
	s.proveOwnership(reply)
}

// knows reports whether there is a cancellation of the same job with the same scope.
func (m *cancellations) knows(c *cancellation) bool {
	for _, other := range m.jobs[canceledJob{c.Pool, c.Job}] {
		if other.scope() == c.scope() {
			return true
		}
	}
	return false
}

// addCancellation adds a cancellation, or replaces the one of the same job with the same scope.
func (s *Shard) addCancellation(c cancellation) {
	job := canceledJob{c.Pool, c.Job}
	list := s.cancellations.jobs[job]
	for i := range list {
		if list[i].scope() == c.scope() {
			list[i].Until = max(list[i].Until, c.Until)
			return
		}
	}
	s.cancellations.jobs[job] = append(list, c)
	s.Space.Add(space.Cancellations, c.size())
}

// canceled reports whether the submission of an unknown job by a tenant comes after its cancellation.
func (s *Shard) canceled(now time.Time, pool ident.PoolID, id work.JobID, tenant work.TenantID) bool {
	list := s.cancellations.jobs[canceledJob{pool, id}]
	for i := range list {
		if c := &list[i]; c.scope().Sees(tenant) && c.Until > s.wallTime(now).UnixMilli() {
			return true
		}
	}
	return false
}

// expireCancellations removes the cancellations that hold no longer, and their records.
func (s *Shard) expireCancellations(now time.Time) {
	wall := s.wallTime(now).UnixMilli()
	first := wall + cancellationTime.Milliseconds()
	for job, list := range s.cancellations.jobs {
		kept := list[:0]
		for _, c := range list {
			if c.Until > wall {
				kept = append(kept, c)
				first = min(first, c.Until)
				continue
			}
			s.Space.Add(space.Cancellations, -c.size())
			delete(s.cancellations.unsaved, c.key())
			s.tombstones = append(s.tombstones, plog.Record{Key: c.key()})
		}
		if s.cancellations.jobs[job] = kept; len(kept) == 0 {
			delete(s.cancellations.jobs, job)
		}
	}
	s.cancellations.spaceDue = now.Add(time.Duration(first-wall) * time.Millisecond)
}

// appendCancellations adds the records of the cancellations that are not stored yet to a write.
func (s *Shard) appendCancellations(w *write, records []plog.Record) []plog.Record {
	w.cancellations = s.cancellations.unsaved
	s.cancellations.unsaved = map[string]cancellation{}
	for _, c := range w.cancellations {
		r, err := c.record()
		if err != nil {
			s.Logger.Error("cannot encode a cancellation", "job", c.Job, "error", err)
			continue
		}
		records = append(records, r)
	}
	return records
}

// retryCancellations lets the next write store the cancellations of a write that was not carried out, except those that were
// canceled again meanwhile. They are not confirmed to their callers, but submissions have been refused because of them.
func (s *Shard) retryCancellations(w *write) {
	for key, c := range w.cancellations {
		if _, newer := s.cancellations.unsaved[key]; !newer {
			s.cancellations.unsaved[key] = c
		}
	}
}

// cancellationsError returns [ErrNotStored] if the log has rejected the record of a cancellation in a write.
func (s *Shard) cancellationsError(w *write) error {
	for key := range w.cancellations {
		if w.invalid[key] {
			return ErrNotStored
		}
	}
	return nil
}

// readCancellation reports whether the record is that of a cancellation, and restores it if it can be decoded.
func (s *Shard) readCancellation(r plog.Record) bool {
	if !strings.HasPrefix(r.Key, cancellationPrefix) {
		return false
	}
	var c cancellation
	if err := cbor.Unmarshal(r.Value, &c); err != nil {
		s.Logger.Error("cannot decode a cancellation", "partition", s.Partition, "key", r.Key, "error", err)
		return true
	}
	s.addCancellation(c)
	return true
}

// wallTime returns the wall time at a time of the clock.
func (s *Shard) wallTime(now time.Time) time.Time { return now.Add(s.WallOffset()) }
