// Package watch follows a partition of keyed records: it reads the newest
// record of each key, then what is appended, and starts over when records
// that it has not read were dropped.
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
	// callMargin is added to the wait of a read for the way there and back, and for a slow log.
	callMargin = 1200 * time.Millisecond
	retryPause = 200 * time.Millisecond
	// wantedPause bounds how late it is noticed that reading is wanted, where nobody calls Wake.
	wantedPause = time.Second
	// freshPause is the time between two looks whether the partition has been read.
	freshPause = 20 * time.Millisecond
)

// Watcher follows one partition. Set its exported fields before Run.
type Watcher struct {
	Log       plog.Log
	Partition plog.TopicPartition
	// ReadWait is how long one read waits for a record.
	ReadWait time.Duration
	// ReadPause is the time between two reads; it bounds the number of calls where records come all the time.
	ReadPause time.Duration
	// Enabled, if set, tells whether to read at all at present.
	Enabled func() bool
	// Replace takes the newest record of every key, and Apply a later record.
	Replace func(records []plog.Record)
	Apply   func(r plog.Record)
	Clock   clock.Clock
	Logger  hclog.Logger

	offset ident.Offset
	synced atomic.Bool
	lost   bool
	begin  chan struct{}
}

// Init prepares the watch; without it, [Watcher.Wake] has no effect.
func (w *Watcher) Init() { w.begin = make(chan struct{}, 1) }

// Wake makes a paused watcher check at once whether it is enabled.
func (w *Watcher) Wake() {
	select {
	case w.begin <- struct{}{}:
	default:
	}
}

// awaitBegin waits until reading may be wanted.
func (w *Watcher) awaitBegin(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, wantedPause)
	defer cancel()
	select {
	case <-w.begin:
	case <-wait.Done():
	}
}

// Run follows the partition until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Enabled != nil && !w.Enabled() {
			w.synced.Store(false)
			w.awaitBegin(ctx)
			continue
		}
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := w.ReadPause
		if err != nil {
			pause = retryPause
			if !w.lost {
				w.Logger.Warn("the log can't be read", "topic", w.Partition.Topic, "error", err)
			}
		} else if w.lost {
			w.Logger.Info("the log can be read again", "topic", w.Partition.Topic)
		}
		w.lost = err != nil
		if pause > 0 {
			_ = clock.Sleep(ctx, w.Clock, pause) // the loop checks the context
		}
	}
}

// WaitSynced waits until the partition has been read since reading was last wanted, or ctx is done.
func (w *Watcher) WaitSynced(ctx context.Context) {
	w.Wake()
	for !w.synced.Load() && clock.Sleep(ctx, w.Clock, freshPause) == nil {
	}
}

func (w *Watcher) step(ctx context.Context) error {
	if !w.synced.Load() {
		return w.sync(ctx)
	}
	call, cancel := context.WithTimeout(ctx, w.ReadWait+callMargin)
	defer cancel()
	records, next, err := w.Log.Read(call, w.Partition, w.offset, w.ReadWait)
	var trimmed *plog.TrimmedError
	if errors.As(err, &trimmed) {
		w.Logger.Info("records were dropped before they were read", "topic", w.Partition.Topic, "offset", w.offset, "first", trimmed.FirstOffset)
		w.synced.Store(false)
		return nil
	}
	if err != nil {
		return err
	}
	w.offset = next
	for _, r := range records {
		panics.Catch(w.Logger.With("key", r.Key), "record of "+string(w.Partition.Topic), func() { w.Apply(r) })
	}
	return nil
}

// sync reads the newest record of every key. Reading goes on from the end that
// the first page names, since later pages may be newer.
func (w *Watcher) sync(ctx context.Context) error {
	var all []plog.Record
	after, end, first := "", ident.Offset(0), true
	for {
		call, cancel := context.WithTimeout(ctx, callMargin)
		page, err := w.Log.Newest(call, w.Partition, after)
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
	w.synced.Store(true)
	return nil
}
