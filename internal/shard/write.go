package shard

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

const (
	// writerName is the same for all owners; the epoch tells them apart.
	writerName = "owner"
	// writeTimeout is when a write without an answer is repeated on another connection.
	writeTimeout = time.Second
	// slowWriteTimeout is used after a first repeat, for a log that answers slowly.
	slowWriteTimeout = 2500 * time.Millisecond
	// retryPause is the time between the attempts of a write, or of a read at takeover.
	retryPause = 50 * time.Millisecond
	// refusedPause is the time after the log has refused a write.
	refusedPause = 150 * time.Millisecond
	// proofKey is written where nothing else is to be, to prove the ownership: an
	// empty append would not count in the writer's sequence. No job has this key.
	proofKey = "~proof"
	// knowledgePrefix precedes a pool's id in the key of its owner's knowledge. No job has such a key.
	knowledgePrefix = "~pool/"
	// notePeriod is how often the knowledge is written beside other records; it changes slowly.
	notePeriod = 2 * time.Second
	// maxWriteBytes bounds the records of one call, well under the log's limit.
	maxWriteBytes = 1 << 20
)

// write is an append in flight.
type write struct {
	began   time.Time
	flushes map[*pool]jobs.WriteSeq
	records map[*pool][]*jobs.Record
	probes  []chan error
}

// startWrite writes all changes, unless a write is in flight or the last one was refused just now.
func (s *Shard) startWrite(now time.Time) {
	if s.write != nil {
		return
	}
	w := &write{began: now, flushes: map[*pool]jobs.WriteSeq{}, records: map[*pool][]*jobs.Record{}}
	records := s.expires
	s.expires = nil
	for _, p := range s.pools {
		changed, flush := p.BeginWrite()
		if len(changed) == 0 {
			continue
		}
		w.flushes[p], w.records[p] = flush, changed
		for _, r := range changed {
			value, err := r.Encode()
			if err != nil {
				s.Logger.Error("record can't be encoded", "job", r.ID, "error", err)
				continue
			}
			records = append(records, plog.Record{Key: string(r.ID), Value: value})
		}
	}
	if len(s.probes) > 0 && len(records) == 0 {
		records = append(records, plog.Record{Key: proofKey, Value: []byte{1}})
	}
	if len(records) == 0 {
		return
	}
	records = s.noteKnowledge(now, records)
	w.probes, s.probes = s.probes, nil
	s.write = w
	go func() {
		if !panics.Catch(s.Logger, "write", func() { s.append(w, records) }) {
			s.stop() // it isn't known what is stored
		}
	}()
}

// noteKnowledge adds what the pools have learned to a write, once in a while.
func (s *Shard) noteKnowledge(now time.Time, records []plog.Record) []plog.Record {
	if now.Sub(s.noted) < notePeriod {
		return records
	}
	s.noted = now
	for _, p := range s.pools {
		k := p.Calibration()
		if k == nil {
			continue
		}
		value, err := k.Encode()
		if err != nil {
			s.Logger.Error("knowledge can't be encoded", "pool", p.ID, "error", err)
			continue
		}
		records = append(records, plog.Record{Key: knowledgePrefix + string(p.ID), Value: value})
	}
	return records
}

// append sends the write until the log has answered it.
func (s *Shard) append(w *write, records []plog.Record) {
	var err error
	for i, chunk := range chunks(records) {
		s.seq++
		// Once a part is stored, a refusal of a later part must not withdraw the whole write.
		if err = s.appendChunk(chunk, i > 0); err != nil {
			s.seq--
			break
		}
	}
	if s.RecordWrite != nil {
		s.RecordWrite(s.Clock.Now().Sub(w.began))
	}
	s.post(func(now time.Time) { s.written(now, w, err) })
}

func chunks(records []plog.Record) [][]plog.Record {
	var out [][]plog.Record
	size, from := 0, 0
	for i := range records {
		n := len(records[i].Key) + len(records[i].Value)
		if size+n > maxWriteBytes && i > from {
			out = append(out, records[from:i])
			size, from = 0, i
		}
		size += n
	}
	return append(out, records[from:])
}

// appendChunk repeats an append until the log has answered it. It returns ErrRefused only
// if nothing of the write can have been stored; unsure means that something may have been before.
func (s *Shard) appendChunk(chunk []plog.Record, unsure bool) error {
	timeout := writeTimeout
	for {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		err := s.Log.Append(ctx, s.position(), plog.Writer{Name: writerName, Epoch: s.Epoch, Seq: s.seq}, chunk)
		cancel()
		var out *plog.SeqError
		switch {
		case err == nil:
			return nil
		case errors.Is(err, plog.ErrFenced), errors.As(err, &out), s.ctx.Err() != nil:
			return err
		case errors.Is(err, plog.ErrRefused) && !unsure:
			return err
		case errors.Is(err, plog.ErrNoAnswer):
			unsure = true
			timeout = slowWriteTimeout
		}
		s.Logger.Info("write repeated", "partition", s.Partition, "append", s.seq, "unsure", unsure, "error", err)
		if clock.Sleep(s.ctx, s.Clock, retryPause) != nil {
			return s.ctx.Err()
		}
	}
}

// written takes the end of a write.
func (s *Shard) written(now time.Time, w *write, err error) {
	switch {
	case err == nil:
		s.write = nil
		for _, reply := range w.probes {
			reply <- nil
		}
		for p, flush := range w.flushes {
			p.durable = flush
			p.MarkDurable(now, flush)
			p.answer(func(x waiter) bool { return x.flush <= flush }, nil)
		}
	case errors.Is(err, plog.ErrRefused):
		s.Logger.Info("write refused", "partition", s.Partition, "error", err)
		s.refused(now, w)
		for _, reply := range w.probes {
			reply <- ErrNotStored
		}
		s.Clock.AfterFunc(refusedPause, func() {
			s.post(func(time.Time) { s.write = nil })
		})
	default:
		for _, reply := range w.probes {
			reply <- ErrNotOwner
		}
		s.Logger.Warn("ownership lost", "partition", s.Partition, "epoch", s.Epoch, "error", err)
		s.stop()
	}
}

// refused withdraws the jobs of a write that was not carried out, so that their
// clients can be refused, and keeps its other changes for the next write.
func (s *Shard) refused(now time.Time, w *write) {
	for p, records := range w.records {
		flush := w.flushes[p]
		for _, x := range p.waiters {
			if x.flush <= flush && x.added {
				p.Withdraw(now, x.job)
			}
		}
		p.answer(func(x waiter) bool { return x.flush <= flush && x.added }, ErrNotStored)
		p.RetryWrite(records)
	}
}

// answer replies to the waiters that match.
func (p *pool) answer(match func(waiter) bool, err error) {
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

// takeOver fences the former owner and reads the state that it left.
func (s *Shard) takeOver() ([]*jobs.Record, error) {
	err := s.retry(func(ctx context.Context) error {
		return s.Log.Append(ctx, s.position(), plog.Writer{Name: writerName, Epoch: s.Epoch, Seq: 0}, nil)
	})
	if err != nil {
		return nil, err
	}
	var records []*jobs.Record
	after := ""
	for {
		var page plog.Page
		err := s.retry(func(ctx context.Context) (err error) {
			page, err = s.Log.Newest(ctx, s.position(), after)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			after = r.Key
			if r.Key == proofKey || s.readKnowledge(r) {
				continue
			}
			record, err := jobs.DecodeRecord(r.Value)
			if err != nil {
				s.Logger.Error("record can't be read", "partition", s.Partition, "key", r.Key, "error", err)
				continue
			}
			records = append(records, record)
		}
		if !page.More {
			return records, nil
		}
	}
}

// readKnowledge reports whether the record is a pool's knowledge, and keeps it if it can be read.
func (s *Shard) readKnowledge(r plog.Record) bool {
	if !strings.HasPrefix(r.Key, knowledgePrefix) {
		return false
	}
	k, err := jobs.DecodeCalibration(r.Value)
	if err != nil {
		s.Logger.Error("knowledge can't be read", "partition", s.Partition, "key", r.Key, "error", err)
		return true
	}
	s.knowledge = append(s.knowledge, k)
	return true
}

// retry repeats a call until it succeeds, the shard ends, or a later owner is there.
func (s *Shard) retry(f func(ctx context.Context) error) error {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
		err := f(ctx)
		cancel()
		if err == nil || errors.Is(err, plog.ErrFenced) {
			return err
		}
		s.Logger.Info("takeover waits for the log", "partition", s.Partition, "error", err)
		if clock.Sleep(s.ctx, s.Clock, retryPause) != nil {
			return s.ctx.Err()
		}
	}
}
