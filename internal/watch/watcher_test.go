package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against a record whose processing panics and thereby ends the process or keeps later records from being
// processed.
func TestPanicSkipsOneRecord(t *testing.T) {
	log, from := &fakes.Log{}, plog.TopicPartition{Topic: "x"}
	got := make(chan string, 10)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := &Watcher{
		Log: log, Partition: from, ApplyWithin: 2 * time.Second, Clock: clock.System(), Logger: hclog.NewNullLogger(), Replace: func(ident.Offset, []plog.Record) {},
		Apply: func(_ ident.Offset, r plog.Record) {
			if r.Key == "bad" {
				panic("a malformed record")
			}
			got <- r.Key
		},
	}
	go w.Run(ctx)
	w.WaitSynced(ctx)
	if err := log.Append(ctx, from, plog.Writer{}, []plog.Record{{Key: "a", Value: []byte("1")}, {Key: "bad", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a", "b"} {
		select {
		case k := <-got:
			if k != want {
				t.Errorf("record %q, want %q", k, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("record %q was not received", want)
		}
	}
}

// silentConnectionLog never answers the first read after silence is set.
type silentConnectionLog struct {
	fakes.Log
	silence, silent atomic.Bool
}

func (l *silentConnectionLog) Read(ctx context.Context, from plog.TopicPartition, offset ident.Offset, wait time.Duration) (plog.Batch, error) {
	if l.silence.Swap(false) {
		l.silent.Store(true)
		<-ctx.Done()
		return plog.Batch{}, plog.ErrNoResponse
	}
	return l.Log.Read(ctx, from, offset, wait)
}

// Guards against a record that is applied late because the read before it is never answered.
func TestUnansweredReadDelaysNoRecord(t *testing.T) {
	const target = 2 * time.Second
	log, from := &silentConnectionLog{}, plog.TopicPartition{Topic: "op"}
	applied := make(chan string, 1)
	w := &Watcher{
		Log: log, Partition: from, ApplyWithin: target, Clock: clock.System(), Logger: hclog.NewNullLogger(), Replace: func(ident.Offset, []plog.Record) {},
		Apply: func(_ ident.Offset, r plog.Record) { applied <- r.Key },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	w.WaitSynced(ctx)
	log.silence.Store(true)
	for end := time.Now().Add(5 * time.Second); !log.silent.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no read was sent")
		}
	}
	if err := log.Append(ctx, from, plog.Writer{}, []plog.Record{{Key: "config", Value: []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	confirmed := time.Now()
	select {
	case <-applied:
		if got := time.Since(confirmed); got > target {
			t.Errorf("applied %v after its confirmation, want at most %v", got, target)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the record was not applied")
	}
}

// unreadableLog returns an error for reads of the record at the offset bad.
type unreadableLog struct {
	fakes.Log
	bad ident.Offset
}

func (l *unreadableLog) Read(ctx context.Context, from plog.TopicPartition, offset ident.Offset, wait time.Duration) (plog.Batch, error) {
	b, err := l.Log.Read(ctx, from, offset, wait)
	if offset == l.bad && len(b.Records) > 0 {
		return plog.Batch{}, plog.ErrUnreadable
	}
	return b, err
}

// Guards against a watcher that reads the same unreadable records again and again, and follows nothing any more.
func TestUnreadableRecordsAreSkipped(t *testing.T) {
	log, from := &unreadableLog{bad: 1}, plog.TopicPartition{Topic: "x"}
	put := func(key string) {
		if err := log.Append(t.Context(), from, plog.Writer{}, []plog.Record{{Key: key, Value: []byte("1")}}); err != nil {
			t.Fatal(err)
		}
	}
	put("a")
	got := make(chan string, 100)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := &Watcher{
		Log: log, Partition: from, ApplyWithin: 2 * time.Second, Clock: clock.System(), Logger: hclog.NewNullLogger(),
		Replace: func(_ ident.Offset, records []plog.Record) {
			for _, r := range records {
				got <- r.Key
			}
		},
		Apply: func(_ ident.Offset, r plog.Record) { got <- r.Key },
	}
	go w.Run(ctx)
	w.WaitSynced(ctx)
	put("unreadable")
	put("b")
	deadline := time.After(5 * time.Second)
	for {
		select {
		case k := <-got:
			if k == "b" {
				return
			}
		case <-deadline:
			t.Fatal("the record after the unreadable one was not received")
		}
	}
}

// Guards against a fact that counts as read although the record which states it was skipped.
func TestSkippedRecordConfirmsNothing(t *testing.T) {
	log, from := &fakes.Log{}, plog.TopicPartition{Topic: "x"}
	var confirmed atomic.Int64
	appended := make(chan struct{}, 1)
	w := &Watcher{
		Log: log, Partition: from, ApplyWithin: 200 * time.Millisecond, Clock: clock.System(), Logger: hclog.NewNullLogger(), Replace: func(ident.Offset, []plog.Record) {
			select {
			case <-appended:
				panic("malformed")
			default:
			}
		},
		Apply:   func(ident.Offset, plog.Record) { panic("malformed") },
		Confirm: func(sent time.Time) { confirmed.Store(sent.UnixNano()) },
	}
	go w.Run(t.Context())
	w.WaitSynced(t.Context())
	time.Sleep(w.ApplyWithin)
	appended <- struct{}{}
	if err := log.Append(t.Context(), from, plog.Writer{}, []plog.Record{{Key: "a", Value: []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	end := time.Now()
	time.Sleep(w.ApplyWithin / 2)
	if got := time.Unix(0, confirmed.Load()); got.After(end) {
		t.Errorf("a read that was sent %v after the record was appended has confirmed what it says, although it was skipped", got.Sub(end))
	}
}
