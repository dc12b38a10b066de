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
	// reappendTimeout is how long Append waits for the outcome of a record
	// before it appends the record again. Package fold ignores the second copy.
	reappendTimeout = 2 * time.Second
)

// ErrUnknownOutcome means that it is not known whether a record took or will take effect.
var ErrUnknownOutcome = errors.New("it is not known whether the record took effect")

// Append adds a record to its stream and returns its outcome. It repeats the
// append with the same record id until the record has been applied here. If ctx
// ends first, or the follower halts at a record in a later format, the error
// wraps ErrUnknownOutcome. Any other error means that the record was not
// accepted into the log.
func (f *Follower) Append(ctx context.Context, r fold.Record) (fold.Outcome, error) {
	stream := plat.FleetStream
	if fold.IsConfig(r) {
		stream = plat.ConfigStream
	}
	data, err := wire.Encode(r)
	if err != nil {
		return fold.Outcome{}, fmt.Errorf("append: %w", err)
	}
	if _, err := fold.Decode(data, stream == plat.ConfigStream); err != nil {
		return fold.Outcome{}, fmt.Errorf("append: %w", err)
	}
	if f.Snapshot().MustWait(r) {
		return fold.Outcome{}, errors.New("append: the record depends on a part of the config stream that this entry has not read")
	}
	id := fold.IDOf(r)
	for timeout := appendTimeout; ; timeout = min(2*timeout, maxTimeout) {
		if outcome, ok := f.Snapshot().Outcome(id); ok {
			return outcome, nil
		}
		err := f.appendOnce(ctx, stream, data, timeout)
		if isPermanent(err) {
			return fold.Outcome{}, fmt.Errorf("append: %w", err)
		}
		wait := reappendTimeout
		if err != nil {
			wait = retryDelay
		}
		if outcome, ok := f.awaitOutcome(ctx, id, wait); ok {
			return outcome, nil
		}
		if haltErr := f.HaltError(); haltErr != nil || ctx.Err() != nil {
			return fold.Outcome{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, errors.Join(err, haltErr, ctx.Err()))
		}
	}
}

func (f *Follower) appendOnce(ctx context.Context, stream plat.Stream, data []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := f.Log.Append(ctx, stream, data)
	return err
}

// isPermanent reports whether the platform would refuse the record again on a retry.
func isPermanent(err error) bool {
	var status *plat.StatusError
	return errors.As(err, &status) && status.Status/100 == 4 && status.Status != http.StatusTooManyRequests
}

// awaitOutcome waits until the record has been applied, for at most limit.
func (f *Follower) awaitOutcome(ctx context.Context, id ident.RecordID, limit time.Duration) (fold.Outcome, bool) {
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
