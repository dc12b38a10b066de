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
	// tickPeriod is how often missing entries are asked for again.
	tickPeriod = 100 * time.Millisecond
	// statusPeriod is how often an unchanged status is repeated.
	statusPeriod = 2 * time.Second
	// transferPause is how long a chunk of a state is waited for.
	transferPause = time.Second
	// messageData bounds the payload of one message between peers.
	messageData = 128 * ident.KiB
	// answerBatches bounds the messages that answer one request for entries.
	answerBatches = 8
)

// logEntries carries log entries between peers.
type logEntries struct {
	wire.MessageBase `cbor:"-"`
	Stream           plat.Stream `cbor:"stream"`
	Entries          []entryForm `cbor:"entries"`
	More             bool        `cbor:"more"` // the sender has further entries
}

type entryForm struct {
	Offset ident.Offset `cbor:"offset"`
	Time   time.Time    `cbor:"time"`
	Data   []byte       `cbor:"data"`
}

// logAsk asks for the entries of a stream from an offset. Where the peer no
// longer has them it offers its state.
type logAsk struct {
	wire.MessageBase `cbor:"-"`
	Stream           plat.Stream  `cbor:"stream"`
	From             ident.Offset `cbor:"from"`
}

// stateAsk asks for one chunk of an encoded state; an empty ID asks for the newest state.
type stateAsk struct {
	wire.MessageBase `cbor:"-"`
	ID               string `cbor:"id"`
	Index            int    `cbor:"index"`
}

// stateChunk is one chunk of an encoded state.
type stateChunk struct {
	wire.MessageBase `cbor:"-"`
	ID               string `cbor:"id"`
	Index            int    `cbor:"index"`
	Count            int    `cbor:"count"`
	Data             []byte `cbor:"data"`
}

// status tells the peers how far an entry is.
type status struct {
	wire.MessageBase `cbor:"-"`
	Zone             ident.ZoneID  `cbor:"zone"`
	Version          ident.Version `cbor:"version"`
	ConfigOffset     ident.Offset  `cbor:"config_offset"`
	FleetOffset      ident.Offset  `cbor:"fleet_offset"`
	ConfigNext       ident.Offset  `cbor:"config_next"` // read, though perhaps not folded
	FleetNext        ident.Offset  `cbor:"fleet_next"`
	Platform         bool          `cbor:"platform"` // the platform answered the last reads
	Ready            bool          `cbor:"ready"`
	Reason           string        `cbor:"reason,omitempty"` // why it is not ready
}

func init() {
	wire.Register[logEntries]("log_entries")
	wire.Register[logAsk]("log_ask")
	wire.Register[stateAsk]("state_ask")
	wire.Register[stateChunk]("state_chunk")
	wire.Register[status]("follow_status")
}

func (s status) next(name plat.Stream) ident.Offset {
	if name == plat.ConfigStream {
		return s.ConfigNext
	}
	return s.FleetNext
}

func (f *Follower) handle(from ident.EntryID, m wire.Message) {
	if from == f.Links.Self() {
		return
	}
	switch m := m.(type) {
	case logEntries:
		f.handleEntries(from, m)
	case logAsk:
		f.answer(from, m)
	case stateAsk:
		f.answerState(from, m)
	case stateChunk:
		f.takeState(from, m)
	case status:
		f.noteStatus(from, m)
	}
}

// send queues a message; what is lost is asked for again at a later tick.
func (f *Follower) send(to ident.EntryID, m wire.Message) {
	if err := f.Links.Send(to, m); err != nil {
		f.Logger.Trace("message to peer is lost", "peer", to, "error", err)
	}
}

// push sends new entries to every peer.
func (f *Follower) push(name plat.Stream, entries []plat.Entry) {
	if f.Links == nil || len(entries) == 0 {
		return
	}
	batches := batch(name, entries)
	for _, to := range f.up() {
		for _, b := range batches {
			f.send(to.ID, b)
		}
	}
}

// up returns the other entries that are up, those of the same zone first.
func (f *Follower) up() []peer.Member {
	if f.Links == nil {
		return nil
	}
	var out []peer.Member
	for id, m := range f.Links.View().Members {
		if id != f.Links.Self() && m.State == peer.Up {
			out = append(out, m)
		}
	}
	far := func(m peer.Member) int {
		if m.Zone == f.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func batch(name plat.Stream, entries []plat.Entry) []logEntries {
	var out []logEntries
	var size ident.Bytes
	for _, e := range entries {
		if len(out) == 0 || size+ident.Bytes(len(e.Data)) > messageData {
			out, size = append(out, logEntries{Stream: name}), 0
		}
		last := &out[len(out)-1]
		last.Entries = append(last.Entries, entryForm(e))
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
		f.send(from, logAsk{Stream: m.Stream, From: next})
	}
}

func (f *Follower) answer(to ident.EntryID, ask logAsk) {
	if f.streams[ask.Stream] == nil {
		return
	}
	f.mu.Lock()
	entries, ok := f.streams[ask.Stream].from(ask.From)
	f.mu.Unlock()
	if !ok {
		f.answerState(to, stateAsk{})
		return
	}
	batches := batch(ask.Stream, entries)
	more := len(batches) > answerBatches
	batches = batches[:min(len(batches), answerBatches)]
	for i, b := range batches {
		b.More = more && i == len(batches)-1
		f.send(to, b)
	}
}

// tick repeats what may have been lost: the status, and requests for missing entries.
func (f *Follower) tick() {
	if f.Links == nil {
		return
	}
	f.sendStatus()
	for name := range f.streams {
		f.askMissing(name)
	}
}

// askMissing asks a peer for entries that were missing at the last tick already.
func (f *Follower) askMissing(name plat.Stream) {
	members := f.up()
	f.mu.Lock()
	next := f.streams[name].next
	var from ident.EntryID
	far := false
	for _, m := range members {
		if p, ok := f.peers[m.ID]; ok && p.next(name) > next {
			from, far = m.ID, p.next(name)-next > farBehind
			break
		}
	}
	again := f.behind[name] == next
	if f.incoming != nil && f.Clock.Now().Sub(f.incoming.at) < transferPause {
		again = false // a state is on its way
	}
	f.behind[name] = 0
	if from != "" {
		f.behind[name] = next
	}
	f.mu.Unlock()
	switch {
	case from == "" || !again:
	case far:
		f.send(from, stateAsk{})
	default:
		f.send(from, logAsk{Stream: name, From: next})
	}
}

func (f *Follower) sendStatus() {
	now := f.Clock.Now()
	st := f.status()
	f.mu.Lock()
	due := st != f.sent || now.Sub(f.sentAt) >= statusPeriod
	if due {
		f.sent, f.sentAt = st, now
	}
	f.mu.Unlock()
	if !due {
		return
	}
	f.forget()
	for _, m := range f.up() {
		f.send(m.ID, st)
	}
}

// forget drops the status of entries that are no longer members.
func (f *Follower) forget() {
	members := f.Links.View().Members
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.peers {
		if _, ok := members[id]; !ok {
			delete(f.peers, id)
		}
	}
}
