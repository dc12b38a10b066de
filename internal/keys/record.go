package keys

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// phase is the state of one key.
type phase string

const (
	claimed phase = "claimed" // the request may not be sent yet
	sent    phase = "sent"    // the request may have run
	done    phase = "done"    // the request has run; the record holds its response
	free    phase = "free"    // abandoned; kept so that an older copy does not come back
)

// process is one incarnation of an entry.
type process struct {
	ID          ident.EntryID `cbor:"id"`
	Incarnation uint64        `cbor:"incarnation"`
	Zone        ident.ZoneID  `cbor:"zone"`
}

// claimID tells the claims of one key apart.
type claimID string

// record is what a home and its standby know of one key.
type record struct {
	Key      ident.KeyID   `cbor:"key"`
	Print    Fingerprint   `cbor:"print"`
	Phase    phase         `cbor:"phase"`
	Claim    claimID       `cbor:"claim"`
	Runner   process       `cbor:"runner"`
	Revision uint64        `cbor:"revision"` // grows with each change by the key's home
	Answer   *Response     `cbor:"answer,omitempty"`
	Age      time.Duration `cbor:"age"` // time since the last change, on the wire only

	changed time.Time     // on the clock of this process
	holder  ident.EntryID // standby that has confirmed heldRevision
	held    uint64
}

// recordOverhead is the memory of a record besides its strings and its response.
const recordOverhead = 400

func (r *record) size() int64 {
	n := recordOverhead + len(r.Key) + len(r.Print) + len(r.Claim) + len(r.Runner.ID)
	if r.Answer != nil {
		n += len(r.Answer.Body)
		for k, vs := range r.Answer.Header {
			n += len(k)
			for _, v := range vs {
				n += len(v)
			}
		}
	}
	return int64(n)
}

// newer reports whether r replaces old. Copies of one revision differ only when a home was cut off before its
// standby confirmed; then the one that says more has to win.
func (r *record) newer(old *record) bool {
	if old == nil || r.Revision != old.Revision {
		return old == nil || r.Revision > old.Revision
	}
	order := map[phase]int{free: 0, claimed: 1, sent: 2, done: 3}
	return order[r.Phase] > order[old.Phase]
}

// operation is what a runner asks of the home.
type operation string

const (
	opClaim   operation = "claim"
	opSent    operation = "sent"
	opFinish  operation = "finish"
	opAbandon operation = "abandon"
)

// ask goes from a runner to a key's home.
type ask struct {
	wire.MessageBase
	Number      uint64      `cbor:"number"`
	Digest      uint64      `cbor:"digest"` // the membership that the runner sees
	Op          operation   `cbor:"op"`
	Key         ident.KeyID `cbor:"key"`
	Claim       claimID     `cbor:"claim"`
	Print       Fingerprint `cbor:"print"`
	Incarnation uint64      `cbor:"incarnation"`
	Answer      *Response   `cbor:"answer,omitempty"`
}

// status is a home's response.
type status string

const (
	statusOK        status = "ok"
	statusStored    status = "stored"
	statusInUse     status = "in_use"
	statusMismatch  status = "mismatch"
	statusUncertain status = "uncertain"
	statusLost      status = "lost"  // the claim is not held any more
	statusFull      status = "full"  // the memory limit is reached
	statusRetry     status = "retry" // not under this membership, or not proved yet
)

type reply struct {
	wire.MessageBase
	Number uint64    `cbor:"number"`
	Status status    `cbor:"status"`
	Answer *Response `cbor:"answer,omitempty"`
}

// replicate carries records from a home to a standby.
type replicate struct {
	wire.MessageBase
	Number  uint64   `cbor:"number"`
	Digest  uint64   `cbor:"digest"`
	Records []record `cbor:"records"`
}

// confirm is sent once the standby has stored every record of a replicate.
type confirm struct {
	wire.MessageBase
	Number uint64 `cbor:"number"`
}

// pull asks a member for what the sender needs to serve under a membership.
type pull struct {
	wire.MessageBase
	Period uint64 `cbor:"period"` // of the sender; the response repeats it
	Digest uint64 `cbor:"digest"`
	From   int    `cbor:"from"` // index of the first record wanted; negative for none
}

// handover answers a pull. Its sender has left every other membership.
type handover struct {
	wire.MessageBase
	Period  uint64      `cbor:"period"`
	Digest  uint64      `cbor:"digest"`
	From    int         `cbor:"from"` // index of the first record
	Next    int         `cbor:"next"` // index after the last one
	More    bool        `cbor:"more"`
	Records []record    `cbor:"records"`
	Chain   [][]process `cbor:"chain"`
	Settled []process   `cbor:"settled"`
	Lost    []loss      `cbor:"lost"`
	Ready   bool        `cbor:"ready"`
}

// loss is a process that is gone while its claims may not yet be in the hands of others.
type loss struct {
	Process process       `cbor:"process"`
	Age     time.Duration `cbor:"age"`

	since time.Time
}

func init() {
	wire.Register[ask]("keys_ask")
	wire.Register[reply]("keys_reply")
	wire.Register[replicate]("keys_replicate")
	wire.Register[confirm]("keys_confirm")
	wire.Register[pull]("keys_pull")
	wire.Register[handover]("keys_handover")
}
