package follow

import (
	"errors"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	// A peer that lacks more than what is kept here takes the whole state instead.
	keepEntries = 4096
	keepBytes   = 4 * ident.MiB
	maxUnfolded = 8192 // entries read ahead of the other stream
)

const sourcePlatform = "platform"

// platformState is what the last read of a stream showed.
type platformState int

const (
	untried platformState = iota
	reachable
	unreachable
)

// stream holds the entries of one stream that were read last.
type stream struct {
	name     plat.Stream
	next     ident.Offset // all entries before it have been read
	kept     []plat.Entry // contiguous, up to next
	bytes    ident.Bytes
	reached  bool // the end of the stream was reached once
	platform platformState
	end      ident.Offset // next offset of the platform when it was last read
}

func (s *stream) add(e plat.Entry) {
	s.kept = append(s.kept, e)
	s.bytes += ident.Bytes(len(e.Data))
	s.next++
}

// trim drops entries that have been folded, beyond the limits. It waits for
// a quarter too many, so that not every new entry copies the list.
func (s *stream) trim(folded ident.Offset) {
	if len(s.kept) <= keepEntries*5/4 && s.bytes <= keepBytes*5/4 {
		return
	}
	n := 0
	for n < len(s.kept) && s.kept[n].Offset <= folded && (len(s.kept)-n > keepEntries || s.bytes > keepBytes) {
		s.bytes -= ident.Bytes(len(s.kept[n].Data))
		n++
	}
	if n > 0 {
		s.kept = slices.Clone(s.kept[n:])
	}
}

// from returns the kept entries from an offset, or false when some of them are gone.
func (s *stream) from(offset ident.Offset) ([]plat.Entry, bool) {
	first := s.next - ident.Offset(len(s.kept))
	if offset < first {
		return nil, false
	}
	if offset >= s.next {
		return nil, true
	}
	return s.kept[offset-first:], true
}

// offset returns how far a stream has been folded. The caller holds f.mu.
func (f *Follower) offset(name plat.Stream) ident.Offset {
	return offsetOf(f.snapshot.Load(), name)
}

func offsetOf(s *fold.State, name plat.Stream) ident.Offset {
	if name == plat.ConfigStream {
		return s.ConfigOffset
	}
	return s.FleetOffset
}

// ingest takes the entries that come next in a stream and ignores those it has.
// It returns the new ones and whether entries are missing before the rest.
func (f *Follower) ingest(name plat.Stream, entries []plat.Entry, source string) (fresh []plat.Entry, gap bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.halted != nil {
		return nil, false
	}
	s := f.streams[name]
	for _, e := range entries {
		if e.Offset > s.next {
			gap = true
			break
		}
		if e.Offset == s.next {
			s.add(e)
			fresh = append(fresh, e)
		}
	}
	if len(fresh) > 0 {
		f.source = source
		f.advance()
	}
	return fresh, gap
}

// advance folds what can be folded and publishes the new state. The caller holds f.mu.
func (f *Follower) advance() {
	s := f.snapshot.Load()
	for f.halted == nil {
		next := f.advanceStream(s, plat.ConfigStream)
		next = f.advanceStream(next, plat.FleetStream)
		if next == s {
			break
		}
		s = next
	}
	f.install(s)
	for _, st := range f.streams {
		st.trim(f.offset(st.name))
	}
}

// install publishes a state. The caller holds f.mu.
func (f *Follower) install(s *fold.State) {
	if s == f.snapshot.Load() {
		return
	}
	f.snapshot.Store(s)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) advanceStream(s *fold.State, name plat.Stream) *fold.State {
	entries, _ := f.streams[name].from(offsetOf(s, name) + 1)
	for _, e := range entries {
		r, err := fold.Decode(e.Data, name == plat.ConfigStream)
		var later *fold.LaterFormatError
		switch {
		case errors.As(err, &later):
			f.halted = err
			f.Logger.Error("the log holds a record in a later format; staying at the last state", "stream", name, "offset", e.Offset, "error", err)
			return s
		case err != nil:
			f.Logger.Warn("entry is skipped", "stream", name, "offset", e.Offset, "error", err)
			s = s.Skip(name == plat.ConfigStream)
		case s.MustWait(r):
			return s
		default:
			s = f.applyRecord(s, r, e)
		}
	}
	return s
}

func (f *Follower) applyRecord(s *fold.State, r fold.Record, e plat.Entry) *fold.State {
	next, outcome := s.Apply(r)
	f.recordAge = max(0, f.Clock.Now().Sub(e.Time))
	f.Logger.Debug("record applied", "offset", e.Offset, "id", fold.IDOf(r), "result", outcome.Result, "reason", outcome.Reason)
	return next
}

// adopt replaces the state by one from a peer or a checkpoint, if that is newer.
func (f *Follower) adopt(s *fold.State, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.halted != nil || !s.Newer(f.snapshot.Load()) {
		return
	}
	for _, st := range f.streams {
		if at := offsetOf(s, st.name); st.next <= at {
			st.next, st.kept, st.bytes = at+1, nil, 0
		}
	}
	f.source = source
	f.install(s)
	f.advance()
	f.Logger.Info("state adopted", "source", source, "config_offset", s.ConfigOffset, "fleet_offset", s.FleetOffset)
}

func (f *Follower) noteRead(name plat.Stream, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var trimmed *plat.TrimmedError
	switch {
	case err == nil || errors.As(err, &trimmed):
		f.streams[name].platform = reachable
	case !errors.Is(err, errBacklog):
		f.streams[name].platform = unreachable
	}
}

// notePage notes a page that was read. Readiness is decided under the same
// lock: a read of the other stream that fails next must not take it away.
func (f *Follower) notePage(name plat.Stream, end ident.Offset) {
	members := f.up()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[name]
	s.end = end
	s.platform = reachable
	if s.next >= end {
		s.reached = true
	}
	f.notReady(members)
}

// maxAge bounds what a wrong clock of the platform can make of a record's age.
const maxAge = 24 * time.Hour
