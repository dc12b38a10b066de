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
	// Limits of the cached log entries of a stream. A peer that lacks older ones
	// receives the whole state instead.
	maxCachedEntries = 4096
	maxCachedBytes   = 4 * ident.MiB
	maxUnapplied     = 8192 // log entries that have been read but wait for the other stream
)

const sourcePlatform = "platform"

// platformState tells whether the last read of a stream from the platform succeeded.
type platformState int

const (
	notRead platformState = iota
	reachable
	unreachable
)

// stream holds the read position of one stream and a cache of the log entries before it.
type stream struct {
	name         plat.Stream
	next         ident.Offset // offset to read next
	cached       []plat.Entry // contiguous, the last one at next-1
	cachedBytes  ident.Bytes
	reachedEnd   bool // the end of the stream was reached once
	platform     platformState
	platformNext ident.Offset // end of the stream on the platform at the last read
}

func (s *stream) add(e plat.Entry) {
	s.cached = append(s.cached, e)
	s.cachedBytes += ident.Bytes(len(e.Data))
	s.next++
}

// trim deletes applied log entries beyond the limits of the cache. It does nothing
// until a limit is exceeded by a quarter, so that it does not copy the slice for
// every new log entry.
func (s *stream) trim(applied ident.Offset) {
	if len(s.cached) <= maxCachedEntries*5/4 && s.cachedBytes <= maxCachedBytes*5/4 {
		return
	}
	n := 0
	for n < len(s.cached) && s.cached[n].Offset <= applied && (len(s.cached)-n > maxCachedEntries || s.cachedBytes > maxCachedBytes) {
		s.cachedBytes -= ident.Bytes(len(s.cached[n].Data))
		n++
	}
	if n > 0 {
		s.cached = slices.Clone(s.cached[n:])
	}
}

// entriesFrom returns the cached log entries from an offset on, or false if some of
// them are no longer cached.
func (s *stream) entriesFrom(offset ident.Offset) ([]plat.Entry, bool) {
	first := s.next - ident.Offset(len(s.cached))
	if offset < first {
		return nil, false
	}
	if offset >= s.next {
		return nil, true
	}
	return s.cached[offset-first:], true
}

// appliedOffset returns the offset of the last applied record of a stream. The
// caller holds f.mu.
func (f *Follower) appliedOffset(name plat.Stream) ident.Offset {
	return offsetOf(f.snapshot.Load(), name)
}

func offsetOf(s *fold.State, name plat.Stream) ident.Offset {
	if name == plat.ConfigStream {
		return s.ConfigOffset
	}
	return s.FleetOffset
}

// ingest adds the log entries that come next in a stream, and ignores those that
// it has already. It returns the added entries, and whether it stopped at a gap
// before the others.
func (f *Follower) ingest(name plat.Stream, entries []plat.Entry, source string) (added []plat.Entry, gap bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.haltErr != nil {
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
			added = append(added, e)
		}
	}
	if len(added) > 0 {
		f.source = source
		f.advance()
	}
	return added, gap
}

// advance applies all cached log entries that can be applied and sets the new
// snapshot. The caller holds f.mu.
func (f *Follower) advance() {
	s := f.snapshot.Load()
	for f.haltErr == nil {
		next := f.advanceStream(s, plat.ConfigStream)
		next = f.advanceStream(next, plat.FleetStream)
		if next == s {
			break
		}
		s = next
	}
	f.setSnapshot(s)
	for _, st := range f.streams {
		st.trim(f.appliedOffset(st.name))
	}
}

// setSnapshot replaces the snapshot and notifies waiters. The caller holds f.mu.
func (f *Follower) setSnapshot(s *fold.State) {
	if s == f.snapshot.Load() {
		return
	}
	f.snapshot.Store(s)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) advanceStream(s *fold.State, name plat.Stream) *fold.State {
	entries, _ := f.streams[name].entriesFrom(offsetOf(s, name) + 1)
	for _, e := range entries {
		r, err := fold.Decode(e.Data, name == plat.ConfigStream)
		var later *fold.LaterFormatError
		switch {
		case errors.As(err, &later):
			f.haltErr = err
			f.Logger.Error("the log contains a record in a later format; keeping the last state", "stream", name, "offset", e.Offset, "error", err)
			return s
		case err != nil:
			f.Logger.Warn("skipped an invalid log entry", "stream", name, "offset", e.Offset, "error", err)
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
	f.lag = max(0, f.Clock.Now().Sub(e.Time))
	f.Logger.Debug("record applied", "offset", e.Offset, "id", fold.IDOf(r), "result", outcome.Result, "reason", outcome.Reason)
	return next
}

// adopt replaces the state by one from a peer or a checkpoint, if that one is newer.
func (f *Follower) adopt(s *fold.State, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.haltErr != nil || !s.Newer(f.snapshot.Load()) {
		return
	}
	for _, st := range f.streams {
		if at := offsetOf(s, st.name); st.next <= at {
			st.next, st.cached, st.cachedBytes = at+1, nil, 0
		}
	}
	f.source = source
	f.setSnapshot(s)
	f.advance()
	f.Logger.Info("adopted a newer state", "source", source, "config_offset", s.ConfigOffset, "fleet_offset", s.FleetOffset)
}

func (f *Follower) recordReadResult(name plat.Stream, err error) {
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

// recordPage records the result of a successful read; end is the end of the
// stream on the platform. Readiness is decided while the mutex is still held:
// otherwise, a failing read of the other stream could come first and keep the
// follower from becoming ready.
func (f *Follower) recordPage(name plat.Stream, end ident.Offset) {
	members := f.peersUp()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[name]
	s.platformNext = end
	s.platform = reachable
	if s.next >= end {
		s.reachedEnd = true
	}
	f.notReady(members)
}

// maxLag limits the reported lag, which a wrong clock of the platform can make very large.
const maxLag = 24 * time.Hour
