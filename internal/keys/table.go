package keys

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// limits bound a table.
type limits struct {
	window   time.Duration // how long a key is remembered after its last change
	maxBytes ident.Bytes   // memory for records; beyond it new keys are refused
	maxBody  ident.Bytes   // larger bodies are not kept
}

const (
	resendInterval = 300 * time.Millisecond // between repeats of a message that was not replied to
	batchBytes     = int64(256 * ident.KiB) // a message takes no further record from this size on
	maxHistory     = 32                     // memberships; a longer history is dropped
)

// output is a message to send.
type output struct {
	to  ident.EntryID
	msg wire.Message
}

// table is the state machine of one process. Its methods handle events and return messages to send. It does no I/O and
// reads no clock; the caller serializes its methods.
type table struct {
	limits
	now     time.Time
	started time.Time
	self    process

	records map[ident.KeyID]*record
	bytes   int64

	epoch         uint64 // grows with each change of the membership
	members       membership
	digest        uint64                 // of members
	up            map[ident.EntryID]bool // other members that this process considers up
	multiZone     bool                   // more than one zone has been seen; from then on a standby is never in the home's zone
	incoming      map[ident.EntryID]*incomingTransfer
	deferredPulls map[ident.EntryID]pullRequest // pulls under a membership that this process does not have yet
	outgoing      map[ident.EntryID]*outgoingTransfer
	history       [][]process // memberships since allProved was last true; see proof.go
	settled       membership  // the last membership in which every member was ready
	lost          map[process]lostProcess
	allProved     bool // this process can prove that it knows every claim of all keys whose home it is

	pending    map[ident.KeyID]pendingOp // operations that wait for the standby's confirmation
	backlog    map[ident.KeyID]bool      // records whose present standby may not have them
	batches    map[uint64]batch          // replicateRequests without a reply, by number
	lastNumber uint64
	out        []output
}

// incomingTransfer is what another member has handed over in the present membership epoch.
type incomingTransfer struct {
	pullReply
	synced      bool // everything has been received
	next        int  // index of the next record to request
	requestedAt time.Time
}

// outgoingTransfer lists the records that another member is reading in several pulls.
type outgoingTransfer struct {
	epoch uint64
	keys  []ident.KeyID
}

// pendingOp is an operation whose record the standby has not confirmed yet.
type pendingOp struct {
	request  opRequest
	from     ident.EntryID
	revision uint64
}

// batch is a replicateRequest without a reply.
type batch struct {
	to        ident.EntryID
	sentAt    time.Time
	revisions map[ident.KeyID]uint64
}

func newTable(l limits, self process, now time.Time) *table {
	t := &table{
		limits: l, self: self, now: now, started: now,
		records: map[ident.KeyID]*record{}, lost: map[process]lostProcess{}, deferredPulls: map[ident.EntryID]pullRequest{},
	}
	t.enterMembership(membership{self}, map[ident.EntryID]bool{})
	return t
}

func (t *table) send(to ident.EntryID, m wire.Message) { t.out = append(t.out, output{to, m}) }

// takeOutput returns the messages to send after an event.
func (t *table) takeOutput() []output {
	out := t.out
	t.out = nil
	return out
}

// handleView handles a new view of the membership.
func (t *table) handleView(now time.Time, v *peer.View) []output {
	t.now = now
	up := map[ident.EntryID]bool{}
	for _, m := range v.Members {
		up[m.ID] = m.State == peer.Up && m.ID != t.self.ID
	}
	members := newMembership(v)
	if members.digest() == t.digest {
		t.up = up
		t.findBacklog()
		t.sendPulls()
		return t.takeOutput()
	}
	for _, p := range t.members {
		if !members.has(p) && p.Incarnation != 0 {
			t.lost[p] = lostProcess{Process: p, since: now}
		}
	}
	t.enterMembership(members, up)
	t.sendPulls()
	for from, p := range t.deferredPulls {
		t.handlePullRequest(from, p)
	}
	return t.takeOutput()
}

// enterMembership begins a membership epoch. Operations and transfers that began under another membership are canceled.
func (t *table) enterMembership(members membership, up map[ident.EntryID]bool) {
	for _, op := range t.pending {
		t.send(op.from, opReply{Number: op.request.Number, Status: statusRetry})
	}
	t.epoch++
	t.members, t.digest, t.up = members, members.digest(), up
	t.multiZone = t.multiZone || members.severalZones()
	t.incoming, t.outgoing = map[ident.EntryID]*incomingTransfer{}, map[ident.EntryID]*outgoingTransfer{}
	t.pending, t.batches = map[ident.KeyID]pendingOp{}, map[uint64]batch{}
	for _, p := range members {
		if p != t.self {
			t.incoming[p.ID] = &incomingTransfer{}
		}
	}
	if len(t.history) > 0 {
		t.history = append(t.history[:len(t.history):len(t.history)], members)
	}
	if len(t.history) > maxHistory {
		t.history = nil
	}
	t.allProved = false
	t.findBacklog()
	t.updateProofs()
}

// tick repeats requests without a reply and removes what is older than the window.
func (t *table) tick(now time.Time) []output {
	t.now = now
	for k, r := range t.records {
		if _, busy := t.pending[k]; !busy && t.expired(r) {
			t.removeRecord(k)
		}
	}
	for p, l := range t.lost {
		if now.Sub(l.since) > t.window {
			delete(t.lost, p)
		}
	}
	for number, b := range t.batches {
		if now.Sub(b.sentAt) >= resendInterval {
			delete(t.batches, number)
		}
	}
	t.updateProofs()
	t.sendPulls()
	t.replicateBacklog()
	return t.takeOutput()
}

func (t *table) expired(r *record) bool { return t.now.Sub(r.changed) > t.window }

func (t *table) removeRecord(k ident.KeyID) {
	if r := t.records[k]; r != nil {
		t.bytes -= r.size()
		delete(t.records, k)
		delete(t.backlog, k)
	}
}

// store stores a record unless the table has a newer one, and reports whether the table now holds it.
func (t *table) store(r record) bool {
	old := t.records[r.Key]
	if old != nil && old.Revision == r.Revision && old.Phase == r.Phase && old.ClaimID == r.ClaimID {
		return true
	}
	if !r.newer(old) {
		return false
	}
	t.removeRecord(r.Key)
	// Records of other members add up once these have left. The keys have to be kept, and a response can do without its body.
	if r.Phase == done {
		r.Response = t.limitBody(r.Response)
	}
	t.records[r.Key] = &r
	t.bytes += r.size()
	return true
}

// cancelOvertaken ends the pending operation of a key if a newer record from another member has replaced its result.
func (t *table) cancelOvertaken(k ident.KeyID) {
	op, ok := t.pending[k]
	if r := t.records[k]; ok && (r == nil || r.Revision != op.revision || r.ClaimID != op.request.ClaimID) {
		delete(t.pending, k)
		t.send(op.from, opReply{Number: op.request.Number, Status: statusRetry})
	}
}

// handleMessage handles a message of another member, or of this process itself.
func (t *table) handleMessage(now time.Time, from ident.EntryID, m wire.Message) []output {
	t.now = now
	switch m := m.(type) {
	case opRequest:
		t.handleOpRequest(from, m)
	case replicateRequest:
		t.handleReplicateRequest(from, m)
	case replicateReply:
		t.handleReplicateReply(from, m)
	case pullRequest:
		t.handlePullRequest(from, m)
	case pullReply:
		t.handlePullReply(from, m)
	}
	return t.takeOutput()
}
