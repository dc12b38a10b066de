package shard

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// limitedLog rejects records, and appends, above a size.
type limitedLog struct {
	*fakes.Log
	maxRecord, maxAppend ident.Bytes
}

func (l *limitedLog) Append(ctx context.Context, to plog.TopicPartition, w plog.Writer, records []plog.Record) error {
	size := ident.Bytes(0)
	for i := range records {
		size += records[i].AppendSize()
		if records[i].Size() > l.maxRecord {
			size = l.maxAppend + 1
		}
	}
	if size > l.maxAppend {
		return plog.ErrInvalid
	}
	return l.Log.Append(ctx, to, w, records)
}

func specOf(payload int) *work.Spec {
	s := *testSpec
	s.Payload = strings.Repeat("p", payload)
	return &s
}

// Guards against an owner that repeats an append for good which the log rejects, and against jobs in the same append that
// are lost with the one whose record is the cause.
func TestRejectedRecordConcernsOnlyItsJob(t *testing.T) {
	log := &limitedLog{Log: &fakes.Log{}, maxRecord: 2000, maxAppend: 1 << 20}
	s := startShard(t, log, 1)
	held := make(chan struct{})
	var holding atomic.Bool
	holding.Store(true)
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		if call == "append" && holding.Load() {
			<-held // the next write gathers all jobs
		}
		return true, nil
	}
	ctx := t.Context()
	results := map[string]chan error{}
	submit := func(id string, payload int) {
		result := make(chan error, 1)
		results[id] = result
		go func() { result <- s.Submit(ctx, testQueue, work.JobID(id), specOf(payload)) }()
	}
	submit("0000000000000001", 10)
	time.Sleep(50 * time.Millisecond) // its write is in flight
	for i := 2; i < 9; i++ {
		payload := 10
		if i == 5 {
			payload = 3000
		}
		submit(fmt.Sprintf("%016x", i), payload)
	}
	time.Sleep(50 * time.Millisecond)
	holding.Store(false)
	close(held)
	for id, result := range results {
		var want error
		if id == "0000000000000005" {
			want = ErrInvalid
		}
		if err := <-result; !errors.Is(err, want) {
			t.Errorf("submit of %s: %v, want %v", id, err, want)
		}
		if _, known, err := s.State(ctx, anyone, "p", work.JobID(id)); err != nil || known != (want == nil) {
			t.Errorf("state of %s: known %v, error %v, want %v", id, known, err, want == nil)
		}
	}
}

// Guards against jobs that fail because the log rejects everything: the records are not the cause.
func TestLogThatRejectsEverythingFailsNoJob(t *testing.T) {
	log := &limitedLog{Log: &fakes.Log{}, maxRecord: 2000, maxAppend: 1 << 20}
	s := startShard(t, log, 1)
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatal(err)
	}
	log.maxAppend = 1
	if err := s.Submit(t.Context(), testQueue, "0000000000000002", testSpec); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("submit: %v, want %v", err, ErrUnknownOutcome)
	}
	<-s.Done()
	log.maxAppend = 1 << 20
	next := startShard(t, log, 2)
	if state, known, err := next.State(t.Context(), anyone, "p", "0000000000000001"); state != work.Queued || !known || err != nil {
		t.Errorf("state at the next owner: %q, known %v, error %v, want %q", state, known, err, work.Queued)
	}
}

// Guards against appends above the limit of the log.
func TestAppendsKeepTheLimit(t *testing.T) {
	log := &limitedLog{Log: &fakes.Log{}, maxRecord: 2000, maxAppend: 2100}
	s := &Shard{MaxAppend: log.maxAppend}
	var records []plog.Record
	for i := range 50 {
		records = append(records, plog.Record{Key: fmt.Sprint(i), Value: make([]byte, 40*i)})
	}
	n := 0
	for _, chunk := range s.chunks(records) {
		if err := log.Append(t.Context(), plog.TopicPartition{}, plog.Writer{}, chunk); err != nil {
			t.Errorf("an append of %d records: %v", len(chunk), err)
		}
		n += len(chunk)
	}
	if n != len(records) {
		t.Errorf("%d records in all appends, want %d", n, len(records))
	}
}

// Guards against segments that remain for good after the removal of their job was stored in part.
func TestSegmentsWithoutRecordAreRemoved(t *testing.T) {
	log := &fakes.Log{}
	segment := jobs.SegmentRecord{Job: "0000000000000001", First: 64}
	value, err := segment.Encode()
	if err != nil {
		t.Fatal(err)
	}
	to := plog.TopicPartition{Topic: JobsTopic}
	if err := log.Append(t.Context(), to, plog.Writer{}, []plog.Record{{Key: segment.Key(), Value: value}}); err != nil {
		t.Fatal(err)
	}
	startShard(t, log, 1)
	for range 100 {
		page, err := log.Newest(t.Context(), to, "")
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Records) == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the segment is still stored after 2 s")
}
