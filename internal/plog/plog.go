package plog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Topic is the name of a topic.
type Topic string

// Partition is the number of a partition within its topic, from 0.
type Partition int

// Epoch orders the writers of a partition; a writer with a lower epoch than an earlier one is fenced.
type Epoch int64

// Generation is the number of changes to a group's assignment so far.
type Generation int64

// MemberID identifies a process in a group.
type MemberID string

// Record is a keyed record; a record without a value removes its key. One that another writer has stored and that can't be
// read is the zero Record.
type Record struct {
	Key   string
	Value []byte
}

// Size returns the size by which the log limits records, in bytes.
func (r *Record) Size() ident.Bytes { return ident.Bytes(1 + len(r.Key) + len(r.Value)) }

// AppendSize returns the size of the record in an append, in bytes.
func (r *Record) AppendSize() ident.Bytes { return lengthSize + r.Size() }

// lengthSize is the size of the length that precedes each record in an append.
const lengthSize = 4

// Writer identifies the writer of an append and the number of the append in its sequence, by which the log applies each
// append at most once. An append without a writer name is neither fenced nor recognized if it is repeated.
type Writer struct {
	Name  string
	Epoch Epoch
	Seq   int64
}

// Page is one page of the newest records of a partition.
type Page struct {
	Records []Record
	More    bool         // there are further pages, after the last key of this one
	Partial bool         // there are further records, which can't be asked for
	End     ident.Offset // end of the partition when the page was read
}

// Batch is the result of a read: consecutive records of a partition.
type Batch struct {
	Records []Record
	Next    ident.Offset // of the record after the last one
	End     ident.Offset // of the partition when it was read
}

// Complete reports whether the batch reaches the end of the partition. The log limits the size of a batch. A partition that
// ends before the batch has lost records, and others may take their offsets.
func (b *Batch) Complete() bool { return b.Next == b.End }

// Offset returns the offset of the record with index i.
func (b *Batch) Offset(i int) ident.Offset { return b.Next - ident.Offset(len(b.Records)-i) }

// Readable reports whether the key of the record could be read.
func (r *Record) Readable() bool { return r.Key != "" }

// Assignment lists the partitions that a group has assigned to one member.
type Assignment struct {
	Generation Generation
	Partitions []TopicPartition
}

// TopicPartition identifies a partition.
type TopicPartition struct {
	Topic     Topic
	Partition Partition
}

// Holder is the member that a partition is assigned to.
type Holder struct {
	TopicPartition
	Member MemberID
}

// Membership is a request to join a group or to stay in it.
type Membership struct {
	Group      string
	Member     MemberID
	Topics     []Topic
	TTL        time.Duration // the member's partitions are reassigned if it sends no further request for this long
	Generation Generation    // of the last assignment that the member received
}

// Errors of the log.
var (
	// ErrRefused means that the log rejected the call, which had no effect.
	ErrRefused = errors.New("the log rejected the call; it had no effect")
	// ErrInvalid means that the log rejects the records, for example because one exceeds its size limit. The call had no
	// effect, and neither had or will have any other attempt at it.
	ErrInvalid = errors.New("the log rejects the records; a repeat is rejected as well")
	// ErrNoResponse means that the call may have taken effect, or may still do so.
	ErrNoResponse = errors.New("the log did not answer; the call may have taken effect")
	// ErrUnreadable means that a part of the log can't be read, so that a repeat of the call fails as well.
	ErrUnreadable = errors.New("the log has returned records that can't be told apart")
	// ErrFenced means that a writer with a higher epoch has taken over the partition.
	ErrFenced = errors.New("fenced: a writer with a higher epoch has taken over the partition")
)

// SeqError means that the sequence number of an append is not the next one.
type SeqError struct{ Expected int64 }

// Error returns a message with the sequence number that the log expects.
func (e *SeqError) Error() string {
	return fmt.Sprintf("append out of sequence: the log expects sequence number %d", e.Expected)
}

// TrimmedError means that a read began before the oldest record that the log still has.
type TrimmedError struct{ FirstOffset ident.Offset }

// Error returns a message with the offset of the oldest record.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("the log no longer has the records before offset %d", e.FirstOffset)
}

// Log is the platform's log. The errors that it returns match those of this package.
type Log interface {
	// Append appends records to a partition, either all or none. An append without records only sets the epoch.
	Append(ctx context.Context, to TopicPartition, w Writer, records []Record) error
	// Newest returns a page of the newest records of all keys, in the order of the keys, that follow the key after.
	Newest(ctx context.Context, from TopicPartition, after string) (Page, error)
	// Read returns records from an offset on, possibly not all of them. If there are none, it waits for the first one up to
	// wait.
	Read(ctx context.Context, from TopicPartition, offset ident.Offset, wait time.Duration) (Batch, error)
	// End returns the offset at which a partition ends. It costs a few bytes, whatever the size of the records.
	End(ctx context.Context, from TopicPartition) (ident.Offset, error)
	// Join joins a group or renews the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave leaves a group, which assigns the member's partitions to other members at once.
	Leave(ctx context.Context, m Membership) error
	// Holders returns to which members the partitions of a group are assigned.
	Holders(ctx context.Context, group string) ([]Holder, error)
}
