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
	free    phase = "free"    // abandoned; the record is kept so that no older copy replaces it
)

// process is one incarnation of an entry.
type process struct {
	ID          ident.EntryID `cbor:"id"`
	Incarnation uint64        `cbor:"incarnation"`
	Zone        ident.ZoneID  `cbor:"zone"`
}

// claimID distinguishes the claims of one key.
type claimID string

// record is the state of one key at its home and its standby.
type record struct {
	Key         ident.KeyID   `cbor:"key"`
	Fingerprint Fingerprint   `cbor:"print"`
	Phase       phase         `cbor:"phase"`
	ClaimID     claimID       `cbor:"claim"`
	Runner      process       `cbor:"runner"`
	Revision    uint64        `cbor:"revision"` // grows with each change by the key's home
	Response    *Response     `cbor:"answer,omitempty"`
	Age         time.Duration `cbor:"age"` // time since the last change; set in messages only

	changed           time.Time     // time of the last change on the clock of this process
	confirmedBy       ident.EntryID // standby that has confirmed confirmedRevision
	confirmedRevision uint64
}

// recordOverhead is the memory in bytes that a record takes besides its strings and its response.
const recordOverhead = 400

// size returns the memory that the record takes, in bytes.
func (r *record) size() int64 {
	n := recordOverhead + len(r.Key) + len(r.Fingerprint) + len(r.ClaimID) + len(r.Runner.ID)
	if r.Response != nil {
		n += len(r.Response.Body)
		for k, vs := range r.Response.Header {
			n += len(k)
			for _, v := range vs {
				n += len(v)
			}
		}
	}
	return int64(n)
}

// newer reports whether r replaces old. Copies of one revision differ only when a home was cut off before its
// standby confirmed; then the one in the later phase has to win.
func (r *record) newer(old *record) bool {
	if old == nil || r.Revision != old.Revision {
		return old == nil || r.Revision > old.Revision
	}
	order := map[phase]int{free: 0, claimed: 1, sent: 2, done: 3}
	return order[r.Phase] > order[old.Phase]
}

// operation is a change that a runner, the entry that handles the caller's request, requests from a key's home.
type operation string

const (
	opClaim   operation = "claim"
	opSent    operation = "sent"
	opFinish  operation = "finish"
	opAbandon operation = "abandon"
)

// opRequest requests an operation from a key's home.
type opRequest struct {
	wire.MessageBase
	Number      uint64      `cbor:"number"` // identifies the request; the reply repeats it
	Digest      uint64      `cbor:"digest"` // of the membership that the runner sees
	Operation   operation   `cbor:"op"`
	Key         ident.KeyID `cbor:"key"`
	ClaimID     claimID     `cbor:"claim"`
	Fingerprint Fingerprint `cbor:"print"`
	Incarnation uint64      `cbor:"incarnation"`
	Response    *Response   `cbor:"answer,omitempty"`
}

// status is the result of an operation.
type status string

const (
	statusOK        status = "ok"
	statusStored    status = "stored"
	statusInUse     status = "in_use"
	statusMismatch  status = "mismatch"
	statusUncertain status = "uncertain"
	statusLost      status = "lost"  // the runner no longer holds the claim
	statusFull      status = "full"  // the memory limit for keys is reached
	statusRetry     status = "retry" // not possible in the home's present membership or state; the runner tries again
)

// opReply is the home's response to an opRequest.
type opReply struct {
	wire.MessageBase
	Number   uint64    `cbor:"number"`
	Status   status    `cbor:"status"`
	Response *Response `cbor:"answer,omitempty"`
}

// replicateRequest carries records from a home to a standby.
type replicateRequest struct {
	wire.MessageBase
	Number  uint64   `cbor:"number"`
	Digest  uint64   `cbor:"digest"`
	Records []record `cbor:"records"`
}

// replicateReply is sent once the standby has stored every record of a replicateRequest.
type replicateReply struct {
	wire.MessageBase
	Number uint64 `cbor:"number"`
}

// pullRequest asks a member for the records and the state (see proof.go) that the sender needs to serve keys under a
// membership.
type pullRequest struct {
	wire.MessageBase
	Epoch  uint64 `cbor:"period"` // membership epoch of the sender; the reply repeats it
	Digest uint64 `cbor:"digest"`
	From   int    `cbor:"from"` // index of the first record wanted; negative if only Ready is wanted
}

// pullReply responds to a pullRequest. From then on its sender acts under no other membership than this one.
type pullReply struct {
	wire.MessageBase
	Epoch   uint64        `cbor:"period"`
	Digest  uint64        `cbor:"digest"`
	From    int           `cbor:"from"` // index of the first record
	Next    int           `cbor:"next"` // index after the last one
	More    bool          `cbor:"more"`
	Records []record      `cbor:"records"`
	History [][]process   `cbor:"chain"`   // table.history of the sender
	Settled []process     `cbor:"settled"` // table.settled of the sender
	Lost    []lostProcess `cbor:"lost"`    // table.lost of the sender
	Ready   bool          `cbor:"ready"`   // see table.ready
}

// lostProcess is a process that is gone and whose claims other processes may not all have.
type lostProcess struct {
	Process process       `cbor:"process"`
	Age     time.Duration `cbor:"age"`

	since time.Time
}

func init() {
	wire.Register[opRequest]("keys_ask")
	wire.Register[opReply]("keys_reply")
	wire.Register[replicateRequest]("keys_replicate")
	wire.Register[replicateReply]("keys_confirm")
	wire.Register[pullRequest]("keys_pull")
	wire.Register[pullReply]("keys_handover")
}
