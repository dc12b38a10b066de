package keys

import (
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// standby returns the entry that has to confirm a change of a key whose home
// this process is. Only a fleet of one entry does without.
func (t *table) standby(key ident.KeyID) (id ident.EntryID, needed bool) {
	for _, p := range t.members.ranked(key) {
		if t.up[p.ID] && (p.Zone != t.self.Zone || !t.zones) {
			return p.ID, true
		}
	}
	return "", len(t.members) > 1 || t.zones
}

func (t *table) onAsk(from ident.EntryID, a ask) {
	st, answer := t.decide(from, a)
	if st != "" {
		t.send(from, reply{Number: a.Number, Status: st, Answer: answer})
	}
}

// decide returns the response to an ask, or nothing while a standby has to confirm.
func (t *table) decide(from ident.EntryID, a ask) (status, *Response) {
	runner, ok := t.runner(from, a.Incarnation)
	if a.Digest != t.digest || t.members.home(a.Key) != t.self || !ok {
		return statusRetry, nil
	}
	if op, busy := t.pending[a.Key]; busy {
		if op.ask.Op == a.Op && op.ask.Claim == a.Claim {
			op.ask.Number = a.Number
			t.pending[a.Key] = op
			return "", nil
		}
		return statusRetry, nil
	}
	r := t.records[a.Key]
	if r != nil && t.expired(r) {
		t.drop(a.Key)
		r = nil
	}
	if a.Op == opClaim {
		if st, answer := t.repeated(r, a); st != "" {
			return st, answer
		}
	}
	standby, needed := t.standby(a.Key)
	if !t.vouches(a.Key) || (needed && standby == "") {
		return statusRetry, nil
	}
	next, st := t.change(r, a, runner)
	if st != "" {
		return st, nil
	}
	t.store(next)
	if !needed {
		return statusOK, nil
	}
	t.pending[a.Key] = pendingOp{ask: a, from: from, revision: next.Revision}
	t.copyTo(standby, []ident.KeyID{a.Key})
	return "", nil
}

func (t *table) runner(from ident.EntryID, incarnation uint64) (process, bool) {
	for _, p := range t.members {
		if p.ID == from {
			return p, p.Incarnation == incarnation
		}
	}
	return process{}, false
}

// repeated returns the response to a claim of a key that is in use; none if it can be claimed.
func (t *table) repeated(r *record, a ask) (status, *Response) {
	switch {
	case r == nil || r.Phase == free || r.Claim == a.Claim:
		return "", nil
	case r.Print != a.Print:
		return statusMismatch, nil
	case r.Phase == done:
		return statusStored, r.Answer
	case t.members.has(r.Runner):
		return statusInUse, nil
	case r.Phase == sent:
		return statusUncertain, nil
	}
	return "", nil // its runner is gone and had sent nothing
}

// change returns the record after the operation, or a status if it cannot be applied.
func (t *table) change(r *record, a ask, runner process) (record, status) {
	next := record{Key: a.Key, Print: a.Print, Claim: a.Claim, Runner: runner, Revision: 1, changed: t.now}
	if r != nil {
		next.Revision = r.Revision + 1
	}
	if a.Op == opClaim {
		next.Phase = claimed
		if r == nil && t.bytes+next.size() > int64(t.maxBytes) {
			return next, statusFull
		}
		if r != nil && r.Claim == a.Claim && r.Phase != claimed {
			return next, statusLost
		}
		return next, ""
	}
	if r == nil || r.Claim != a.Claim {
		return next, statusLost
	}
	next.Print, next.Runner = r.Print, r.Runner
	switch {
	case a.Op == opSent && (r.Phase == claimed || r.Phase == sent):
		next.Phase = sent
	case a.Op == opFinish && (r.Phase == sent || r.Phase == done):
		next.Phase, next.Answer = done, t.trim(a.Answer)
	case a.Op == opAbandon && r.Phase != done:
		next.Phase = free
	default:
		return next, statusLost
	}
	return next, ""
}

// trim drops the body of a response that is too large to keep.
func (t *table) trim(a *Response) *Response {
	if a == nil {
		return &Response{BodyDropped: true}
	}
	size := int64(len(a.Body))
	if size <= int64(t.maxAnswer) && t.bytes+size <= int64(t.maxBytes) {
		return a
	}
	return &Response{Status: a.Status, Header: a.Header, BodyDropped: true}
}

// copyTo sends the newest state of records to a standby.
func (t *table) copyTo(standby ident.EntryID, keys []ident.KeyID) {
	t.number++
	b := batch{to: standby, sentAt: t.now, revisions: map[ident.KeyID]uint64{}}
	m := replicate{Number: t.number, Digest: t.digest}
	for _, k := range keys {
		m.Records = append(m.Records, t.export(t.records[k]))
		b.revisions[k] = t.records[k].Revision
	}
	t.batches[t.number] = b
	t.send(standby, m)
}

func (t *table) export(r *record) record {
	out := *r
	out.Age = t.now.Sub(r.changed)
	return out
}

func (t *table) adopt(r record) record {
	r.changed = t.now.Add(-max(r.Age, 0))
	r.holder, r.held = "", 0
	return r
}

// findBacklog collects the records whose present standby may not have them.
func (t *table) findBacklog() {
	t.backlog = map[ident.KeyID]bool{}
	for k, r := range t.records {
		if t.members.home(k) != t.self {
			continue
		}
		if s, needed := t.standby(k); needed && (s != r.holder || r.held != r.Revision) {
			t.backlog[k] = true
		}
	}
}

// copyBacklog sends one batch to each standby that has no batch to confirm.
func (t *table) copyBacklog() {
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
		if s == "" || busy[s] || inFlight[k] || sizes[s] > pageBytes {
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
		t.copyTo(s, ks)
	}
}

func (t *table) onReplicate(from ident.EntryID, m replicate) {
	if m.Digest != t.digest {
		return
	}
	all := true
	for _, r := range m.Records {
		if t.members.home(r.Key).ID != from || !t.store(t.adopt(r)) {
			all = false
		}
	}
	if all {
		t.send(from, confirm{Number: m.Number})
	}
}

func (t *table) onConfirm(from ident.EntryID, m confirm) {
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
		r.holder, r.held = from, revision
		if s, _ := t.standby(k); s == from {
			delete(t.backlog, k)
		}
		if op, ok := t.pending[k]; ok && op.revision == revision {
			delete(t.pending, k)
			t.send(op.from, reply{Number: op.ask.Number, Status: statusOK})
		}
	}
	if len(t.backlog) > 0 {
		t.copyBacklog()
	}
}
