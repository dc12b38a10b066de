package plog

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// attemptTimeout bounds one attempt of an append. A log that answers slowly needs most of it.
	attemptTimeout = 2500 * time.Millisecond
	// repeatInterval is the time from one attempt to the next while none is answered. An attempt that was sent while the log
	// was silent is never answered, also when the log is back.
	repeatInterval = 500 * time.Millisecond
	// minRate is the rate in bytes a second that an append has at least: a half of the slowest link. An attempt has the time
	// that its records take at this rate in addition.
	minRate = 5e6 / 8
	// retryPause is the time from a failed attempt to the next one if no other is in flight.
	retryPause = 50 * time.Millisecond
)

// repeatKey is the key of the mark of contexts that [Repeat] returns.
type repeatKey struct{}

// Repeat marks the context of a call that repeats an unanswered one. It must be sent on a connection of its own: the open
// ones may have gone silent together with that of the first call.
func Repeat(ctx context.Context) context.Context { return context.WithValue(ctx, repeatKey{}, true) }

// IsRepeat reports whether the context has been marked by [Repeat].
func IsRepeat(ctx context.Context) bool { return ctx.Value(repeatKey{}) != nil }

// Appender executes appends that must be repeated until the log answers. Set its exported fields before the first call.
type Appender struct {
	Log    Log
	Clock  clock.Clock
	Logger hclog.Logger
}

// errPanicked means that an attempt ended by a panic, so that its outcome is unknown and must not be waited for.
var errPanicked = errors.New("an append ended by a panic")

// Append repeats an append, which the log applies once, until the log confirms it or rejects it for good, or ctx is done.
// The attempts overlap. It returns ErrInvalid at once, and ErrRefused only if the append has had no effect and will have none: never after an
// attempt without an answer, and never if partlyStored says that earlier records of the same write are stored.
func (a *Appender) Append(ctx context.Context, to TopicPartition, w Writer, records []Record, partlyStored bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, due := make(chan error), make(chan struct{}, 1)
	schedule := func(d time.Duration) clock.Timer {
		return a.Clock.AfterFunc(d, func() {
			select {
			case due <- struct{}{}:
			default:
			}
		})
	}
	interval := repeatInterval + transferTime(records)
	next := schedule(interval)
	defer func() { next.Stop() }()
	go a.attempt(ctx, results, to, w, records)
	inFlight, unknownOutcome := 1, partlyStored
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			inFlight++
			go a.attempt(Repeat(ctx), results, to, w, records)
			next.Stop()
			next = schedule(interval)
		case err := <-results:
			inFlight--
			var seq *SeqError
			refused := errors.Is(err, ErrRefused)
			switch {
			case err == nil, errors.Is(err, ErrFenced), errors.Is(err, ErrInvalid), errors.As(err, &seq), errors.Is(err, errPanicked):
				return err
			case refused && !unknownOutcome && inFlight == 0:
				return err
			case !refused:
				unknownOutcome = true
			}
			a.Logger.Info("append not confirmed; repeating it", "topic", to.Topic, "partition", to.Partition, "append", w.Seq, "unsure", unknownOutcome, "in_flight", inFlight, "error", err)
			if inFlight == 0 {
				next.Stop()
				next = schedule(retryPause)
			}
		}
	}
}

// transferTime returns how long records may take to reach the log.
func transferTime(records []Record) time.Duration {
	var size ident.Bytes
	for i := range records {
		size += records[i].AppendSize()
	}
	return time.Duration(size) * time.Second / minRate
}

// attempt makes one attempt and passes its result on, unless ctx is done.
func (a *Appender) attempt(ctx context.Context, results chan<- error, to TopicPartition, w Writer, records []Record) {
	err := errPanicked
	panics.Catch(a.Logger, "write", func() {
		call, cancel := context.WithTimeout(ctx, attemptTimeout+transferTime(records))
		defer cancel()
		err = a.Log.Append(call, to, w, records)
	})
	select {
	case results <- err:
	case <-ctx.Done():
	}
}
