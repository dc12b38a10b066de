package shard

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/stall"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// writerName is the same for all owners; their epochs differ.
	writerName = "owner"
	// takeoverTimeout bounds the time for which a call to the log at a takeover makes no progress.
	takeoverTimeout = time.Second
	// retryPause is the time between two attempts of such a call.
	retryPause = 50 * time.Millisecond
	// refusedPause is the time until the next write after the log has refused one.
	refusedPause = 150 * time.Millisecond
	// proofKey is the key of a record that is written only to prove the ownership when there is nothing
	// else to write. An empty append would not count in the writer's sequence. No job has this key.
	proofKey = "~proof"
	// calibrationPrefix precedes a pool's id in the key of its calibration. No job has such a key.
	calibrationPrefix = "~pool/"
	// calibrationPeriod is the shortest time between two writes of the calibrations, which change slowly. They are
	// written only together with other records.
	calibrationPeriod = 2 * time.Second
	// maxWriteBytes bounds the records of one append where the log's limit is higher.
	maxWriteBytes ident.Bytes = 1 << 20
)

var proofRecord = plog.Record{Key: proofKey, Value: []byte{1}}

// write is a write in flight: all changes of the pools since the previous one, in one or more appends.
type write struct {
	startedAt     time.Time
	writeSeqs     map[*pool]jobs.WriteSeq
	changes       map[*pool][]jobs.Change
	proofWaiters  []chan error
	invalid       map[string]bool         // keys of the records that the log has rejected
	caps          *quota.Write            // nil if no allowance has changed
	cancellations map[string]cancellation // by the keys of their records
}

// startWrite writes all changes, unless a write is in flight or the last one was refused less than refusedPause ago.
func (s *Shard) startWrite(now time.Time) {
	if s.inFlight != nil {
		return
	}
	w := &write{startedAt: now, writeSeqs: map[*pool]jobs.WriteSeq{}, changes: map[*pool][]jobs.Change{}, invalid: map[string]bool{}}
	records := s.tombstones
	s.tombstones = nil
	records = s.appendAllowances(w, records)
	records = s.appendCancellations(w, records)
	for _, p := range s.pools {
		changed, writeSeq := p.BeginWrite()
		if len(changed) == 0 {
			continue
		}
		w.writeSeqs[p], w.changes[p] = writeSeq, changed
		for i := range changed {
			entries, err := changed[i].Entries()
			if err != nil {
				s.Logger.Error("cannot encode the records of a job", "job", changed[i].Job, "error", err)
				continue
			}
			for _, e := range entries {
				records = append(records, plog.Record(e))
			}
		}
	}
	if len(s.proofWaiters) > 0 && len(records) == 0 {
		records = append(records, proofRecord)
	}
	if len(records) == 0 {
		return
	}
	records = s.appendCalibrations(now, records)
	w.proofWaiters, s.proofWaiters = s.proofWaiters, nil
	s.inFlight = w
	go func() {
		if !panics.Catch(s.Logger, "write", func() { s.append(w, records) }) {
			s.stop() // it is unknown what is stored
		}
	}()
}

// appendCalibrations adds the calibrations of the pools to a write, at most once per calibrationPeriod.
func (s *Shard) appendCalibrations(now time.Time, records []plog.Record) []plog.Record {
	if now.Sub(s.lastCalibrationWrite) < calibrationPeriod {
		return records
	}
	s.lastCalibrationWrite = now
	for _, p := range s.pools {
		c := p.Calibration()
		if c == nil {
			continue
		}
		value, err := c.Encode()
		if err != nil {
			s.Logger.Error("cannot encode calibration", "pool", p.ID, "error", err)
			continue
		}
		records = append(records, plog.Record{Key: calibrationPrefix + string(p.ID), Value: value})
	}
	return records
}

// append executes a write, and posts its result once the log has responded.
func (s *Shard) append(w *write, records []plog.Record) {
	var err error
	for i, chunk := range s.chunks(records) {
		// Once a chunk is stored, a refusal of a later chunk must not withdraw the whole write.
		if err = s.appendValid(w, chunk, i > 0); err != nil {
			break
		}
	}
	if err == nil && len(w.invalid) == len(records) { // the records are not the cause if the log rejects any record
		err = s.appendChunk([]plog.Record{proofRecord}, true)
	}
	if s.RecordWrite != nil {
		s.RecordWrite(s.Clock.Now().Sub(w.startedAt))
	}
	s.post(func(now time.Time) { s.writeDone(now, w, err) })
}

// appendValid appends the records that the log doesn't reject as invalid, and notes the others in w.
func (s *Shard) appendValid(w *write, records []plog.Record, partlyStored bool) error {
	err := s.appendChunk(records, partlyStored)
	switch {
	case !errors.Is(err, plog.ErrInvalid):
		return err
	case len(records) == 1:
		w.invalid[records[0].Key] = true
		s.Logger.Error("the log rejects a record", "partition", s.Partition, "key", records[0].Key, "bytes", records[0].Size(), "error", err)
		return nil
	}
	half := len(records) / 2
	if err := s.appendValid(w, records[:half], true); err != nil {
		return err
	}
	return s.appendValid(w, records[half:], true)
}

func (s *Shard) appendChunk(records []plog.Record, partlyStored bool) error {
	appender := plog.Appender{Log: s.Log, Clock: s.Clock, Logger: s.Logger}
	s.seq++
	err := appender.Append(s.ctx, s.topicPartition(), plog.Writer{Name: writerName, Epoch: s.Epoch, Seq: s.seq}, records, partlyStored)
	if err != nil {
		s.seq--
	}
	return err
}

// chunks splits records into appends of at most maxWriteBytes and the log's limit, or of one record.
func (s *Shard) chunks(records []plog.Record) [][]plog.Record {
	limit := maxWriteBytes
	if s.MaxAppend > 0 {
		limit = min(limit, s.MaxAppend)
	}
	var out [][]plog.Record
	size, from := ident.Bytes(0), 0
	for i := range records {
		n := records[i].AppendSize()
		if size+n > limit && i > from {
			out = append(out, records[from:i])
			size, from = 0, i
		}
		size += n
	}
	return append(out, records[from:])
}

// writeDone handles the result of a write.
func (s *Shard) writeDone(now time.Time, w *write, err error) {
	if err == nil {
		s.writes.Observe(now.Sub(w.startedAt))
	}
	switch {
	case err == nil && len(w.invalid) > 0:
		s.inFlight = nil
		s.allowancesStored(w)
		proofErr := s.cancellationsError(w)
		for _, reply := range w.proofWaiters {
			reply <- proofErr
		}
		s.recordsRejected(now, w)
	case err == nil:
		s.inFlight = nil
		s.allowancesStored(w)
		for _, reply := range w.proofWaiters {
			reply <- nil
		}
		for p, writeSeq := range w.writeSeqs {
			p.durable = writeSeq
			p.MarkDurable(now, writeSeq)
			p.reply(func(x waiter) bool { return x.writeSeq <= writeSeq }, nil)
		}
	case errors.Is(err, plog.ErrRefused):
		s.Logger.Info("write refused", "partition", s.Partition, "error", err)
		s.writeRefused(now, w)
		for _, reply := range w.proofWaiters {
			reply <- ErrNotStored
		}
		s.Clock.AfterFunc(refusedPause, func() {
			s.post(func(time.Time) { s.inFlight = nil })
		})
	default:
		for _, reply := range w.proofWaiters {
			reply <- ErrNotOwner
		}
		s.Logger.Warn("ownership lost", "partition", s.Partition, "epoch", s.Epoch, "error", err)
		s.stop()
	}
}

// recordsRejected handles a write of which some records were invalid. The next write repeats the others, since all changes
// of a write become durable together.
func (s *Shard) recordsRejected(now time.Time, w *write) {
	for p, changes := range w.changes {
		var valid []jobs.Change
		for _, c := range changes {
			record, segments := c.Rejected(w.invalid)
			switch {
			case !record && !segments:
				valid = append(valid, c)
			case p.RejectChange(now, c, record):
				p.reply(func(x waiter) bool { return x.job == c.Job }, ErrInvalid)
			}
		}
		p.RetryWrite(valid)
	}
}

// writeRefused withdraws the jobs submitted in a write that was not carried out, so that their
// clients can be refused, and marks the other changes for the next write.
func (s *Shard) writeRefused(now time.Time, w *write) {
	if w.caps != nil {
		s.allowances.RetryWrite(w.caps)
	}
	s.retryCancellations(w)
	for p, changes := range w.changes {
		writeSeq := w.writeSeqs[p]
		p.refuseWaiting(now, func(x waiter) bool { return x.writeSeq <= writeSeq })
		p.RetryWrite(changes)
	}
}

// writeOverdue reports whether the write in flight has had no response for longer than the pace of the log explains.
func (s *Shard) writeOverdue(now time.Time) bool {
	return s.inFlight != nil && s.writes.Overdue(now.Sub(s.inFlight.startedAt))
}

// refuseQueued withdraws the jobs that wait for the write after the one in flight, if that is overdue. Nothing of them has left this process, so their clients may try again at once.
func (s *Shard) refuseQueued(now time.Time) {
	if !s.writeOverdue(now) {
		return
	}
	for _, p := range s.pools {
		begun := s.inFlight.writeSeqs[p]
		p.refuseWaiting(now, func(x waiter) bool { return x.writeSeq > begun })
	}
}

// refuseWaiting withdraws the new jobs of the waiting requests that match, and refuses all requests that wait for these jobs.
func (p *pool) refuseWaiting(now time.Time, match func(waiter) bool) {
	withdrawn := map[work.JobID]bool{}
	for _, x := range p.waiters {
		if x.newJob && match(x) {
			withdrawn[x.job] = true
			p.Withdraw(now, x.job)
		}
	}
	p.reply(func(x waiter) bool { return withdrawn[x.job] }, ErrNotStored)
}

// reply answers the waiters that match and removes them.
func (p *pool) reply(match func(waiter) bool, err error) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if match(w) {
			w.reply <- err
		} else {
			kept = append(kept, w)
		}
	}
	p.waiters = kept
}

// takeOver fences the previous owner and reads the state that it stored.
func (s *Shard) takeOver() (jobs.Stored, error) {
	err := s.retry(func(ctx context.Context) error {
		return s.Log.Append(ctx, s.topicPartition(), plog.Writer{Name: writerName, Epoch: s.Epoch, Seq: 0}, nil)
	})
	if err != nil {
		return nil, err
	}
	stored := jobs.Stored{}
	after := ""
	for {
		var page plog.Page
		err := s.retry(func(ctx context.Context) (err error) {
			page, err = s.Log.Newest(ctx, s.topicPartition(), after)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			before := after
			after = r.Key
			if r.Key == proofKey || s.readCalibration(r) || s.readAllowance(r) || s.readCancellation(r) {
				continue
			}
			s.addStored(stored, r, before)
		}
		s.partlyRead = s.partlyRead || page.Partial
		if !page.More {
			if last := stored[s.reserving]; last != nil {
				last.Reserve(&s.Space)
			}
			if s.partlyRead {
				s.Logger.Error("a part of the stored jobs can't be read; none is denied", "partition", s.Partition, "read", len(stored))
			}
			return stored, nil
		}
	}
}

// addStored adds a record of a job to those read so far, and reserves space for the job before it, whose records have all been
// read.
func (s *Shard) addStored(stored jobs.Stored, r plog.Record, before string) {
	id, known := jobs.JobOf(r.Key), len(stored)
	if err := stored.Add(jobs.Entry(r)); err != nil {
		s.Logger.Error("cannot decode job record", "partition", s.Partition, "key", r.Key, "error", err)
	}
	if len(stored) == known {
		return
	}
	stored[id].After = before
	if last := stored[s.reserving]; last != nil {
		last.Reserve(&s.Space)
	}
	s.reserving = id
}

// restore passes the stored jobs to their pools. Segments without a record are removed: they remain of a job whose
// removal, or whose submission, was stored in part. Jobs of which a record can't be decoded are left to a process that can.
func (s *Shard) restore(now time.Time, stored jobs.Stored) {
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		j := stored[id]
		if j.Undecoded {
			s.undecoded[id] = true
			continue
		}
		if j.Record != nil {
			j.Release(&s.Space)
			p := s.pool(j.Record.Pool)
			p.RestoreStored(now, j)
			continue
		}
		for _, segment := range j.Segments {
			s.tombstones = append(s.tombstones, plog.Record{Key: segment.Key()})
		}
	}
}

// readCalibration reports whether the record is a pool's calibration, and keeps it if it can be decoded.
func (s *Shard) readCalibration(r plog.Record) bool {
	if !strings.HasPrefix(r.Key, calibrationPrefix) {
		return false
	}
	c, err := jobs.DecodeCalibration(r.Value)
	if err != nil {
		s.Logger.Error("cannot decode calibration", "partition", s.Partition, "key", r.Key, "error", err)
		return true
	}
	s.calibrations = append(s.calibrations, c)
	return true
}

// retry repeats a call until it succeeds, the shard ends, or a later owner has fenced this one.
func (s *Shard) retry(f func(ctx context.Context) error) error {
	for {
		ctx, cancel := stall.WithTimeout(s.ctx, takeoverTimeout)
		err := f(ctx)
		cancel()
		if err == nil || errors.Is(err, plog.ErrFenced) {
			return err
		}
		s.Logger.Info("takeover is waiting for the log", "partition", s.Partition, "error", err)
		if clock.Sleep(s.ctx, s.Clock, retryPause) != nil {
			return s.ctx.Err()
		}
	}
}
