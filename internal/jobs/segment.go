package jobs

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// segmentTasks is the number of tasks in one segment. The tasks of a job that has no more are stored in its [Record].
	segmentTasks = 64
	// maxTaskBytes is the largest encoding of one [TaskRecord] and one [CrashRecord] together.
	maxTaskBytes = 1700
	// maxCheckpoint is the longest checkpoint that is used, in bytes.
	maxCheckpoint = 1024
	// recordMargin allows for the keys of records, and for changes of a queue's configuration after a job was accepted.
	recordMargin = 4 << 10
)

// MinRecord is the smallest limit on the size of a record with which every state of an accepted job can be stored.
const MinRecord ident.Bytes = 128 << 10

// SegmentRecord is the stored state of consecutive tasks of a large job. The tasks of a job are numbered by occurrence, then
// by step, then by index. A newer record under the same key replaces the earlier ones.
type SegmentRecord struct {
	Job   work.JobID `cbor:"1,keyasint"`
	First int        `cbor:"2,keyasint"`           // number of the first task
	Done  []byte     `cbor:"3,keyasint,omitempty"` // bitmap of the done tasks
	// Tasks and Crashes are as in [Record].
	Tasks   []TaskRecord  `cbor:"4,keyasint,omitempty"`
	Crashes []CrashRecord `cbor:"5,keyasint,omitempty"`
}

// Encode returns the bytes that [DecodeSegment] reads.
func (s *SegmentRecord) Encode() ([]byte, error) { return encodeMode.Marshal(s) }

// Key returns the key under which the record is stored.
func (s *SegmentRecord) Key() string { return segmentKey(s.Job, s.First) }

// DecodeSegment reads bytes written by [SegmentRecord.Encode].
func DecodeSegment(b []byte) (*SegmentRecord, error) {
	s := &SegmentRecord{}
	return s, decodeMode.Unmarshal(b, s)
}

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
	Record   *Record // nil if the store has none that can be decoded
	Segments []*SegmentRecord
}

// Stored holds the records that have been read from the store, by job.
type Stored map[work.JobID]*StoredJob

// Add decodes an entry and adds it. An error leaves the entries added before as they are.
func (s Stored) Add(e Entry) error {
	id, _, segment := strings.Cut(e.Key, keySeparator)
	j := s[work.JobID(id)]
	if j == nil {
		j = &StoredJob{}
		s[work.JobID(id)] = j
	}
	if segment {
		r, err := DecodeSegment(e.Value)
		if err == nil {
			j.Segments = append(j.Segments, r)
		}
		return err
	}
	r, err := DecodeRecord(e.Value)
	if err == nil {
		j.Record = r
	}
	return err
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
	if tasks := spec.Tasks(); tasks <= segmentTasks {
		size += tasks * maxTaskBytes
	}
	if ident.Bytes(size) > maxRecord {
		return &work.SpecError{Reason: "the specification takes " + strconv.Itoa(len(b)) + " bytes in the log, " + strconv.Itoa(size-int(maxRecord)) + " too many"}
	}
	return nil
}

// segmentation divides the tasks of a large job into segments of the same size, which are stored one by one.
type segmentation struct {
	size          int          // tasks in a segment
	offsets       []int        // number of the first task of each step of occurrence 0
	perOccurrence int          // tasks in an occurrence
	changed       map[int]bool // segments that the next write stores, by the number of their first task
	stored        map[int]bool // segments of which a record may be in the store
}

// newSegmentation returns nil if the tasks of the job fit into one segment.
func newSegmentation(spec *work.Spec, size int) *segmentation {
	if spec.Tasks() <= size {
		return nil
	}
	s := &segmentation{size: size, changed: map[int]bool{}, stored: map[int]bool{}}
	for i := range spec.Steps {
		s.offsets = append(s.offsets, s.perOccurrence)
		s.perOccurrence += spec.Steps[i].Count
	}
	return s
}

// taskNumber returns the number of a task.
func (s *segmentation) taskNumber(id work.TaskID) int {
	return id.Occurrence*s.perOccurrence + s.offsets[id.Step] + id.Index
}

// task returns the task with a number that is not negative.
func (s *segmentation) task(job work.JobID, number int) work.TaskID {
	id := work.TaskID{Job: job, Occurrence: number / s.perOccurrence}
	rest := number % s.perOccurrence
	step, exact := slices.BinarySearch(s.offsets, rest)
	if !exact {
		step--
	}
	id.Step, id.Index = step, rest-s.offsets[step]
	return id
}

// markChanged makes the next write store the segment of a task.
func (s *segmentation) markChanged(id work.TaskID) {
	number := s.taskNumber(id)
	s.changed[number-number%s.size] = true
}

// markAllChanged makes the next write store all segments of the occurrences that are due.
func (s *segmentation) markAllChanged(occurrences int) {
	for first := 0; first < occurrences*s.perOccurrence; first += s.size {
		s.changed[first] = true
	}
}

// takeChanged returns the records of the changed segments, which count as stored from now on.
func (s *segmentation) takeChanged(j *job) []*SegmentRecord {
	var out []*SegmentRecord
	for _, first := range slices.Sorted(maps.Keys(s.changed)) {
		out = append(out, s.record(j, first))
		s.stored[first] = true
	}
	clear(s.changed)
	return out
}

func (s *segmentation) record(j *job, first int) *SegmentRecord {
	r := &SegmentRecord{Job: j.id, First: first}
	end := min(first+s.size, len(j.occurrences)*s.perOccurrence)
	for number := first; number < end; number++ {
		id := s.task(j.id, number)
		t, _ := j.findTask(id)
		switch n := number - first; {
		case t.done:
			if r.Done == nil {
				r.Done = make([]byte, (end-first+7)/8)
			}
			r.Done[n/8] |= 1 << (n % 8)
			continue
		case t.attempt > 0:
			r.Tasks = append(r.Tasks, t.record(id.Occurrence, id.Step, id.Index))
		}
		if t.crashes != (blame.History{}) {
			r.Crashes = append(r.Crashes, CrashRecord{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, History: t.crashes})
		}
	}
	return r
}

// restore marks the tasks of stored segments as done, in occurrences that it creates if needed.
func (s *segmentation) restore(j *job, segments []*SegmentRecord) {
	for _, r := range segments {
		if r.First < 0 || r.First >= j.spec.Tasks() {
			continue // not written by this program
		}
		s.stored[r.First] = true
		for n := range min(8*len(r.Done), s.size, j.spec.Tasks()-r.First) {
			if r.Done[n/8]&(1<<(n%8)) == 0 {
				continue
			}
			id := s.task(j.id, r.First+n)
			j.createOccurrences(id.Occurrence + 1)
			j.started = true
			j.markDone(id)
		}
		for i := range r.Tasks {
			if occurrence := r.Tasks[i].Occurrence; occurrence >= 0 {
				j.createOccurrences(min(occurrence+1, j.spec.Occurrences()))
			}
		}
	}
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
