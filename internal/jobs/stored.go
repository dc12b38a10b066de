package jobs

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Entry is an encoded record and the key under which it is stored.
type Entry struct {
	Key   string
	Value []byte
}

// keySeparator separates the job and the number of the first task in the key of a [SegmentRecord]. It sorts before all
// characters of job ids, so that a store ordered by key lists the segments of a job right after its [Record].
const keySeparator = "/"

// recordKey returns the key of a job's [Record].
func recordKey(job work.JobID) string { return string(job) }

func segmentKey(job work.JobID, first int) string {
	return string(job) + keySeparator + strconv.Itoa(first)
}

// StoredJob holds the records of one job.
type StoredJob struct {
	Record    *Record // nil if the store has none that can be decoded
	Segments  []*SegmentRecord
	Undecoded bool   // the store has records of the job that can't be decoded, so that the others are a part of it
	After     string // the key that precedes those of the job in the store

	use      space.Use
	size     ident.Bytes  // reserved
	reduced  bool         // it has no tasks
	deferred *deferredJob // nil unless there is no space for it
}

// Stored holds the records that have been read from the store, by job.
type Stored map[work.JobID]*StoredJob

// JobOf returns the job to which the record with a key belongs.
func JobOf(key string) work.JobID {
	id, _, _ := strings.Cut(key, keySeparator)
	return work.JobID(id)
}

// Add decodes an entry and adds it. An error leaves the entries added before as they are.
func (s Stored) Add(e Entry) error {
	id := JobOf(e.Key)
	j := s[id]
	if j == nil {
		j = &StoredJob{}
		s[id] = j
	}
	if e.Key != recordKey(id) {
		r, err := DecodeSegment(e.Value)
		if err != nil {
			j.Undecoded = true
			return err
		}
		j.Segments = append(j.Segments, r)
		return nil
	}
	r, err := DecodeRecord(e.Value)
	if err != nil {
		j.Undecoded = true
		return err
	}
	j.Record = r
	return nil
}

// Change is what one write stores of one job.
type Change struct {
	Job      work.JobID
	Record   *Record          // nil if it is unchanged
	Segments []*SegmentRecord // the changed ones, in order
}

// Entries returns the encoded records in the order in which they must become durable: segments without a [Record] belong to
// no job.
func (c *Change) Entries() ([]Entry, error) {
	var out []Entry
	if c.Record != nil {
		value, err := c.Record.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, Entry{recordKey(c.Job), value})
	}
	for _, s := range c.Segments {
		value, err := s.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, Entry{s.Key(), value})
	}
	return out, nil
}

// Rejected returns which of the records with the given keys are part of the change.
func (c *Change) Rejected(keys map[string]bool) (record, segments bool) {
	record = c.Record != nil && keys[recordKey(c.Job)]
	for _, s := range c.Segments {
		segments = segments || keys[s.Key()]
	}
	return record, segments
}

// CheckStorable returns a [*work.SpecError] if a record of the job could exceed the log's limit in a state that the job can
// reach. The limit must be at least [MinRecord].
func CheckStorable(id work.JobID, queue work.Queue, spec *work.Spec, maxRecord ident.Bytes) error {
	r := Record{ID: id, Queue: queue, Pool: queue.Pool, Spec: *spec}
	b, err := r.Encode()
	if err != nil {
		return &work.SpecError{Reason: err.Error()}
	}
	size := len(b) + recordMargin
	if tasks := spec.Tasks(); tasks <= segmentTasks(maxRecord) {
		size += tasks * maxTaskBytes
	}
	if ident.Bytes(size) > maxRecord {
		return &work.SpecError{Reason: "the specification takes " + strconv.Itoa(len(b)) + " bytes in the log, " + strconv.Itoa(size-int(maxRecord)) + " too many"}
	}
	return nil
}

// keys returns the keys of all records of a job that may be in the store, its [Record] first: without it, segments that
// remain belong to no job.
func (j *job) keys() []string {
	out := []string{recordKey(j.id)}
	if j.segments != nil {
		for _, first := range slices.Sorted(maps.Keys(j.segments.stored)) {
			out = append(out, segmentKey(j.id, first))
		}
	}
	return out
}
