package follow

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const readyPollPeriod = 10 * time.Millisecond

// ErrEndNotReached means that the log was not read to its end in time.
var ErrEndNotReached = errors.New("the end of the log was not reached")

// Open starts a follower without peers and returns it once it has read the log
// to its end. The follower runs until stop is called. The error wraps
// ErrEndNotReached or is a *fold.LaterFormatError.
func Open(ctx context.Context, log Log) (f *Follower, stop func(), err error) {
	f = New()
	f.Log, f.Clock, f.Logger = log, clock.System(), hclog.NewNullLogger()
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(runCtx) // ends only with its context
	}()
	stop = func() { cancel(); <-done }
	for !f.Ready() {
		if err := f.HaltError(); err != nil {
			stop()
			return nil, nil, err
		}
		if clock.Sleep(ctx, f.Clock, readyPollPeriod) != nil {
			reason := f.NotReadyReason()
			stop()
			return nil, nil, fmt.Errorf("%w: %s", ErrEndNotReached, reason)
		}
	}
	return f, stop, nil
}

// PublishID returns the id of the publish of a file. It depends only on the
// content and the base version of the file, so that repeated publishes of the
// same file, by any operator, count as one.
func PublishID(f *fleet.File) (ident.RecordID, error) {
	data, err := wire.Marshal(f)
	if err != nil {
		return "", fmt.Errorf("encode file: %w", err)
	}
	sum := sha256.Sum256(data)
	return ident.RecordID("publish-" + hex.EncodeToString(sum[:16])), nil
}

// Publish appends a file to the config stream and returns the outcome of the
// publish. An error that wraps ErrUnknownOutcome means that the outcome is not
// known yet; it is safe to publish the same file again.
func (f *Follower) Publish(ctx context.Context, name string, file *fleet.File) (fold.Outcome, error) {
	id, err := PublishID(file)
	if err != nil {
		return fold.Outcome{}, err
	}
	for attempt := 0; ; attempt++ {
		s := f.Snapshot()
		if outcome, ok := s.Outcome(id); ok {
			return outcome, nil
		}
		if file.Base != s.Version {
			return outcomeWithoutAppend(s, file), nil
		}
		p := fold.Publish{Header: fold.Header{ID: id, Writer: name, Time: f.Clock.Now().UTC()}, Base: file.Base, File: file}
		if err := f.appendChunks(ctx, p, s.File, attempt); err != nil {
			return fold.Outcome{}, err
		}
	}
}

// outcomeWithoutAppend returns the outcome for a file that was not made from
// the version in force. Such a file need not be appended.
func outcomeWithoutAppend(s *fold.State, f *fleet.File) fold.Outcome {
	if s.Version == f.Base+1 && reflect.DeepEqual(s.File, f) {
		return fold.Outcome{Result: fold.Accepted, Version: s.Version}
	}
	return fold.Outcome{
		Result: fold.Conflict, Version: s.Version, Publisher: s.Publisher.Name,
		Reason: fmt.Sprintf("made from version %d, but version %d by %s is in force", f.Base, s.Version, s.Publisher.Name),
	}
}

// appendChunks appends the chunks of a publish until its outcome is known.
func (f *Follower) appendChunks(ctx context.Context, p fold.Publish, base *fleet.File, attempt int) error {
	chunks, err := fold.PublishChunks(p, base)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if attempt > 0 {
			// Package fold discarded the partial publish. The chunks need new
			// record ids, because those of the first attempt have an outcome already.
			c.ID = ident.RecordID(fmt.Sprintf("%s#%d", c.ID, attempt))
		}
		if _, err := f.Append(ctx, c); err != nil {
			return err
		}
		if _, ok := f.Snapshot().Outcome(p.ID); ok {
			return nil
		}
	}
	return nil
}
