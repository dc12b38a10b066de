package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	// tickPeriod is the time between two requests for missing log entries.
	tickPeriod = 100 * time.Millisecond
	// statusPeriod is the time after which an unchanged status is sent again.
	statusPeriod = 2 * time.Second
	// chunkTimeout is the time without a new chunk after which a state transfer
	// no longer holds back requests for missing log entries.
	chunkTimeout = time.Second
	// maxMessageBytes limits the data in one logEntries message with several entries.
	maxMessageBytes = 128 * ident.KiB
	// maxResponseMessages limits the messages sent in response to one entriesRequest.
	maxResponseMessages = 8
)

// logEntries is a message with log entries for a peer.
type logEntries struct {
	wire.MessageBase `cbor:"-"`
	Stream           plat.Stream    `cbor:"stream"`
	Entries          []encodedEntry `cbor:"entries"`
	More             bool           `cbor:"more"` // the sender has more entries after these
}

type encodedEntry struct {
	Offset ident.Offset `cbor:"offset"`
	Time   time.Time    `cbor:"time"`
	Data   []byte       `cbor:"data"`
}

// entriesRequest requests the log entries of a stream from an offset on. A peer
// that no longer has them responds with the first chunk of its state.
type entriesRequest struct {
	wire.MessageBase `cbor:"-"`
	Stream           plat.Stream  `cbor:"stream"`
	From             ident.Offset `cbor:"from"`
}

// stateRequest requests one chunk of an encoded state. An empty ID requests the
// first chunk of the newest state.
type stateRequest struct {
	wire.MessageBase `cbor:"-"`
	ID               string `cbor:"id"`
	Index            int    `cbor:"index"`
}

// stateChunk is a message with one chunk of an encoded state.
type stateChunk struct {
	wire.MessageBase `cbor:"-"`
	ID               string `cbor:"id"`
	Index            int    `cbor:"index"`
	Count            int    `cbor:"count"`
	Data             []byte `cbor:"data"`
}

// statusMessage tells the peers how far the sender has read and applied the log.
type statusMessage struct {
	wire.MessageBase `cbor:"-"`
	Zone             ident.ZoneID  `cbor:"zone"`
	Version          ident.Version `cbor:"version"`
	ConfigOffset     ident.Offset  `cbor:"config_offset"`
	FleetOffset      ident.Offset  `cbor:"fleet_offset"`
	ConfigNext       ident.Offset  `cbor:"config_next"` // end of the part that has been read, though perhaps not applied
	FleetNext        ident.Offset  `cbor:"fleet_next"`
	Platform         bool          `cbor:"platform"` // the last read of each stream from the platform succeeded
	Ready            bool          `cbor:"ready"`
	Reason           string        `cbor:"reason,omitempty"` // why the sender is not ready
}

func init() {
	wire.Register[logEntries]("log_entries")
	wire.Register[entriesRequest]("log_ask")
	wire.Register[stateRequest]("state_ask")
	wire.Register[stateChunk]("state_chunk")
	wire.Register[statusMessage]("follow_status")
}

// next returns the offset up to which the sender has read a stream.
func (s statusMessage) next(name plat.Stream) ident.Offset {
	if name == plat.ConfigStream {
		return s.ConfigNext
	}
	return s.FleetNext
}

func (f *Follower) handleMessage(from ident.EntryID, m wire.Message) {
	if from == f.Links.Self() {
		return
	}
	switch m := m.(type) {
	case logEntries:
		f.handleEntries(from, m)
	case entriesRequest:
		f.sendEntries(from, m)
	case stateRequest:
		f.sendStateChunk(from, m)
	case stateChunk:
		f.handleStateChunk(from, m)
	case statusMessage:
		f.handleStatus(from, m)
	}
}

// send queues a message. The message may be lost; the peer then requests what
// it lacks at a later tick.
func (f *Follower) send(to ident.EntryID, m wire.Message) {
	if err := f.Links.Send(to, m); err != nil {
		f.Logger.Trace("message to peer was not sent", "peer", to, "error", err)
	}
}

// broadcast sends new log entries to every peer.
func (f *Follower) broadcast(name plat.Stream, entries []plat.Entry) {
	if f.Links == nil || len(entries) == 0 {
		return
	}
	batches := splitIntoMessages(name, entries)
	for _, to := range f.peersUp() {
		for _, b := range batches {
			f.send(to.ID, b)
		}
	}
}

// peersUp returns the peers that are up, those in the same zone first.
func (f *Follower) peersUp() []peer.Member {
	if f.Links == nil {
		return nil
	}
	var out []peer.Member
	for id, m := range f.Links.View().Members {
		if id != f.Links.Self() && m.State == peer.Up {
			out = append(out, m)
		}
	}
	zoneRank := func(m peer.Member) int {
		if m.Zone == f.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(zoneRank(a), zoneRank(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func splitIntoMessages(name plat.Stream, entries []plat.Entry) []logEntries {
	var out []logEntries
	var size ident.Bytes
	for _, e := range entries {
		if len(out) == 0 || size+ident.Bytes(len(e.Data)) > maxMessageBytes {
			out, size = append(out, logEntries{Stream: name}), 0
		}
		last := &out[len(out)-1]
		last.Entries = append(last.Entries, encodedEntry(e))
		size += ident.Bytes(len(e.Data))
	}
	return out
}

func (f *Follower) handleEntries(from ident.EntryID, m logEntries) {
	if f.streams[m.Stream] == nil {
		return
	}
	entries := make([]plat.Entry, len(m.Entries))
	for i, e := range m.Entries {
		entries[i] = plat.Entry(e)
	}
	_, gap := f.ingest(m.Stream, entries, "peer "+string(from))
	if gap || m.More {
		next, _, _ := f.cursor(m.Stream)
		f.send(from, entriesRequest{Stream: m.Stream, From: next})
	}
}

func (f *Follower) sendEntries(to ident.EntryID, request entriesRequest) {
	if f.streams[request.Stream] == nil {
		return
	}
	f.mu.Lock()
	entries, ok := f.streams[request.Stream].entriesFrom(request.From)
	f.mu.Unlock()
	if !ok {
		f.sendStateChunk(to, stateRequest{})
		return
	}
	batches := splitIntoMessages(request.Stream, entries)
	more := len(batches) > maxResponseMessages
	batches = batches[:min(len(batches), maxResponseMessages)]
	for i, b := range batches {
		b.More = more && i == len(batches)-1
		f.send(to, b)
	}
}

// tick sends the status and requests missing log entries. Both are repeated,
// because messages may be lost.
func (f *Follower) tick() {
	if f.Links == nil {
		return
	}
	f.sendStatus()
	for name := range f.streams {
		f.requestMissing(name)
	}
}

// requestMissing requests log entries from a peer, if the same ones were
// missing at the last tick already. If many are missing, it requests the
// peer's state instead.
func (f *Follower) requestMissing(name plat.Stream) {
	members := f.peersUp()
	f.mu.Lock()
	next := f.streams[name].next
	var from ident.EntryID
	many := false
	for _, m := range members {
		if p, ok := f.peers[m.ID]; ok && p.next(name) > next {
			from, many = m.ID, p.next(name)-next > replayLimit
			break
		}
	}
	repeated := f.missing[name] == next
	if f.transfer != nil && f.Clock.Now().Sub(f.transfer.lastChunk) < chunkTimeout {
		repeated = false // a state transfer is making progress
	}
	f.missing[name] = 0
	if from != "" {
		f.missing[name] = next
	}
	f.mu.Unlock()
	switch {
	case from == "" || !repeated:
	case many:
		f.send(from, stateRequest{})
	default:
		f.send(from, entriesRequest{Stream: name, From: next})
	}
}

func (f *Follower) sendStatus() {
	now := f.Clock.Now()
	st := f.status()
	f.mu.Lock()
	due := st != f.lastStatus || now.Sub(f.lastStatusAt) >= statusPeriod
	if due {
		f.lastStatus, f.lastStatusAt = st, now
	}
	f.mu.Unlock()
	if !due {
		return
	}
	f.deleteNonMembers()
	for _, m := range f.peersUp() {
		f.send(m.ID, st)
	}
}

// deleteNonMembers deletes the status of entries that are no longer members.
func (f *Follower) deleteNonMembers() {
	members := f.Links.View().Members
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.peers {
		if _, ok := members[id]; !ok {
			delete(f.peers, id)
		}
	}
}
