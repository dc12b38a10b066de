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
	// wantedPause bounds how late it is noticed that reading is wanted, where nobody calls Begin.
	wantedPause = time.Second
	// freshPause is the time between two looks whether the partition has been read.
	freshPause = 20 * time.Millisecond
)

// Watch follows one partition. Set its exported fields before Run.
type Watch struct {
	Log  plog.Log
	From plog.TopicPartition
	// Wait is how long one read waits for a record.
	Wait time.Duration
	// Pause is the time between two reads; it bounds the number of calls where records come all the time.
	Pause time.Duration
	// Wanted, if set, tells whether to read at all at present.
	Wanted func() bool
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

// Init prepares the watch; without it, [Watch.Begin] has no effect.
func (w *Watch) Init() { w.begin = make(chan struct{}, 1) }

// Begin tells that reading is wanted now.
func (w *Watch) Begin() {
	select {
	case w.begin <- struct{}{}:
	default:
	}
}

// awaitBegin waits until reading may be wanted.
func (w *Watch) awaitBegin(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, wantedPause)
	defer cancel()
	select {
	case <-w.begin:
	case <-wait.Done():
	}
}

// Run follows the partition until ctx is done.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Wanted != nil && !w.Wanted() {
			w.synced.Store(false)
			w.awaitBegin(ctx)
			continue
		}
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := w.Pause
		if err != nil {
			pause = retryPause
			if !w.lost {
				w.Logger.Warn("the log can't be read", "topic", w.From.Topic, "error", err)
			}
		} else if w.lost {
			w.Logger.Info("the log can be read again", "topic", w.From.Topic)
		}
		w.lost = err != nil
		if pause > 0 {
			_ = clock.Sleep(ctx, w.Clock, pause) // the loop checks the context
		}
	}
}

// Fresh waits until the partition has been read since reading was last wanted, or ctx is done.
func (w *Watch) Fresh(ctx context.Context) {
	w.Begin()
	for !w.synced.Load() && clock.Sleep(ctx, w.Clock, freshPause) == nil {
	}
}

func (w *Watch) step(ctx context.Context) error {
	if !w.synced.Load() {
		return w.sync(ctx)
	}
	call, cancel := context.WithTimeout(ctx, w.Wait+callMargin)
	defer cancel()
	records, next, err := w.Log.Read(call, w.From, w.offset, w.Wait)
	var trimmed *plog.TrimmedError
	if errors.As(err, &trimmed) {
		w.Logger.Info("records were dropped before they were read", "topic", w.From.Topic, "offset", w.offset, "first", trimmed.First)
		w.synced.Store(false)
		return nil
	}
	if err != nil {
		return err
	}
	w.offset = next
	for _, r := range records {
		panics.Catch(w.Logger.With("key", r.Key), "record of "+string(w.From.Topic), func() { w.Apply(r) })
	}
	return nil
}

// sync reads the newest record of every key. Reading goes on from the end that
// the first page names, since later pages may be newer.
func (w *Watch) sync(ctx context.Context) error {
	var all []plog.Record
	after, end, first := "", ident.Offset(0), true
	for {
		call, cancel := context.WithTimeout(ctx, callMargin)
		page, err := w.Log.Newest(call, w.From, after)
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
