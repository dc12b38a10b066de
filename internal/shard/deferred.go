package shard

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// deferred returns how many stored jobs of the partition are not in memory.
func (s *Shard) deferred() int {
	n := 0
	for _, p := range s.pools {
		n += p.Deferred()
	}
	return n
}

// restoreDeferred starts to read the records of a deferred job that is wanted or for which there is space by now, unless such a
// read is in progress.
func (s *Shard) restoreDeferred() {
	if s.restoring || s.closing {
		return
	}
	for _, p := range s.pools {
		id, after, ok := p.NextDeferred()
		if !ok {
			continue
		}
		s.restoring = true
		go func() {
			var stored jobs.Stored
			err := errors.New("the read has failed")
			panics.Catch(s.Logger, "read of deferred jobs", func() { stored, err = s.readJobs(id, after) })
			s.post(func(now time.Time) { s.deferredRead(now, p, id, stored, err) })
		}()
		return
	}
}

// deferredRead takes in the records of a deferred job and of those that were read with it.
func (s *Shard) deferredRead(now time.Time, p *pool, wanted work.JobID, stored jobs.Stored, err error) {
	s.restoring = false
	if err != nil {
		s.Logger.Info("records of a deferred job were not read", "partition", s.Partition, "job", wanted, "error", err)
		return // the next tick tries again
	}
	if j := stored[wanted]; j == nil || j.Record == nil || j.Undecoded {
		s.Logger.Error("the record of a deferred job is missing or can't be decoded", "partition", s.Partition, "job", wanted)
		p.DropDeferred(wanted)
		s.undecoded[wanted] = true
	} else {
		p.RestoreDeferred(now, j)
	}
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		if j := stored[id]; id != wanted && j.Record != nil && !j.Undecoded {
			s.pool(j.Record.Pool).RestoreDeferred(now, j)
		}
	}
	for id, requests := range s.awaitingRestore {
		if s.isDeferred(id) {
			continue
		}
		delete(s.awaitingRestore, id)
		for _, carryOut := range requests {
			carryOut(now)
		}
	}
	if s.deferred() == 0 {
		s.Logger.Info("all stored jobs are in memory", "partition", s.Partition)
	}
	s.restoreDeferred()
}

// isDeferred reports whether a stored job of the partition is not in memory.
func (s *Shard) isDeferred(id work.JobID) bool {
	for _, p := range s.pools {
		if p.IsDeferred(id) {
			return true
		}
	}
	return false
}

// readJobs reads the records of a job, which follow a key. It returns those of all jobs whose records it has read, and no part
// of the records of a job.
func (s *Shard) readJobs(id work.JobID, after string) (jobs.Stored, error) {
	ctx, cancel := context.WithTimeout(s.ctx, restoreTimeout)
	defer cancel()
	stored := jobs.Stored{}
	for {
		page, err := s.Log.Newest(ctx, s.topicPartition(), after)
		if err != nil {
			return nil, err
		}
		last := id
		for _, r := range page.Records {
			if after = r.Key; isJobKey(r.Key) {
				last = jobs.JobOf(r.Key)
				if err := stored.Add(jobs.Entry(r)); err != nil {
					s.Logger.Error("cannot decode job record", "partition", s.Partition, "key", r.Key, "error", err)
				}
			}
		}
		if !page.More || len(page.Records) == 0 {
			return stored, nil
		}
		if last != id {
			delete(stored, last) // there may be more of it
			return stored, nil
		}
	}
}

// isJobKey reports whether the record with a key belongs to a job.
func isJobKey(key string) bool {
	return !strings.HasPrefix(key, reservedPrefix)
}

// reservedPrefix precedes the keys of all records that belong to no job.
const reservedPrefix = "~"

// restoreTimeout bounds the read of the records of a deferred job, which are a few pages at most.
const restoreTimeout = 2 * time.Second
