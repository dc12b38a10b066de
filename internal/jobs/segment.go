package jobs

import (
	"maps"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// maxSegmentTasks is the largest number of tasks in one segment: a larger one would be written too often as a whole.
	maxSegmentTasks = 64
	// maxTaskBytes is the largest encoding of one [TaskRecord] and one [CrashRecord] together.
	maxTaskBytes = 1700
	// maxCheckpoint is the longest checkpoint that is used, in bytes.
	maxCheckpoint = 1024
	// recordMargin allows for the keys of records, and for changes of a queue's configuration after a job was accepted.
	recordMargin = 4 << 10
)

// MinRecord is the smallest limit on the size of a record with which jobs can be stored.
const MinRecord ident.Bytes = 16 << 10

// segmentTasks returns the number of tasks in one segment: as many as take half of a record in any state. The tasks of a job
// that has no more are stored in its [Record], in whose other half the specification goes.
func segmentTasks(maxRecord ident.Bytes) int {
	if maxRecord == 0 {
		return maxSegmentTasks
	}
	return max(1, min(maxSegmentTasks, int(maxRecord-recordMargin)/2/maxTaskBytes))
}

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

// segmentation divides the tasks of a large job into segments of the same size, which are stored one by one.
type segmentation struct {
	size          int          // tasks in a segment
	offsets       []int        // number of the first task of each step of occurrence 0
	perOccurrence int          // tasks in an occurrence
	changed       map[int]bool // segments that the next write stores, by the number of their first task
	stored        map[int]bool // segments of which a record may be in the store
}

// maxInlineSpec is the size up to which a specification is stored with the state of its tasks, and so again with each change of
// that.
const maxInlineSpec ident.Bytes = 16 << 10

// segmentTasksOf returns the number of tasks in a segment of a new job. A job with a long specification has two segments at
// least, since earlier versions take a job for one without segments if its tasks fit into one.
func (p *Pool) segmentTasksOf(spec *work.Spec) int {
	size, tasks := p.tasksPerSegment(), spec.Tasks()
	if tasks > 1 && specSize(spec) > maxInlineSpec {
		size = min(size, (tasks+1)/2)
	}
	return size
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
