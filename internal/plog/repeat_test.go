package plog

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// scriptedLog passes each append to the test, which answers it.
type scriptedLog struct {
	Log
	calls chan chan error
}

func (l *scriptedLog) Append(ctx context.Context, _ TopicPartition, _ Writer, _ []Record) error {
	answer := make(chan error)
	l.calls <- answer
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ErrNoResponse
	}
}

// startAppend begins an append on a log that the test scripts, and returns its first attempt.
func startAppend(t *testing.T, records ...Record) (log *scriptedLog, manual *clock.Manual, first chan error, result chan error) {
	t.Helper()
	log, manual, result = &scriptedLog{calls: make(chan chan error, 8)}, clock.NewManual(time.Now()), make(chan error, 1)
	a := &Appender{Log: log, Clock: manual, Logger: hclog.NewNullLogger()}
	go func() {
		result <- a.Append(t.Context(), TopicPartition{Topic: "t"}, Writer{Name: "w", Epoch: 1, Seq: 1}, records, false)
	}()
	return log, manual, <-log.calls, result
}

// repeat lets the time pass until the next attempt, and returns it.
func repeat(t *testing.T, log *scriptedLog, manual *clock.Manual) chan error {
	t.Helper()
	for range 1000 {
		manual.Advance(repeatInterval)
		select {
		case answer := <-log.calls:
			return answer
		case <-time.After(time.Millisecond):
		}
	}
	t.Fatal("no further attempt")
	return nil
}

// Guards against a writer that waits for the answer of an attempt which was sent while the log was silent, although the log
// is back: its clients were refused for up to 2.5 s longer than the outage lasted.
func TestAppendIsRepeatedWhileAnAttemptIsUnanswered(t *testing.T) {
	log, manual, _, result := startAppend(t)
	repeat(t, log, manual) <- nil
	if err := <-result; err != nil {
		t.Errorf("append: %v, want success by the second attempt", err)
	}
}

// Guards against a refusal that is reported while another attempt of the same append may still take effect.
func TestRefusalOfARepeatIsNotFinal(t *testing.T) {
	log, manual, first, result := startAppend(t)
	repeat(t, log, manual) <- ErrRefused
	select {
	case err := <-result:
		t.Fatalf("append ended with %v while its first attempt was unanswered", err)
	case <-time.After(20 * time.Millisecond):
	}
	first <- ErrNoResponse
	repeat(t, log, manual) <- ErrRefused
	select {
	case err := <-result:
		t.Fatalf("append ended with %v after an attempt without an answer", err)
	case <-time.After(20 * time.Millisecond):
	}
	repeat(t, log, manual) <- nil
	if err := <-result; err != nil {
		t.Errorf("append: %v, want success", err)
	}
}

// Guards against an append that is repeated for good although the log rejects its records.
func TestInvalidRecordsAreNotRepeated(t *testing.T) {
	log, manual, first, result := startAppend(t)
	repeat(t, log, manual) <- ErrInvalid
	if err := <-result; !errors.Is(err, ErrInvalid) {
		t.Errorf("append: %v, want %v", err, ErrInvalid)
	}
	select {
	case first <- nil:
		t.Error("the first attempt goes on")
	case <-time.After(20 * time.Millisecond):
	}
}

// An append whose only attempt was refused has had no effect.
func TestRefusalOfTheOnlyAttemptIsFinal(t *testing.T) {
	_, _, first, result := startAppend(t)
	first <- ErrRefused
	if err := <-result; !errors.Is(err, ErrRefused) {
		t.Errorf("append: %v, want %v", err, ErrRefused)
	}
}

// Guards against a large append that is repeated while its first attempt is on its way, so that the copies fill a slow link
// and none of them ends.
func TestLargeAppendIsNotRepeatedOnItsWay(t *testing.T) {
	const size = 1 << 20
	log, manual, first, result := startAppend(t, Record{Key: "k", Value: make([]byte, size)})
	const slowLink = 10e6 / 8 // bytes a second
	manual.Advance(size*time.Second/slowLink + repeatInterval/2)
	select {
	case <-log.calls:
		t.Fatalf("repeated before the first attempt can have ended")
	case <-time.After(50 * time.Millisecond):
	}
	first <- nil
	if err := <-result; err != nil {
		t.Errorf("error %v, want none", err)
	}
}
