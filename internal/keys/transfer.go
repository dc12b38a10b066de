package keys

import (
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// readyPollInterval is the time between two requests that ask whether a member is ready.
const readyPollInterval = 500 * time.Millisecond

// sendPulls requests the records of the members that have not handed over. While the membership is not settled, it also
// asks the other members whether they are ready.
func (t *table) sendPulls() {
	settled := slices.Equal(t.settled, t.members) && len(t.lost) == 0
	for _, p := range t.members {
		in := t.incoming[p.ID]
		if in == nil || !t.up[p.ID] {
			continue
		}
		waited := t.now.Sub(in.requestedAt)
		switch {
		case !in.synced && waited >= resendInterval:
			t.send(p.ID, pullRequest{Epoch: t.epoch, Digest: t.digest, From: in.next})
		case in.synced && !settled && !in.Ready && waited >= readyPollInterval:
			t.send(p.ID, pullRequest{Epoch: t.epoch, Digest: t.digest, From: -1})
		default:
			continue
		}
		in.requestedAt = t.now
	}
}

// handlePullRequest replies with the next records whose home the sender is. A request under another membership than the
// present one is deferred.
func (t *table) handlePullRequest(from ident.EntryID, m pullRequest) {
	delete(t.deferredPulls, from)
	if m.Digest != t.digest || t.incoming[from] == nil {
		t.deferredPulls[from] = m
		return
	}
	reply := pullReply{
		Epoch: m.Epoch, Digest: m.Digest, From: m.From, History: t.history, Settled: t.settled, Ready: t.ready(),
	}
	for _, l := range t.lost {
		l.Age = t.now.Sub(l.since)
		reply.Lost = append(reply.Lost, l)
	}
	if m.From >= 0 {
		t.addRecords(&reply, from, m)
	}
	t.send(from, reply)
}

// addRecords adds the records from the requested index on. The list of keys stays the same in one membership epoch of the
// reader.
// If the list that the index belongs to no longer exists, the reader gets a new list from its start.
func (t *table) addRecords(reply *pullReply, to ident.EntryID, m pullRequest) {
	list := t.outgoing[to]
	if list == nil || list.epoch != m.Epoch {
		list = &outgoingTransfer{epoch: m.Epoch}
		for k := range t.records {
			if t.members.home(k).ID == to {
				list.keys = append(list.keys, k)
			}
		}
		t.outgoing[to] = list
		reply.From = 0
	}
	size := int64(0)
	i := reply.From
	for ; i < len(list.keys) && size < batchBytes; i++ {
		if r := t.records[list.keys[i]]; r != nil {
			reply.Records = append(reply.Records, t.toWire(r))
			size += r.size()
		}
	}
	reply.Next, reply.More = i, i < len(list.keys)
}

func (t *table) handlePullReply(from ident.EntryID, m pullReply) {
	in := t.incoming[from]
	if in == nil || m.Epoch != t.epoch || m.Digest != t.digest {
		return
	}
	if m.From < 0 {
		in.Ready = m.Ready
		t.updateProofs()
		return
	}
	for _, r := range m.Records {
		if t.store(t.fromWire(r)) && t.members.home(r.Key) == t.self {
			t.backlog[r.Key] = true
			t.cancelOvertaken(r.Key)
		}
	}
	m.Records = nil
	if in.synced || (m.From != in.next && m.From != 0) {
		return // the reply to a repeated request
	}
	in.pullReply, in.next = m, m.Next
	if m.More {
		in.requestedAt = t.now
		t.send(from, pullRequest{Epoch: t.epoch, Digest: t.digest, From: in.next})
		return
	}
	in.synced = true
	for _, l := range m.Lost {
		if _, known := t.lost[l.Process]; !known && !t.members.has(l.Process) {
			l.since = t.now.Add(-max(l.Age, 0))
			t.lost[l.Process] = l
		}
	}
	t.updateProofs()
	t.replicateBacklog()
	t.sendPulls()
}
