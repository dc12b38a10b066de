package fold

import (
	"errors"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Record is one entry of the config or the fleet stream.
type Record interface {
	wire.Message
	header() Header
}

// Header holds the fields common to all records.
type Header struct {
	ID     ident.RecordID `cbor:"id"`
	Writer string         `cbor:"writer"` // operator or entry that wrote the record
	Time   time.Time      `cbor:"time"`   // writer's wall clock
	// ConfigRead is the config offset up to which the writer of a fleet record
	// had read when it decided on the record. Zero means the config offset of
	// the state that the record is applied to; [Decode] does not accept zero
	// in a fleet record of the log.
	ConfigRead ident.Offset `cbor:"config"`
	// Format is the format version of the record; zero is the first version.
	Format int `cbor:"format,omitempty"`
}

func (h Header) header() Header { return h }

// Publish proposes a configuration file that was edited from version Base. In
// the log it is split into [PublishChunk] records.
type Publish struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	Base      ident.Version `cbor:"base"`
	File      *fleet.File   `cbor:"file"`
}

// PublishChunk is one part of a Publish: a piece of the encoded difference
// between the file and version Base. The publish takes effect once all of its
// chunks have been applied.
type PublishChunk struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	PublishID ident.RecordID `cbor:"publish"` // id of the whole publish, under which its outcome is stored
	Base      ident.Version  `cbor:"base"`
	Index     int            `cbor:"index"`
	Count     int            `cbor:"count"`
	Sum       []byte         `cbor:"sum"` // SHA-256 of the whole encoded difference
	Data      []byte         `cbor:"data"`
}

// CheckpointChunk is one part of an encoded state. Applying it does not change
// the state; a reader whose next record has been trimmed restores the state
// from the chunks of a checkpoint. A checkpoint needs no planner term, because
// it only describes the state at its offsets, and that stays true.
type CheckpointChunk struct {
	wire.Body    `cbor:"-"`
	Header       `cbor:"header"`
	CheckpointID string       `cbor:"checkpoint"` // id of the whole checkpoint
	ConfigOffset ident.Offset `cbor:"config_offset"`
	FleetOffset  ident.Offset `cbor:"fleet_offset"`
	Index        int          `cbor:"index"`
	Count        int          `cbor:"count"`
	Data         []byte       `cbor:"data"`
}

// TakePlanner claims the planner role. It is accepted only if Term is the
// current planner term plus one.
type TakePlanner struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	Term      ident.Term    `cbor:"term"`
	Holder    ident.EntryID `cbor:"holder"`
}

// VMStep names the VM that a record changes, and holds the precondition of the
// record: the epoch of the VM, and the planner term, which is zero in a record
// written by a broker.
type VMStep struct {
	VM    ident.VMID  `cbor:"vm"`
	Epoch ident.Epoch `cbor:"epoch"`
	Term  ident.Term  `cbor:"term"`
}

// Drain starts to drain a VM: the broker stops granting its slots.
type Drain struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	VMStep    `cbor:"step"`
	Reason    string `cbor:"reason"`
}

// DrainDone records that the broker has no outstanding permits for a VM.
type DrainDone struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	VMStep    `cbor:"step"`
}

// Assign moves a drained or spare VM to a pool.
type Assign struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	VMStep    `cbor:"step"`
	Pool      ident.PoolID `cbor:"pool"`
}

// Reboot starts the maintenance of a drained VM.
type Reboot struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	VMStep    `cbor:"step"`
	Wave      ident.WaveID `cbor:"wave"`
}

// RebootDone records that a VM has been rebooted and is in service again in its pool.
type RebootDone struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	VMStep    `cbor:"step"`
}

// ReturnVM returns a drained VM to the platform.
type ReturnVM struct {
	wire.Body `cbor:"-"`
	Header    `cbor:"header"`
	VMStep    `cbor:"step"`
}

func init() {
	wire.Register[Publish]("publish")
	wire.Register[PublishChunk]("publish_chunk")
	wire.Register[CheckpointChunk]("checkpoint_chunk")
	wire.Register[TakePlanner]("planner_term")
	wire.Register[Drain]("drain")
	wire.Register[DrainDone]("drained")
	wire.Register[Assign]("assign")
	wire.Register[Reboot]("reboot")
	wire.Register[RebootDone]("rebooted")
	wire.Register[ReturnVM]("return")
}

// latestFormat is the newest format of records and checkpoints that this
// version of the program can read.
const latestFormat = 1

// LaterFormatError reports a record or checkpoint that was written by a later
// version of the program, in a format that this version cannot read.
type LaterFormatError struct{ Cause string }

// Error implements the error interface.
func (e *LaterFormatError) Error() string {
	return "record in a later format: " + e.Cause + "; install a newer version of toucanhatch"
}

// BadRecordError reports data that is not a record in any format. Every reader
// skips such an entry.
type BadRecordError struct{ Cause string }

// Error implements the error interface.
func (e *BadRecordError) Error() string { return "not a record: " + e.Cause }

// Decode decodes a log entry of the config stream, or of the fleet stream if
// config is false. Its error is a *LaterFormatError or a *BadRecordError.
func Decode(data []byte, config bool) (Record, error) {
	m, err := wire.Decode(data)
	var unknown *wire.UnknownKindError
	var decode *wire.DecodeError
	switch {
	// A record with an unknown kind, or with a known kind and an unreadable
	// body, is taken to come from a later version.
	case errors.As(err, &unknown), errors.As(err, &decode) && decode.Kind != "":
		return nil, &LaterFormatError{Cause: err.Error()}
	case err != nil:
		return nil, &BadRecordError{Cause: err.Error()}
	}
	r, ok := m.(Record)
	if !ok {
		return nil, &BadRecordError{Cause: fmt.Sprintf("message type %T", m)}
	}
	h := r.header()
	switch {
	case h.Format > latestFormat:
		return nil, &LaterFormatError{Cause: fmt.Sprintf("format %d of record %q, the newest known is %d", h.Format, h.ID, latestFormat)}
	case h.ID == "":
		return nil, &BadRecordError{Cause: "no id"}
	case IsConfig(r) != config:
		return nil, &BadRecordError{Cause: fmt.Sprintf("record type %T belongs to the other stream", r)}
	case !config && h.ConfigRead <= 0:
		return nil, &BadRecordError{Cause: fmt.Sprintf("record %q names no config offset", h.ID)}
	}
	return r, nil
}

// IsConfig reports whether a record belongs to the config stream.
func IsConfig(r Record) bool {
	switch r.(type) {
	case Publish, PublishChunk:
		return true
	default:
		return false
	}
}

// IDOf returns the record's id.
func IDOf(r Record) ident.RecordID { return r.header().ID }
