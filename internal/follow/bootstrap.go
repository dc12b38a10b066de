package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// export is an encoded state that peers are taking, chunk by chunk.
type export struct {
	id     string
	state  *fold.State
	chunks []fold.CheckpointChunk
}

// incoming is a state that is being taken from a peer.
type incoming struct {
	id   string
	data []byte
	next int
	at   time.Time // when the newest chunk came
}

// answerState sends one chunk of the state. The encoded state is reused for
// as long as the entries behind it are kept, so that peers that start at the
// same time do not restart each other's transfer.
func (f *Follower) answerState(to ident.EntryID, ask stateAsk) {
	x, err := f.exported()
	if err != nil {
		f.Logger.Error("state cannot be encoded", "error", err)
		return
	}
	index := ask.Index
	if ask.ID != x.id || index < 0 || index >= len(x.chunks) {
		index = 0
	}
	f.send(to, stateChunk{ID: x.id, Index: index, Count: len(x.chunks), Data: x.chunks[index].Data})
}

func (f *Follower) exported() (*export, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.export; x != nil {
		_, config := f.streams[plat.ConfigStream].from(x.state.ConfigOffset + 1)
		_, fleet := f.streams[plat.FleetStream].from(x.state.FleetOffset + 1)
		if config && fleet {
			return x, nil
		}
	}
	s := f.snapshot.Load()
	id := fmt.Sprintf("%s/%d/%d", f.Links.Self(), s.ConfigOffset, s.FleetOffset)
	chunks, err := fold.CheckpointChunks(s, fold.Header{ID: ident.RecordID(id)})
	if err != nil {
		return nil, err
	}
	f.export = &export{id: id, state: s, chunks: chunks}
	return f.export, nil
}

// takeState collects a state and asks for its next chunk.
func (f *Follower) takeState(from ident.EntryID, m stateChunk) {
	f.mu.Lock()
	in := f.incoming
	if m.Index == 0 && (in == nil || in.id != m.ID) {
		in = &incoming{id: m.ID}
		f.incoming = in
	}
	if in == nil || in.id != m.ID || m.Index != in.next {
		f.mu.Unlock()
		if m.Index == 0 && in != nil {
			f.send(from, stateAsk{ID: in.id, Index: in.next}) // resume after a lost chunk
		}
		return
	}
	in.data = append(in.data, m.Data...)
	in.next++
	in.at = f.Clock.Now()
	complete := in.next == m.Count
	if complete {
		f.incoming = nil
	}
	f.mu.Unlock()
	if !complete {
		f.send(from, stateAsk{ID: m.ID, Index: in.next})
		return
	}
	s, err := fold.Restore(in.data)
	if err != nil {
		f.Logger.Warn("state of a peer cannot be used", "peer", from, "error", err)
		return
	}
	f.adopt(s, "state of peer "+string(from))
}

// loadCheckpoint restores the newest complete checkpoint of the fleet stream, if it is newer than the state.
func (f *Follower) loadCheckpoint(ctx context.Context) error {
	var newest, building []byte
	var id string
	count := 0
	err := f.scan(ctx, func(c fold.CheckpointChunk) {
		if c.Index == 0 {
			id, building, count = c.CheckpointID, nil, 0
		}
		if c.CheckpointID != id || c.Index != count {
			return // a second copy, or a chunk whose predecessor is trimmed
		}
		building = append(building, c.Data...)
		count++
		if count == c.Count {
			newest = building
		}
	})
	if err != nil || newest == nil {
		return err
	}
	s, err := fold.Restore(newest)
	if err == nil {
		s, err = f.catchUp(ctx, s)
	}
	var later *fold.LaterFormatError
	if errors.As(err, &later) {
		f.mu.Lock()
		f.halted = err
		f.mu.Unlock()
	}
	if err != nil {
		return err
	}
	f.adopt(s, "checkpoint")
	return nil
}

// catchUp folds a restored state up to the offsets that this follower has
// already reached, so that no stream goes back when the state is adopted.
func (f *Follower) catchUp(ctx context.Context, s *fold.State) (*fold.State, error) {
	for _, name := range []plat.Stream{plat.ConfigStream, plat.FleetStream} {
		for offsetOf(s, name) < offsetOf(f.Snapshot(), name) {
			readCtx, cancel := context.WithTimeout(ctx, maxPatience)
			page, err := f.Log.Read(readCtx, name, offsetOf(s, name)+1, readLimit, 0)
			cancel()
			if err != nil {
				return nil, err
			}
			before := s
			for _, e := range page.Records {
				if s, err = foldEntry(s, name, e); err != nil {
					return nil, err
				}
			}
			if s == before {
				return nil, errBacklog
			}
		}
	}
	return s, nil
}

// foldEntry folds one entry; an entry that waits leaves s as it is.
func foldEntry(s *fold.State, name plat.Stream, e plat.Entry) (*fold.State, error) {
	r, err := fold.Decode(e.Data, name == plat.ConfigStream)
	var later *fold.LaterFormatError
	switch {
	case errors.As(err, &later):
		return nil, err
	case err != nil:
		return s.Skip(name == plat.ConfigStream), nil
	}
	s, _ = s.Apply(r)
	return s, nil
}

// scan calls visit with each checkpoint chunk that the fleet stream still has.
func (f *Follower) scan(ctx context.Context, visit func(fold.CheckpointChunk)) error {
	from := ident.Offset(1)
	for {
		readCtx, cancel := context.WithTimeout(ctx, maxPatience)
		page, err := f.Log.Read(readCtx, plat.FleetStream, from, readLimit, 0)
		cancel()
		var trimmed *plat.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		for _, e := range page.Records {
			from = e.Offset + 1
			if r, err := fold.Decode(e.Data, false); err == nil {
				if c, ok := r.(fold.CheckpointChunk); ok {
					visit(c)
				}
			}
		}
		if len(page.Records) == 0 || from >= page.Next {
			return nil
		}
	}
}

// Ready reports whether the state has been as new as every peer's and as the
// end of the log, where those can be reached. It ends with a record in a later format.
func (f *Follower) Ready() bool { return f.NotReadyReason() == "" }

// HaltError returns the error of a record in a later format, behind which this follower does not read, or nil.
func (f *Follower) HaltError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halted
}

// NotReadyReason returns why the follower is not ready, or the empty string.
func (f *Follower) NotReadyReason() string {
	members := f.up()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notReady(members)
}

// notReady is NotReadyReason with the other entries that are up. An entry that has
// once been ready stays ready when the platform fails. The caller holds f.mu.
func (f *Follower) notReady(members []peer.Member) string {
	if f.halted != nil {
		return f.halted.Error()
	}
	if f.ready.Load() {
		return ""
	}
	reason := f.platformReason()
	ready := 0
	for _, m := range members {
		p, ok := f.peers[m.ID]
		switch {
		case !ok:
			return fmt.Sprintf("peer %s has not told its state yet", m.ID)
		case p.ConfigOffset > f.offset(plat.ConfigStream) || p.FleetOffset > f.offset(plat.FleetStream):
			return fmt.Sprintf("peer %s has a newer state", m.ID)
		case p.Ready:
			ready++
		}
	}
	if reason == "" || f.unreachable() && ready > 0 {
		f.ready.Store(true)
		return ""
	}
	return reason
}

// platformReason returns why the log does not make the follower ready. The caller holds f.mu.
func (f *Follower) platformReason() string {
	for _, s := range f.streams {
		switch {
		case s.platform == unreachable:
			return "the log cannot be read and no peer is ready"
		case !s.reached || s.end > f.offset(s.name)+1:
			return "the log has not been read to its end"
		}
	}
	return ""
}

func (f *Follower) unreachable() bool {
	for _, s := range f.streams {
		if s.platform == unreachable {
			return true
		}
	}
	return false
}

// AppendCheckpoint appends the present state to the fleet stream, so that a daemon
// can start after older records are trimmed.
func (f *Follower) AppendCheckpoint(ctx context.Context, writer string, now time.Time) error {
	s := f.Snapshot()
	id := ident.RecordID(fmt.Sprintf("checkpoint-%d-%d-%s", s.ConfigOffset, s.FleetOffset, writer))
	chunks, err := fold.CheckpointChunks(s, fold.Header{ID: id, Writer: writer, Time: now.UTC()})
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if _, err := f.Append(ctx, c); err != nil {
			return fmt.Errorf("append checkpoint: %w", err)
		}
	}
	return nil
}
