package follow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	appendTimeout = 3 * time.Second
	// seenTimeout is how long an appended record is waited for before it is
	// appended again; the fold drops the second copy.
	seenTimeout = 2 * time.Second
)

// ErrUnknownOutcome means that it is not known whether a record took effect.
var ErrUnknownOutcome = errors.New("it is not known whether the record took effect")

// Append adds a record to its stream and returns its verdict. It repeats the
// append with the same id until it has seen that id, and returns an error that
// wraps ErrUnknownOutcome when ctx ends before, or when the log
// goes on with a record in a later format. Any other error means that the record was refused.
func (f *Follower) Append(ctx context.Context, r fold.Record) (fold.Outcome, error) {
	name := plat.FleetStream
	if fold.IsConfig(r) {
		name = plat.ConfigStream
	}
	data, err := wire.Encode(r)
	if err != nil {
		return fold.Outcome{}, fmt.Errorf("append: %w", err)
	}
	if _, err := fold.Decode(data, name == plat.ConfigStream); err != nil {
		return fold.Outcome{}, fmt.Errorf("append: %w", err)
	}
	if f.Snapshot().MustWait(r) {
		return fold.Outcome{}, errors.New("append: the record was decided on a part of the config stream that this entry has not read")
	}
	id := fold.IDOf(r)
	for patience := appendTimeout; ; patience = min(2*patience, maxPatience) {
		if outcome, ok := f.Snapshot().Outcome(id); ok {
			return outcome, nil
		}
		err := f.appendOnce(ctx, name, data, patience)
		if refused(err) {
			return fold.Outcome{}, fmt.Errorf("append: %w", err)
		}
		wait := seenTimeout
		if err != nil {
			wait = retryPause
		}
		if outcome, ok := f.awaitVerdict(ctx, id, wait); ok {
			return outcome, nil
		}
		if halted := f.HaltError(); halted != nil || ctx.Err() != nil {
			return fold.Outcome{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, errors.Join(err, halted, ctx.Err()))
		}
	}
}

func (f *Follower) appendOnce(ctx context.Context, name plat.Stream, data []byte, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	_, err := f.Log.Append(ctx, name, data)
	return err
}

// refused reports whether the platform will not take the record at a later try either.
func refused(err error) bool {
	var status *plat.StatusError
	return errors.As(err, &status) && status.Status/100 == 4 && status.Status != http.StatusTooManyRequests
}

// awaitVerdict waits until the record has been folded, for at most limit.
func (f *Follower) awaitVerdict(ctx context.Context, id ident.RecordID, limit time.Duration) (fold.Outcome, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if clock.Sleep(ctx, f.Clock, limit) == nil {
			cancel()
		}
	}()
	for {
		s, changed := f.Changed()
		if outcome, ok := s.Outcome(id); ok {
			return outcome, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fold.Outcome{}, false
		}
	}
}
