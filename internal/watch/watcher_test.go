package watch

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

// Guards against a record whose processing panics and thereby ends the process or keeps later records from being
// processed.
func TestPanicSkipsOneRecord(t *testing.T) {
	log, from := &fakes.Log{}, plog.TopicPartition{Topic: "x"}
	got := make(chan string, 10)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := &Watcher{
		Log: log, Partition: from, ReadWait: time.Second, Clock: clock.System(), Logger: hclog.NewNullLogger(), Replace: func([]plog.Record) {},
		Apply: func(r plog.Record) {
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
