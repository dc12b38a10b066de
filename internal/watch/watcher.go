package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// callMargin is added to the wait time of a read, for the round trip and a slow log.
	callMargin = 1200 * time.Millisecond
	retryPause = 200 * time.Millisecond
	// enabledPollPeriod is how often a paused watcher checks whether it is enabled again if nobody calls Wake.
	enabledPollPeriod = time.Second
	// syncedPollPeriod is how often WaitSynced checks whether the partition has been read.
	syncedPollPeriod = 20 * time.Millisecond
)

// Watcher reads one partition continuously. Set its exported fields before Run.
type Watcher struct {
	Log       plog.Log
	Partition plog.TopicPartition
	// ReadWait is how long one read waits for a record.
	ReadWait time.Duration
	// ReadPause is the time between two reads; it limits the number of calls if records arrive all the time.
	ReadPause time.Duration
	// Enabled, if set, reports whether to read at present.
	Enabled func() bool
	// Replace receives the newest records of all keys, and Apply each later record.
	Replace func(records []plog.Record)
	Apply   func(r plog.Record)
	Clock   clock.Clock
	Logger  hclog.Logger

	offset      ident.Offset
	synced      atomic.Bool
	confirmedAt atomic.Int64 // Unix nanoseconds of Clock; 0 before the first answer
	failing     bool
	wake        chan struct{}
}

// Init prepares the watcher; without it, [Watcher.Wake] has no effect.
func (w *Watcher) Init() { w.wake = make(chan struct{}, 1) }

// Wake makes a paused watcher check at once whether it is enabled.
func (w *Watcher) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// ConfirmedAt returns when the latest read with an answer was sent: what the log had confirmed to its writers before then
// has been processed. It is zero before the first answer.
func (w *Watcher) ConfirmedAt() time.Time {
	if at := w.confirmedAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

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
	for ctx.Err() == nil {
		if w.Enabled != nil && !w.Enabled() {
			w.synced.Store(false)
			w.awaitWake(ctx)
			continue
		}
		previous := w.ConfirmedAt()
		err := w.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := w.ReadPause
		if err != nil {
			pause = retryPause
			if !w.failing {
				w.Logger.Warn("cannot read from the log; retrying", "topic", w.Partition.Topic, "error", err)
			}
		} else if w.failing {
			w.Logger.Info("reading from the log again", "topic", w.Partition.Topic, "unconfirmed", w.ConfirmedAt().Sub(previous))
		}
		w.failing = err != nil
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

// readOnce reads the newest records if the watcher is not synced, and otherwise the records appended since the last read.
func (w *Watcher) readOnce(ctx context.Context) error {
	if !w.synced.Load() {
		return w.resync(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, w.ReadWait+callMargin)
	defer cancel()
	sent := w.Clock.Now()
	records, next, err := w.Log.Read(callCtx, w.Partition, w.offset, w.ReadWait)
	var trimmed *plog.TrimmedError
	if errors.As(err, &trimmed) {
		w.Logger.Info("the log dropped records before they were read; reading the newest records of all keys", "topic", w.Partition.Topic, "offset", w.offset, "first", trimmed.FirstOffset)
		w.synced.Store(false)
		return nil
	}
	if err != nil {
		return err
	}
	w.offset = next
	defer w.confirmedAt.Store(sent.UnixNano())
	for _, r := range records {
		panics.Catch(w.Logger.With("key", r.Key), "record of "+string(w.Partition.Topic), func() { w.Apply(r) })
	}
	return nil
}

// resync reads the newest record of every key. The following reads begin at the end offset of the first page, since
// records that were appended while the pages were read may be missing from the earlier ones.
func (w *Watcher) resync(ctx context.Context) error {
	var all []plog.Record
	after, end, first := "", ident.Offset(0), true
	sent := w.Clock.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, callMargin)
		page, err := w.Log.Newest(callCtx, w.Partition, after)
		cancel()
		if err != nil {
			return err
		}
		if first {
			end, first = page.End, false
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	w.Replace(all)
	w.offset = end
	w.confirmedAt.Store(sent.UnixNano())
	w.synced.Store(true)
	return nil
}
