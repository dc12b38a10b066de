package keys

import (
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// standby returns the entry that has to confirm a change of a key whose home is this process. The id is empty while no
// suitable entry is up; needed is false only in a fleet of one entry.
func (t *table) standby(key ident.KeyID) (id ident.EntryID, needed bool) {
	for _, p := range t.members.ranked(key) {
		if t.up[p.ID] && (p.Zone != t.self.Zone || !t.multiZone) {
			return p.ID, true
		}
	}
	return "", len(t.members) > 1 || t.multiZone
}

func (t *table) handleOpRequest(from ident.EntryID, req opRequest) {
	st, resp := t.applyOperation(from, req)
	if st != "" {
		t.send(from, opReply{Number: req.Number, Status: st, Response: resp})
	}
}

// applyOperation returns the response to an opRequest, or an empty status while a standby has to confirm the change.
func (t *table) applyOperation(from ident.EntryID, req opRequest) (status, *Response) {
	runner, ok := t.runner(from, req.Incarnation)
	if req.Digest != t.digest || t.members.home(req.Key) != t.self || !ok {
		return statusRetry, nil
	}
	if op, pending := t.pending[req.Key]; pending {
		if op.request.Operation == req.Operation && op.request.ClaimID == req.ClaimID {
			op.request.Number = req.Number
			t.pending[req.Key] = op
			return "", nil
		}
		return statusRetry, nil
	}
	r := t.records[req.Key]
	if r != nil && t.expired(r) {
		t.removeRecord(req.Key)
		r = nil
	}
	if req.Operation == opClaim {
		if st, resp := t.existingClaim(r, req); st != "" {
			return st, resp
		}
	}
	standby, needed := t.standby(req.Key)
	if !t.canProve(req.Key) || (needed && standby == "") {
		return statusRetry, nil
	}
	next, st := t.nextRecord(r, req, runner)
	if st != "" {
		return st, nil
	}
	t.store(next)
	if !needed {
		return statusOK, nil
	}
	t.pending[req.Key] = pendingOp{request: req, from: from, revision: next.Revision}
	t.replicateTo(standby, []ident.KeyID{req.Key})
	return "", nil
}

// runner returns the member that sent a request, if it still is the given incarnation.
func (t *table) runner(from ident.EntryID, incarnation uint64) (process, bool) {
	for _, p := range t.members {
		if p.ID == from {
			return p, p.Incarnation == incarnation
		}
	}
	return process{}, false
}

// existingClaim returns the response to a claim request if the key has another claim. The status is empty if the key can
// be claimed.
func (t *table) existingClaim(r *record, req opRequest) (status, *Response) {
	switch {
	case r == nil || r.Phase == free || r.ClaimID == req.ClaimID:
		return "", nil
	case r.Fingerprint != req.Fingerprint:
		return statusMismatch, nil
	case r.Phase == done:
		return statusStored, r.Response
	case t.members.has(r.Runner):
		return statusInUse, nil
	case r.Phase == sent:
		return statusUncertain, nil
	}
	return "", nil // the other claim's runner is gone and has sent nothing
}

// nextRecord returns the record after the operation, or a status if the operation cannot be applied.
func (t *table) nextRecord(r *record, req opRequest, runner process) (record, status) {
	next := record{Key: req.Key, Fingerprint: req.Fingerprint, ClaimID: req.ClaimID, Runner: runner, Revision: 1, changed: t.now}
	if r != nil {
		next.Revision = r.Revision + 1
	}
	if req.Operation == opClaim {
		next.Phase = claimed
		if r == nil && t.bytes+next.size() > int64(t.maxBytes) {
			return next, statusFull
		}
		if r != nil && r.ClaimID == req.ClaimID && r.Phase != claimed {
			return next, statusLost
		}
		return next, ""
	}
	if r == nil || r.ClaimID != req.ClaimID {
		return next, statusLost
	}
	next.Fingerprint, next.Runner = r.Fingerprint, r.Runner
	switch {
	case req.Operation == opSent && (r.Phase == claimed || r.Phase == sent):
		next.Phase = sent
	case req.Operation == opFinish && (r.Phase == sent || r.Phase == done):
		next.Phase, next.Response = done, t.limitBody(req.Response)
	case req.Operation == opAbandon && r.Phase != done:
		next.Phase = free
	default:
		return next, statusLost
	}
	return next, ""
}

// limitBody drops the body of a response that is too large to keep.
func (t *table) limitBody(resp *Response) *Response {
	if resp == nil {
		return &Response{BodyDropped: true}
	}
	size := int64(len(resp.Body))
	if size <= int64(t.maxBody) && t.bytes+size <= int64(t.maxBytes) {
		return resp
	}
	return &Response{Status: resp.Status, Header: resp.Header, BodyDropped: true}
}

// replicateTo sends the present records of keys to a standby.
func (t *table) replicateTo(standby ident.EntryID, keys []ident.KeyID) {
	t.lastNumber++
	b := batch{to: standby, sentAt: t.now, revisions: map[ident.KeyID]uint64{}}
	m := replicateRequest{Number: t.lastNumber, Digest: t.digest}
	for _, k := range keys {
		m.Records = append(m.Records, t.toWire(t.records[k]))
		b.revisions[k] = t.records[k].Revision
	}
	t.batches[t.lastNumber] = b
	t.send(standby, m)
}

// toWire returns a copy of the record for a message, with its age instead of a time on the clock of this process.
func (t *table) toWire(r *record) record {
	out := *r
	out.Age = t.now.Sub(r.changed)
	return out
}

// fromWire returns a received record with the time of its last change on the clock of this process.
func (t *table) fromWire(r record) record {
	r.changed = t.now.Add(-max(r.Age, 0))
	r.confirmedBy, r.confirmedRevision = "", 0
	return r
}

// findBacklog collects the records whose present standby may not have them.
func (t *table) findBacklog() {
	t.backlog = map[ident.KeyID]bool{}
	for k, r := range t.records {
		if t.members.home(k) != t.self {
			continue
		}
		if s, needed := t.standby(k); needed && (s != r.confirmedBy || r.confirmedRevision != r.Revision) {
			t.backlog[k] = true
		}
	}
}

// replicateBacklog sends one batch to each standby, except to one that still has to confirm a batch of several records.
// Records of pending operations come first.
func (t *table) replicateBacklog() {
	busy := map[ident.EntryID]bool{}
	inFlight := map[ident.KeyID]bool{}
	for _, b := range t.batches {
		busy[b.to] = busy[b.to] || len(b.revisions) > 1
		for k := range b.revisions {
			inFlight[k] = true
		}
	}
	keys, sizes := map[ident.EntryID][]ident.KeyID{}, map[ident.EntryID]int64{}
	add := func(k ident.KeyID) {
		s, _ := t.standby(k)
		if s == "" || busy[s] || inFlight[k] || sizes[s] > batchBytes {
			return
		}
		inFlight[k] = true
		keys[s] = append(keys[s], k)
		sizes[s] += t.records[k].size()
	}
	for k := range t.pending {
		add(k)
	}
	for k := range t.backlog {
		add(k)
	}
	for s, ks := range keys {
		t.replicateTo(s, ks)
	}
}

func (t *table) handleReplicateRequest(from ident.EntryID, m replicateRequest) {
	if m.Digest != t.digest {
		return
	}
	all := true
	for _, r := range m.Records {
		if t.members.home(r.Key).ID != from || !t.store(t.fromWire(r)) {
			all = false
		}
	}
	if all {
		t.send(from, replicateReply{Number: m.Number})
	}
}

func (t *table) handleReplicateReply(from ident.EntryID, m replicateReply) {
	b, ok := t.batches[m.Number]
	if !ok || b.to != from {
		return
	}
	delete(t.batches, m.Number)
	for k, revision := range b.revisions {
		r := t.records[k]
		if r == nil || r.Revision != revision {
			continue
		}
		r.confirmedBy, r.confirmedRevision = from, revision
		if s, _ := t.standby(k); s == from {
			delete(t.backlog, k)
		}
		if op, ok := t.pending[k]; ok && op.revision == revision {
			delete(t.pending, k)
			t.send(op.from, opReply{Number: op.request.Number, Status: statusOK})
		}
	}
	if len(t.backlog) > 0 {
		t.replicateBacklog()
	}
}
