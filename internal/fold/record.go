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

// Header is common to all records.
type Header struct {
	ID     ident.RecordID `cbor:"id"`
	Writer string         `cbor:"writer"` // operator or entry that wrote the record
	Time   time.Time      `cbor:"time"`   // writer's wall clock
	// Config is the config offset that a fleet record was decided on. Zero
	// stands for the reader's own offset; [Decode] refuses it in a record of the log.
	Config ident.Offset `cbor:"config"`
	// Format is the format of the record; zero stands for the first.
	Format int `cbor:"format,omitempty"`
}

func (h Header) header() Header { return h }

// Publish proposes a configuration made from version Base. The log carries it as [PublishChunk] records.
type Publish struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	Base             ident.Version `cbor:"base"`
	File             *fleet.File   `cbor:"file"`
}

// PublishChunk is one part of a Publish: a piece of the encoded difference
// against version Base. The publish takes effect with the last of its chunks.
type PublishChunk struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	Publish          ident.RecordID `cbor:"publish"` // id of the whole publish; its verdict is kept under this id
	Base             ident.Version  `cbor:"base"`
	Index            int            `cbor:"index"`
	Count            int            `cbor:"count"`
	Sum              []byte         `cbor:"sum"` // SHA-256 of the whole encoded difference
	Data             []byte         `cbor:"data"`
}

// CheckpointChunk is one part of an encoded state. It changes nothing; a
// reader that finds the streams trimmed restores the state from it. It needs
// no planner term, because a checkpoint states facts and an old one is still true.
type CheckpointChunk struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	Checkpoint       string       `cbor:"checkpoint"` // same for all chunks of one checkpoint
	ConfigOffset     ident.Offset `cbor:"config_offset"`
	FleetOffset      ident.Offset `cbor:"fleet_offset"`
	Index            int          `cbor:"index"`
	Count            int          `cbor:"count"`
	Data             []byte       `cbor:"data"`
}

// TakePlanner claims the planner duty; valid only as the present term plus one.
type TakePlanner struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	Term             ident.Term    `cbor:"term"`
	Holder           ident.EntryID `cbor:"holder"`
}

// VMStep is the precondition shared by the records that move one VM: the
// planner's term (zero for a broker's record) and the VM's epoch.
type VMStep struct {
	VM    ident.VMID  `cbor:"vm"`
	Epoch ident.Epoch `cbor:"epoch"`
	Term  ident.Term  `cbor:"term"`
}

// Drain tells the broker to stop granting slots of a VM.
type Drain struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	VMStep           `cbor:"step"`
	Reason           string `cbor:"reason"`
}

// DrainDone is the broker's statement that no permit of a VM is out.
type DrainDone struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	VMStep           `cbor:"step"`
}

// Assign puts a drained or spare VM into a pool.
type Assign struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	VMStep           `cbor:"step"`
	Pool             ident.PoolID `cbor:"pool"`
}

// Reboot starts the maintenance of a drained VM.
type Reboot struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	VMStep           `cbor:"step"`
	Wave             ident.WaveID `cbor:"wave"`
}

// RebootDone puts a rebooted VM back into service in its pool.
type RebootDone struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	VMStep           `cbor:"step"`
}

// ReturnVM hands a drained VM back to the platform.
type ReturnVM struct {
	wire.MessageBase `cbor:"-"`
	Header           `cbor:"header"`
	VMStep           `cbor:"step"`
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

// format is the newest record format that this fold knows.
const format = 1

// LaterFormatError reports a record that a later version of the program wrote.
type LaterFormatError struct{ Cause string }

// Error describes the record.
func (e *LaterFormatError) Error() string {
	return "record in a later format: " + e.Cause + "; install a newer version of toucanhatch"
}

// BadRecordError reports bytes that are no record in any format; every reader skips them.
type BadRecordError struct{ Cause string }

// Error describes the bytes.
func (e *BadRecordError) Error() string { return "not a record: " + e.Cause }

// Decode reads a record of the log. It returns *LaterFormatError or *BadRecordError.
func Decode(data []byte, config bool) (Record, error) {
	m, err := wire.Decode(data)
	var unknown *wire.UnknownKindError
	var decode *wire.DecodeError
	switch {
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
	case h.Format > format:
		return nil, &LaterFormatError{Cause: fmt.Sprintf("format %d of record %q, the newest known is %d", h.Format, h.ID, format)}
	case h.ID == "":
		return nil, &BadRecordError{Cause: "no id"}
	case IsConfig(r) != config:
		return nil, &BadRecordError{Cause: fmt.Sprintf("record type %T belongs to the other stream", r)}
	case !config && h.Config <= 0:
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

// IDOf returns the id of a record.
func IDOf(r Record) ident.RecordID { return r.header().ID }
