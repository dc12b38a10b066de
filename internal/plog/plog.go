// Package plog is the product's view of the platform's log: topics of keyed
// records with a fenced writer for each partition, and a group that deals the
// partitions out to its members. The adapter in platform/ implements it.
package plog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Topic names a topic of the log.
type Topic string

// Partition numbers the partitions of a topic, from 0.
type Partition int

// Epoch orders the writers of a partition; a writer with a lower one is fenced.
type Epoch int64

// Generation counts the changes of a group's assignment.
type Generation int64

// MemberID names one process in a group.
type MemberID string

// Record is a keyed record; one without a value removes its key.
type Record struct {
	Key   string
	Value []byte
}

// Writer identifies the writer of an append, which the log applies at most once. Without a name, an append is
// neither fenced nor told from a repeat.
type Writer struct {
	Name  string
	Epoch Epoch
	Seq   int64
}

// Page is a part of the newest records of a partition.
type Page struct {
	Records []Record
	More    bool         // continue after the last key
	End     ident.Offset // of the partition when the page was read
}

// Assignment is what a member holds of its group's partitions.
type Assignment struct {
	Generation Generation
	Partitions []TopicPartition
}

// TopicPartition names one partition.
type TopicPartition struct {
	Topic     Topic
	Partition Partition
}

// Holder tells which member holds a partition.
type Holder struct {
	TopicPartition
	Member MemberID
}

// Membership is a request to join a group or to stay in it.
type Membership struct {
	Group      string
	Member     MemberID
	Topics     []Topic
	TTL        time.Duration // without a further request the member's partitions pass on
	Generation Generation    // the last one received
}

// Errors of the log.
var (
	// ErrRefused means that the log turned the call away and nothing was done.
	ErrRefused = errors.New("the log refused the call; nothing was done")
	// ErrNoAnswer means that the call may have taken effect, or may still do so.
	ErrNoAnswer = errors.New("the log did not answer; the call may have taken effect")
	// ErrFenced means that a writer with a higher epoch has taken over.
	ErrFenced = errors.New("a later writer has taken over the partition")
)

// SeqError reports an append out of sequence.
type SeqError struct{ Expected int64 }

// Error names the sequence number that the log expects.
func (e *SeqError) Error() string { return fmt.Sprintf("the log expects append %d", e.Expected) }

// TrimmedError reports a read below the oldest record that is kept.
type TrimmedError struct{ FirstOffset ident.Offset }

// Error names the oldest offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.FirstOffset)
}

// Log is the platform's log. Its errors match the ones of this package.
type Log interface {
	// Append adds records to a partition, all or none; without records it only sets the epoch.
	Append(ctx context.Context, to TopicPartition, w Writer, records []Record) error
	// Newest returns the newest record of each key after the key given.
	Newest(ctx context.Context, from TopicPartition, after string) (Page, error)
	// Read returns the records from an offset on, waiting up to wait for the first, and the offset to go on from.
	Read(ctx context.Context, from TopicPartition, offset ident.Offset, wait time.Duration) ([]Record, ident.Offset, error)
	// Join joins a group or keeps the member in it.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave gives a member's partitions to the others at once.
	Leave(ctx context.Context, m Membership) error
	// Holders tells which members hold the partitions of a group.
	Holders(ctx context.Context, group string) ([]Holder, error)
}
