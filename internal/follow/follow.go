package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	// readLimit keeps a page of the largest records, in base64, below the
	// platform client's limit of 64 MiB for an answer.
	readLimit   = 128
	pollWait    = 10 * time.Second
	readTimeout = 5 * time.Second
	// maxPatience bounds the time limit of reads at a platform that is slow.
	maxPatience = 2 * time.Minute
	retryPause  = 200 * time.Millisecond
	// farBehind is the number of records from which a whole state is taken in
	// place of the records, if there is one. To fold a publish costs several
	// milliseconds at 8,000 VMs.
	farBehind = 256
)

// Log is the part of the platform that the follower reads and writes.
type Log interface {
	Append(ctx context.Context, s plat.Stream, data []byte) (ident.Offset, error)
	Read(ctx context.Context, s plat.Stream, from ident.Offset, limit int, wait time.Duration) (plat.Page, error)
}

// Follower keeps the folded state up to date. Set its exported fields before Run.
type Follower struct {
	Log    Log
	Clock  clock.Clock
	Logger hclog.Logger
	Links  peer.Transport // nil when this entry has no peers
	Zone   ident.ZoneID   // peers of this zone are asked first
	// ReadTimeout bounds a read of the log beyond the time that it may wait
	// for records, since a connection may go silent. Default 5s. It doubles
	// while reads run into it.
	ReadTimeout time.Duration

	bound    sync.Once
	snapshot atomic.Pointer[fold.State]
	ready    atomic.Bool

	mu        sync.Mutex // owns the fold and everything below
	changed   chan struct{}
	streams   map[plat.Stream]*stream
	halted    error // a record in a later format
	source    string
	recordAge time.Duration // of the newest record, when it was folded
	peers     map[ident.EntryID]peerStatus
	sent      status // last status that went to the peers
	sentAt    time.Time
	export    *export
	incoming  *incoming
	behind    map[plat.Stream]ident.Offset // offset that was missing at the last tick
}

// New returns a follower that holds the empty state.
func New() *Follower {
	f := &Follower{
		ReadTimeout: readTimeout, changed: make(chan struct{}), peers: map[ident.EntryID]peerStatus{}, behind: map[plat.Stream]ident.Offset{},
		streams: map[plat.Stream]*stream{},
	}
	for _, name := range []plat.Stream{plat.ConfigStream, plat.FleetStream} {
		f.streams[name] = &stream{name: name, next: 1}
	}
	f.snapshot.Store(fold.Empty())
	return f
}

// Snapshot returns the present state; it is never nil and must not be changed.
func (f *Follower) Snapshot() *fold.State { return f.snapshot.Load() }

// Changed returns the present state and a channel that is closed when a newer one is there.
func (f *Follower) Changed() (*fold.State, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot.Load(), f.changed
}

// Bind registers the follower's handlers with Links. Call it before the links
// run; Run calls it too.
func (f *Follower) Bind() {
	f.bound.Do(func() {
		if f.Links != nil {
			f.Links.Handle(f.handle)
		}
	})
}

// Run follows the log until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.Bind()
	tick := f.Clock.Every(tickPeriod, f.tick)
	defer tick.Stop()
	g, ctx := errgroup.WithContext(ctx)
	for name := range f.streams {
		g.Go(func() error { return f.read(ctx, name) })
	}
	return g.Wait()
}

// read follows one stream until ctx is done.
func (f *Follower) read(ctx context.Context, name plat.Stream) error {
	failing := false
	patience := f.ReadTimeout
	for ctx.Err() == nil {
		err := f.poll(ctx, name, patience)
		if ctx.Err() != nil {
			break
		}
		f.noteRead(name, err)
		if errors.Is(err, context.DeadlineExceeded) {
			patience = min(2*patience, maxPatience)
		}
		if err == nil {
			patience = f.ReadTimeout
			if failing {
				f.Logger.Info("the log can be read again", "stream", name)
			}
			failing = false
			continue
		}
		if !failing {
			f.Logger.Warn("log read failed; serving from the last snapshot", "stream", name, "error", err)
		}
		failing = true
		_ = clock.Sleep(ctx, f.Clock, retryPause) // the loop checks ctx
	}
	return nil
}

// errBacklog means that a stream is not read further for now.
var errBacklog = errors.New("records wait for the other stream or for a newer program")

func (f *Follower) poll(ctx context.Context, name plat.Stream, patience time.Duration) error {
	from, wait, full := f.cursor(name)
	if full {
		return errBacklog
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	page, err := f.Log.Read(readCtx, name, from, readLimit, wait)
	var trimmed *plat.TrimmedError
	if errors.As(err, &trimmed) {
		if err := f.loadCheckpoint(ctx); err != nil {
			return err
		}
		if next, _, _ := f.cursor(name); next < trimmed.First {
			return trimmed
		}
		return nil
	}
	if err != nil {
		return err
	}
	fresh, _ := f.ingest(name, page.Records, sourcePlatform)
	f.notePage(name, page.Next)
	f.push(name, fresh)
	if from == 1 && page.Next > farBehind {
		if err := f.loadCheckpoint(ctx); err != nil {
			f.Logger.Warn("checkpoint cannot be used; reading every record", "error", err)
		}
	}
	return nil
}

// cursor returns where to read next and how long to wait there.
func (f *Follower) cursor(name plat.Stream) (from ident.Offset, wait time.Duration, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[name]
	if s.reached {
		wait = pollWait
	}
	return s.next, wait, f.halted != nil || s.next-f.offset(name) > maxUnfolded
}
