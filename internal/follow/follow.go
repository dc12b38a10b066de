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
	// maxPageRecords keeps a page of records of the maximum size, in base64,
	// below the platform client's limit of 64 MiB for a response.
	maxPageRecords     = 128
	pollWait           = 10 * time.Second // how long a read at the end of a stream waits for records
	defaultReadTimeout = 5 * time.Second
	// maxTimeout bounds the timeout of one request, which doubles while the
	// platform is slow.
	maxTimeout = 2 * time.Minute
	retryDelay = 200 * time.Millisecond
	// replayLimit is the number of missing records above which the follower
	// takes a whole state from a peer or a checkpoint instead, if there is one.
	// Applying a publish takes several milliseconds at 8,000 VMs.
	replayLimit = 256
)

// Log is the platform's log service.
type Log interface {
	Append(ctx context.Context, s plat.Stream, data []byte) (ident.Offset, error)
	Read(ctx context.Context, s plat.Stream, from ident.Offset, limit int, wait time.Duration) (plat.Page, error)
}

// Follower keeps the fleet state up to date. Set its exported fields before Run.
type Follower struct {
	Log    Log
	Clock  clock.Clock
	Logger hclog.Logger
	Links  peer.Transport // nil if this entry has no peers
	Zone   ident.ZoneID   // peers in this zone are preferred
	// ReadTimeout is the timeout of a read of the log, in addition to the time
	// that the read waits for records; a connection may stop responding without
	// an error. The default is 5s. The timeout in use doubles after each read
	// that exceeds it.
	ReadTimeout time.Duration

	bindOnce sync.Once
	snapshot atomic.Pointer[fold.State]
	ready    atomic.Bool // stays set; see notReady

	mu           sync.Mutex // guards changes of snapshot, and the fields below
	changed      chan struct{}
	streams      map[plat.Stream]*stream
	haltErr      error         // set by a record or checkpoint in a later format
	source       string        // where the newest record came from
	lag          time.Duration // age of the newest record when it was applied
	peers        map[ident.EntryID]peerStatus
	lastStatus   statusMessage // sent to the peers last
	lastStatusAt time.Time
	encoded      *encodedState
	transfer     *stateTransfer
	missing      map[plat.Stream]ident.Offset // per stream: next offset at the last tick, if a peer had it; else 0
}

// New returns a follower that holds the empty state.
func New() *Follower {
	f := &Follower{
		ReadTimeout: defaultReadTimeout, changed: make(chan struct{}), peers: map[ident.EntryID]peerStatus{}, missing: map[plat.Stream]ident.Offset{},
		streams: map[plat.Stream]*stream{},
	}
	for _, name := range []plat.Stream{plat.ConfigStream, plat.FleetStream} {
		f.streams[name] = &stream{name: name, next: 1}
	}
	f.snapshot.Store(fold.Empty())
	return f
}

// Snapshot returns the current state. It is never nil and must not be changed.
func (f *Follower) Snapshot() *fold.State { return f.snapshot.Load() }

// Changed returns the current state and a channel that is closed when a newer state replaces it.
func (f *Follower) Changed() (*fold.State, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot.Load(), f.changed
}

// Bind registers the follower's message handler with Links. Call it before
// Links runs. Run also calls it.
func (f *Follower) Bind() {
	f.bindOnce.Do(func() {
		if f.Links != nil {
			f.Links.Handle(f.handleMessage)
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
		g.Go(func() error { return f.readLoop(ctx, name) })
	}
	return g.Wait()
}

// readLoop reads one stream until ctx is done.
func (f *Follower) readLoop(ctx context.Context, name plat.Stream) error {
	failing := false
	timeout := f.ReadTimeout
	for ctx.Err() == nil {
		err := f.poll(ctx, name, timeout)
		if ctx.Err() != nil {
			break
		}
		f.recordReadResult(name, err)
		if errors.Is(err, context.DeadlineExceeded) {
			timeout = min(2*timeout, maxTimeout)
		}
		if err == nil {
			timeout = f.ReadTimeout
			if failing {
				f.Logger.Info("log reads succeed again", "stream", name)
			}
			failing = false
			continue
		}
		if !failing {
			f.Logger.Warn("log read failed; using the last snapshot", "stream", name, "error", err)
		}
		failing = true
		_ = clock.Sleep(ctx, f.Clock, retryDelay) // the loop checks ctx
	}
	return nil
}

// errBacklog means that a stream is not read further for now: the follower has
// halted, or too many log entries wait for the other stream.
var errBacklog = errors.New("records wait for the other stream or for a newer program")

// poll reads one page of a stream. If the records at the read position have
// been trimmed, it restores the state from a checkpoint instead.
func (f *Follower) poll(ctx context.Context, name plat.Stream, timeout time.Duration) error {
	from, wait, blocked := f.cursor(name)
	if blocked {
		return errBacklog
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	page, err := f.Log.Read(readCtx, name, from, maxPageRecords, wait)
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
	added, _ := f.ingest(name, page.Records, sourcePlatform)
	f.recordPage(name, page.Next)
	f.broadcast(name, added)
	if from == 1 && page.Next > replayLimit {
		if err := f.loadCheckpoint(ctx); err != nil {
			f.Logger.Warn("cannot use a checkpoint; reading every record", "error", err)
		}
	}
	return nil
}

// cursor returns the offset to read next, how long the read may wait for
// records, and whether reading is blocked (see errBacklog).
func (f *Follower) cursor(name plat.Stream) (from ident.Offset, wait time.Duration, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[name]
	if s.reachedEnd {
		wait = pollWait
	}
	return s.next, wait, f.haltErr != nil || s.next-f.appliedOffset(name) > maxUnapplied
}
