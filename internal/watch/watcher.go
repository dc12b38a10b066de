package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/hedge"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/stall"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// answerTimeout is how long after its wait time a read may make no progress, by a slow log.
	answerTimeout = 1200 * time.Millisecond
	retryPause    = 200 * time.Millisecond
	// stallTime is how long a large read may make no progress before it is repeated beside it.
	stallTime = answerTimeout / 4
	// readsWithinTarget is into how many intervals a watcher divides ApplyWithin: the wait time of a read, the time for
	// its answer, and the time for the answer of a second read, which may meet a silent connection too.
	readsWithinTarget = 4
	// enabledPollPeriod is how often a paused watcher checks whether it is enabled again if nobody calls Wake.
	enabledPollPeriod = time.Second
	// syncedPollPeriod is how often WaitSynced checks whether the partition has been read.
	syncedPollPeriod = 20 * time.Millisecond
)

// Watcher reads one partition continuously. Set its exported fields before Run.
type Watcher struct {
	Log       plog.Log
	Partition plog.TopicPartition
	// ApplyWithin is the time in which a record is applied after the log has confirmed it, also if a read remains
	// unanswered while the log answers others.
	ApplyWithin time.Duration
	// ReadPause is the time between two reads; it limits the number of calls if records arrive all the time.
	ReadPause time.Duration
	// Enabled, if set, reports whether to read at present.
	Enabled func() bool
	// Replace receives the newest records of all keys, and Apply each later record with its offset. The offset of Replace is
	// that of the end of the partition at a time when it had no newer records of their keys.
	Replace func(end ident.Offset, records []plog.Record)
	Apply   func(at ident.Offset, r plog.Record)
	// Confirm, if set, is called with the time at which a read was sent, once all its records have been processed: with
	// them, all that the log had confirmed to its writers before then. After a record that can't be read, or whose
	// processing panics, the newest records of all keys are read first.
	Confirm func(sent time.Time)
	// SkipSuperseded makes the watcher read the newest records of all keys instead of several appended ones, where those may
	// have come while it was reading a large one or got no answer.
	SkipSuperseded bool
	// Transfers, if set, tells when reads of many bytes make progress, these and others of the same partition. A read is not
	// repeated beside them.
	Transfers *stall.Meter
	Clock     clock.Clock
	Logger    hclog.Logger

	offset      atomic.Int64 // of the next record; those before it have been processed
	synced      atomic.Bool
	afterLarge  bool      // the last read has returned many bytes
	conclusive  bool      // all of the newest records could be read and processed
	confirmedAt time.Time // when the latest read with an answer was sent
	failing     atomic.Bool
	wake        chan struct{}
	hurry       chan struct{}
}

// Init prepares the watcher; without it, [Watcher.Wake] and [Watcher.Hurry] have no effect.
func (w *Watcher) Init() { w.wake, w.hurry = make(chan struct{}, 1), make(chan struct{}, 1) }

// Hurry makes the watcher repeat the read in progress at once, unless it makes progress, because there are records that it
// should have.
func (w *Watcher) Hurry() {
	select {
	case w.hurry <- struct{}{}:
	default:
	}
}

// Wake makes a paused watcher check at once whether it is enabled.
func (w *Watcher) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Offset returns the offset of the next record; those before it have been processed.
func (w *Watcher) Offset() ident.Offset { return ident.Offset(w.offset.Load()) }

// Failing reports whether the last read has failed, rather than being unanswered so far.
func (w *Watcher) Failing() bool { return w.failing.Load() }

// awaitWake waits for a call of Wake, for enabledPollPeriod at most.
func (w *Watcher) awaitWake(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, enabledPollPeriod)
	defer cancel()
	select {
	case <-w.wake:
	case <-waitCtx.Done():
	}
}

// Run reads the partition until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	if w.Transfers == nil {
		w.Transfers = &stall.Meter{Clock: w.Clock}
	}
	for ctx.Err() == nil {
		if w.Enabled != nil && !w.Enabled() {
			w.synced.Store(false)
			w.awaitWake(ctx)
			continue
		}
		previous := w.confirmedAt
		err := w.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := w.ReadPause
		switch {
		case err != nil:
			pause = retryPause
		case !w.synced.Load(): // the rest follows at once
			pause = 0
		case w.failing.Swap(false):
			w.Logger.Info("reading from the log again", "topic", w.Partition.Topic, "unconfirmed", w.confirmedAt.Sub(previous))
		}
		if pause > 0 {
			_ = clock.Sleep(ctx, w.Clock, pause) // the loop checks the context
		}
	}
}

// WaitSynced waits until the partition has been read completely since the watcher was last enabled, or ctx is done.
func (w *Watcher) WaitSynced(ctx context.Context) {
	w.Wake()
	for !w.synced.Load() && clock.Sleep(ctx, w.Clock, syncedPollPeriod) == nil {
	}
}

// batch is the result of one read.
type batch struct {
	plog.Batch
	sent    time.Time
	newest  bool // the records are the newest of all keys, rather than those appended since the last read
	partial bool // there are more of them, which can't be asked for
}

// readOnce reads the newest records if the watcher is not synced, and otherwise the records appended since the last read.
// A read without an answer is repeated on a connection of its own.
func (w *Watcher) readOnce(ctx context.Context) error {
	step := w.ApplyWithin / readsWithinTarget
	select {
	case <-w.hurry: // meant for an earlier read
	default:
	}
	policy := hedge.Policy{After: 2 * step, Interval: step, Moved: func() bool { return w.Transfers.MovedWithin(stallTime) }, Hurry: w.hurry, Clock: w.Clock, Logger: w.Logger}
	synced, offset, afterLarge, failing := w.synced.Load(), w.Offset(), w.afterLarge, w.failing.Load()
	b, err := hedge.Do(ctx, policy, func(ctx context.Context, n int) (batch, error) {
		if n > 0 {
			ctx = plog.Repeat(ctx)
		}
		var b batch
		var err error
		switch {
		case !synced:
			b, err = w.readNewest(ctx)
		case w.SkipSuperseded && (n > 0 || afterLarge || failing):
			b, err = w.readLatest(ctx, offset)
		case n == 0:
			b, err = w.readAppended(ctx, offset, step)
		default:
			b, err = w.readAppended(ctx, offset, 0)
		}
		if err != nil && ctx.Err() == nil {
			w.reportFailure(err)
		}
		return b, err
	})
	var trimmed *plog.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		w.Logger.Info("the log dropped records before they were read; reading the newest records of all keys", "topic", w.Partition.Topic, "offset", offset, "first", trimmed.FirstOffset)
		w.synced.Store(false)
		return nil
	case errors.Is(err, plog.ErrUnreadable):
		w.Logger.Warn("skipping records that can't be read; reading the newest records of all keys", "topic", w.Partition.Topic, "offset", offset, "error", err)
		w.synced.Store(false)
		return err
	case err != nil:
		return err
	}
	w.process(b)
	return nil
}

// reportFailure logs the first failure since the last answer.
func (w *Watcher) reportFailure(err error) {
	var trimmed *plog.TrimmedError
	if !errors.As(err, &trimmed) && !w.failing.Swap(true) {
		w.Logger.Warn("cannot read from the log; retrying", "topic", w.Partition.Topic, "error", err)
	}
}

func (w *Watcher) process(b batch) {
	w.afterLarge = isLarge(b.Records)
	conclusive := w.processRecords(b)
	w.offset.Store(int64(b.Next))
	switch {
	case !b.Complete():
		w.Logger.Info("a read has not ended at the end of the partition; reading the newest records of all keys", "topic", w.Partition.Topic, "next", b.Next, "end", b.End)
		w.synced.Store(false)
		return
	case b.newest:
		w.conclusive = conclusive
	case w.Confirm != nil && (!conclusive || !w.conclusive && len(b.Records) > 0):
		w.Logger.Warn("a record can't be read; reading the newest records of all keys", "topic", w.Partition.Topic, "next", b.Next)
		w.synced.Store(false)
		return
	}
	w.confirmedAt = b.sent
	if w.conclusive && w.Confirm != nil {
		w.Confirm(b.sent)
	}
	w.synced.Store(true)
}

// processRecords passes the records on, and reports whether all of them could be read and processed.
func (w *Watcher) processRecords(b batch) (all bool) {
	part := "record of " + string(w.Partition.Topic)
	if b.newest {
		return panics.Catch(w.Logger, part, func() { w.Replace(b.End, b.Records) }) && !b.partial
	}
	all = true
	for i := range b.Records {
		r, at := b.Records[i], b.Offset(i)
		if !panics.Catch(w.Logger.With("key", r.Key), part, func() { w.Apply(at, r) }) || !r.Readable() {
			all = false
		}
	}
	return all
}

// readLatest reads the records from an offset on, or the newest records of all keys if there are several, of which some
// may have been superseded.
func (w *Watcher) readLatest(ctx context.Context, offset ident.Offset) (batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	b := batch{sent: w.Clock.Now()}
	end, err := w.Log.End(callCtx, w.Partition)
	switch {
	case err != nil:
		return b, err
	case end == offset:
		b.Next, b.End = offset, end
		return b, nil
	case end == offset+1:
		return w.readAppended(ctx, offset, 0)
	default:
		return w.readNewest(ctx)
	}
}

// isLarge reports whether records have so many bytes that others may have been appended while they were read.
func isLarge(records []plog.Record) bool {
	var size ident.Bytes
	for i := range records {
		size += records[i].Size()
	}
	return size >= stall.LargeTransfer
}

// readAppended reads the records from an offset on, and waits for the first one up to wait.
func (w *Watcher) readAppended(ctx context.Context, offset ident.Offset, wait time.Duration) (batch, error) {
	ctx, cancel := stall.WithTimeout(stall.WithMeter(ctx, w.Transfers), wait+answerTimeout)
	defer cancel()
	b := batch{sent: w.Clock.Now()}
	var err error
	b.Batch, err = w.Log.Read(ctx, w.Partition, offset, wait)
	return b, err
}

// readNewest reads the newest record of every key. The following reads begin at the end offset of the first page, since
// records that were appended while the pages were read may be missing from the earlier ones.
func (w *Watcher) readNewest(ctx context.Context) (batch, error) {
	b := batch{sent: w.Clock.Now(), newest: true}
	for after, first := "", true; ; first = false {
		callCtx, cancel := stall.WithTimeout(stall.WithMeter(ctx, w.Transfers), answerTimeout)
		page, err := w.Log.Newest(callCtx, w.Partition, after)
		cancel()
		if err != nil {
			return batch{}, err
		}
		if first {
			b.Next, b.End = page.End, page.End
		}
		b.Records = append(b.Records, page.Records...)
		b.partial = b.partial || page.Partial
		if !page.More || len(page.Records) == 0 {
			return b, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
