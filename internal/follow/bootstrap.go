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

// encodedState is an encoded state that peers request chunk by chunk.
type encodedState struct {
	id     string
	state  *fold.State
	chunks []fold.CheckpointChunk
}

// stateTransfer is a state that is being received from a peer.
type stateTransfer struct {
	id        string
	data      []byte
	next      int       // index of the next chunk
	lastChunk time.Time // when the last chunk was received
}

// sendStateChunk sends one chunk of the state to a peer.
func (f *Follower) sendStateChunk(to ident.EntryID, request stateRequest) {
	encoded, err := f.encodedState()
	if err != nil {
		f.Logger.Error("failed to encode the state for a peer; sending nothing", "error", err)
		return
	}
	index := request.Index
	if request.ID != encoded.id || index < 0 || index >= len(encoded.chunks) {
		index = 0
	}
	f.send(to, stateChunk{ID: encoded.id, Index: index, Count: len(encoded.chunks), Data: encoded.chunks[index].Data})
}

// encodedState returns the state that is sent to peers. An encoded state is
// reused as long as the log entries after it are cached, so that peers that start
// at the same time do not restart each other's transfers.
func (f *Follower) encodedState() (*encodedState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if encoded := f.encoded; encoded != nil {
		_, config := f.streams[plat.ConfigStream].entriesFrom(encoded.state.ConfigOffset + 1)
		_, fleet := f.streams[plat.FleetStream].entriesFrom(encoded.state.FleetOffset + 1)
		if config && fleet {
			return encoded, nil
		}
	}
	s := f.snapshot.Load()
	id := fmt.Sprintf("%s/%d/%d", f.Links.Self(), s.ConfigOffset, s.FleetOffset)
	chunks, err := fold.CheckpointChunks(s, fold.Header{ID: ident.RecordID(id)})
	if err != nil {
		return nil, err
	}
	f.encoded = &encodedState{id: id, state: s, chunks: chunks}
	return f.encoded, nil
}

// handleStateChunk adds a chunk to the state transfer and requests the next
// one, or adopts the state after its last chunk.
func (f *Follower) handleStateChunk(from ident.EntryID, m stateChunk) {
	f.mu.Lock()
	transfer := f.transfer
	if m.Index == 0 && (transfer == nil || transfer.id != m.ID) {
		transfer = &stateTransfer{id: m.ID}
		f.transfer = transfer
	}
	if transfer == nil || transfer.id != m.ID || m.Index != transfer.next {
		f.mu.Unlock()
		if m.Index == 0 && transfer != nil {
			f.send(from, stateRequest{ID: transfer.id, Index: transfer.next}) // resume after a lost chunk
		}
		return
	}
	transfer.data = append(transfer.data, m.Data...)
	transfer.next++
	transfer.lastChunk = f.Clock.Now()
	complete := transfer.next == m.Count
	if complete {
		f.transfer = nil
	}
	f.mu.Unlock()
	if !complete {
		f.send(from, stateRequest{ID: m.ID, Index: transfer.next})
		return
	}
	s, err := fold.Restore(transfer.data)
	if err != nil {
		f.Logger.Warn("cannot use the state received from a peer; discarding it", "peer", from, "error", err)
		return
	}
	f.adopt(s, "state of peer "+string(from))
}

// loadCheckpoint restores the newest complete checkpoint of the fleet stream
// and adopts it if it is newer than the state.
func (f *Follower) loadCheckpoint(ctx context.Context) error {
	var newest, current []byte
	var id string
	count := 0
	err := f.scanCheckpointChunks(ctx, func(c fold.CheckpointChunk) {
		if c.Index == 0 {
			id, current, count = c.CheckpointID, nil, 0
		}
		if c.CheckpointID != id || c.Index != count {
			return // a second copy, or a chunk after one that has been trimmed
		}
		current = append(current, c.Data...)
		count++
		if count == c.Count {
			newest = current
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
		f.haltErr = err
		f.mu.Unlock()
	}
	if err != nil {
		return err
	}
	f.adopt(s, "checkpoint")
	return nil
}

// catchUp applies records to a restored state up to the offsets that this
// follower has already reached, so that no offset decreases when the state is adopted.
func (f *Follower) catchUp(ctx context.Context, s *fold.State) (*fold.State, error) {
	for _, name := range []plat.Stream{plat.ConfigStream, plat.FleetStream} {
		for offsetOf(s, name) < offsetOf(f.Snapshot(), name) {
			readCtx, cancel := context.WithTimeout(ctx, maxTimeout)
			page, err := f.Log.Read(readCtx, name, offsetOf(s, name)+1, maxPageRecords, 0)
			cancel()
			if err != nil {
				return nil, err
			}
			before := s
			for _, e := range page.Records {
				if s, err = applyEntry(s, name, e); err != nil {
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

// applyEntry applies one log entry. If the record must wait, it returns s unchanged.
func applyEntry(s *fold.State, name plat.Stream, e plat.Entry) (*fold.State, error) {
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

// scanCheckpointChunks calls visit with each checkpoint chunk that is left in the fleet stream.
func (f *Follower) scanCheckpointChunks(ctx context.Context, visit func(fold.CheckpointChunk)) error {
	from := ident.Offset(1)
	for {
		readCtx, cancel := context.WithTimeout(ctx, maxTimeout)
		page, err := f.Log.Read(readCtx, plat.FleetStream, from, maxPageRecords, 0)
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

// Ready reports whether the state has once been as new as the states of all
// peers and as the end of the log, as far as these can be reached. A follower
// that halts is no longer ready.
func (f *Follower) Ready() bool { return f.NotReadyReason() == "" }

// HaltError returns a non-nil error if the follower has halted at a record in a
// later format. It then reads no further.
func (f *Follower) HaltError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.haltErr
}

// NotReadyReason returns why the follower is not ready, or the empty string if it is.
func (f *Follower) NotReadyReason() string {
	members := f.peersUp()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notReady(members)
}

// notReady implements NotReadyReason. members are the peers that are up. A
// follower that has once been ready stays ready when the platform fails. The
// caller holds f.mu.
func (f *Follower) notReady(members []peer.Member) string {
	if f.haltErr != nil {
		return f.haltErr.Error()
	}
	if f.ready.Load() {
		return ""
	}
	reason := f.logNotReady()
	ready := 0
	for _, m := range members {
		p, ok := f.peers[m.ID]
		switch {
		case !ok:
			return fmt.Sprintf("peer %s has not told its state yet", m.ID)
		case p.ConfigOffset > f.appliedOffset(plat.ConfigStream) || p.FleetOffset > f.appliedOffset(plat.FleetStream):
			return fmt.Sprintf("peer %s has a newer state", m.ID)
		case p.Ready:
			ready++
		}
	}
	if reason == "" || f.platformUnreachable() && ready > 0 {
		f.ready.Store(true)
		return ""
	}
	return reason
}

// logNotReady returns why the follower is not ready as far as the log is
// concerned, or the empty string. The caller holds f.mu.
func (f *Follower) logNotReady() string {
	for _, s := range f.streams {
		switch {
		case s.platform == unreachable:
			return "the log cannot be read and no peer is ready"
		case !s.reachedEnd || s.platformNext > f.appliedOffset(s.name)+1:
			return "the log has not been read to its end"
		}
	}
	return ""
}

func (f *Follower) platformUnreachable() bool {
	for _, s := range f.streams {
		if s.platform == unreachable {
			return true
		}
	}
	return false
}

// AppendCheckpoint appends the encoded state to the fleet stream, so that a
// daemon can start after older records have been trimmed.
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
