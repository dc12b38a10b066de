package jobs

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Record is the stored state of one job. A newer record of a job replaces the earlier ones.
type Record struct {
	ID       work.JobID   `cbor:"1,keyasint"`
	Queue    work.Queue   `cbor:"2,keyasint"`
	Pool     ident.PoolID `cbor:"3,keyasint"`
	Spec     work.Spec    `cbor:"4,keyasint"`
	Accepted time.Time    `cbor:"5,keyasint"` // wall time of the first submission
	Canceled bool         `cbor:"6,keyasint,omitempty"`
	Failed   bool         `cbor:"7,keyasint,omitempty"`
	Finished time.Time    `cbor:"8,keyasint,omitempty"` // when it completed, failed or was canceled
	// Tasks holds the tasks that have been planned at least once and are not done. It, Done and Crashes are empty if
	// SegmentTasks is set.
	Tasks []TaskRecord `cbor:"9,keyasint,omitempty"`
	// Done holds a bitmap of the done tasks for each step of each occurrence.
	Done [][]byte `cbor:"10,keyasint,omitempty"`
	// Crashes holds the tasks under which targets have crashed and that are not done.
	Crashes []CrashRecord `cbor:"11,keyasint,omitempty"`
	// SegmentTasks is the number of tasks in each [SegmentRecord] of the job; 0 if it has none.
	SegmentTasks int `cbor:"12,keyasint,omitempty"`
	// Occurrences is the number of occurrences that have become due, if SegmentTasks is set.
	Occurrences int `cbor:"13,keyasint,omitempty"`
	// Started says that a task has started. While tasks have targets, the job may have started without it: it is stored at the
	// latest when the first of them has ended.
	Started bool `cbor:"14,keyasint,omitempty"`
	// Cap is the last known cap of the job's tenant; nil if it has none or its tenant is unknown.
	Cap *capRecord `cbor:"15,keyasint,omitempty"`
}

// TaskRecord is the stored state of a task that has been planned at least once and is not done.
type TaskRecord struct {
	_              struct{} `cbor:",toarray"`
	Occurrence     int
	Step           int
	Index          int
	Attempt        work.Attempt // highest planned attempt
	Failures       int
	LastFailed     work.Attempt // highest attempt whose failure has been counted
	Checkpoint     string
	Target         work.TargetID // where the task may be running; empty if nowhere
	Incarnation    int64
	VM             work.VMID
	LeaseExpiresBy time.Time // wall time by which its lease has expired; zero unless the owner could not reach the target
}

// CrashRecord is the stored history of the crashes under a task.
type CrashRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	History    blame.History
}

// encodeMode and decodeMode are the codec of records; times are encoded as seconds since the epoch, with a fraction where needed.
var encodeMode, decodeMode = func() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeUnixDynamic}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}()

// Encode returns the record's bytes.
func (r *Record) Encode() ([]byte, error) { return encodeMode.Marshal(r) }

// DecodeRecord reads bytes written by [Record.Encode].
func DecodeRecord(b []byte) (*Record, error) {
	r := &Record{}
	if err := decodeMode.Unmarshal(b, r); err != nil {
		return nil, err
	}
	if err := r.Spec.Check(); err != nil {
		return nil, err
	}
	return r, nil
}
