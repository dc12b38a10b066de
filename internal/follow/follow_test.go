package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const waitLimit = 20 * time.Second

// cutLog is a Log that fails while cut is set.
type cutLog struct {
	Log
	cut atomic.Bool
}

var errDisconnected = errors.New("no route")

func (g *cutLog) Append(ctx context.Context, s plat.Stream, data []byte) (ident.Offset, error) {
	if g.cut.Load() {
		return 0, errDisconnected
	}
	return g.Log.Append(ctx, s, data)
}

func (g *cutLog) Read(ctx context.Context, s plat.Stream, from ident.Offset, limit int, wait time.Duration) (plat.Page, error) {
	if g.cut.Load() {
		return plat.Page{}, errDisconnected
	}
	return g.Log.Read(ctx, s, from, limit, wait)
}

// cluster is a fake platform with followers that are connected to it and to each other.
type cluster struct {
	t            *testing.T
	platform     *fakes.Platform
	url          string
	network      *peer.MemNetwork
	version      ident.Version
	loseMessages bool
	extraVMs     int // number of VMs in the published file besides vm-1
}

func newCluster(t *testing.T) *cluster {
	s := &cluster{t: t, platform: fakes.NewPlatform(), network: peer.NewMemNetwork()}
	srv := httptest.NewServer(s.platform.Handler())
	t.Cleanup(srv.Close)
	s.url = srv.URL
	return s
}

func (s *cluster) start(id ident.EntryID, cut bool) (*Follower, *cutLog) {
	f := New()
	g := &cutLog{Log: &plat.Client{BaseURL: s.url}}
	g.cut.Store(cut)
	links := s.network.Join(id, "a")
	f.Log, f.Clock, f.Logger, f.Links, f.Zone = g, clock.System(), hclog.NewNullLogger(), links, "a"
	if s.loseMessages {
		f.Links = &lossyTransport{Transport: links}
	}
	f.Bind()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { links.Run(ctx.Done()); done <- struct{}{} }()
	go func() { _ = f.Run(ctx); done <- struct{}{} }()
	s.t.Cleanup(func() { cancel(); <-done; <-done })
	return f, g
}

// lossyTransport drops one message in three.
type lossyTransport struct {
	peer.Transport
	sent atomic.Int64
}

func (l *lossyTransport) Send(to ident.EntryID, m wire.Message) error {
	if l.sent.Add(1)%3 == 0 {
		return nil
	}
	return l.Transport.Send(to, m)
}

// Guards against a state transfer or log entries that stay incomplete when
// messages between peers are lost.
func TestLostPeerMessages(t *testing.T) {
	s := newCluster(t)
	s.loseMessages, s.extraVMs = true, 4000
	a, _ := s.start("a", false)
	for range 4 {
		s.publish(a)
	}
	a.mu.Lock() // as if the first log entries had been trimmed from the cache, so that b needs the whole state
	a.streams[plat.ConfigStream].cached = nil
	a.mu.Unlock()
	b, _ := s.start("b", true)
	s.awaitVersion(b)
	if x, err := a.encodedState(); err != nil || len(x.chunks) < 3 {
		t.Fatalf("state in %d chunks, %v; want at least 3", len(x.chunks), err)
	}
	for range 20 {
		s.publish(a)
	}
	s.awaitVersion(b)
	sameState(t, a, b)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// publish publishes the next version through f and returns once it is in force there.
func (s *cluster) publish(f *Follower) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	file := &fleet.File{Name: "kigali", Base: s.version, SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}}
	file.VMs = []fleet.VM{{ID: "vm-1", Zone: "a", Rack: "r", Pool: "spare", Slots: ident.Slots(s.version%8 + 1), Connections: 64}}
	for i := range s.extraVMs {
		file.VMs = append(file.VMs, fleet.VM{ID: ident.VMID(fmt.Sprint("more-", i)), Zone: "a", Rack: "r", Pool: "spare", Slots: 8, Connections: 64})
	}
	outcome, err := f.Publish(ctx, "amina", file)
	if err != nil || outcome.Result != fold.Accepted {
		s.t.Fatalf("Publish = %+v, %v", outcome, err)
	}
	s.version++
}

func (s *cluster) append(stream plat.Stream, data []byte) {
	s.t.Helper()
	c := plat.Client{BaseURL: s.url}
	if _, err := c.Append(context.Background(), stream, data); err != nil {
		s.t.Fatal(err)
	}
}

func (s *cluster) awaitVersion(f *Follower) {
	s.t.Helper()
	eventually(s.t, fmt.Sprint("version ", s.version), func() bool { return f.Ready() && f.Snapshot().Version == s.version })
}

func sameState(t *testing.T, a, b *Follower) {
	t.Helper()
	x, errX := a.Snapshot().Checkpoint()
	y, errY := b.Snapshot().Checkpoint()
	if errX != nil || errY != nil || !bytes.Equal(x, y) {
		t.Errorf("states differ: %v %v", errX, errY)
	}
}

// Guards against entries that fall behind when only one of them can reach the
// platform, and against log entries that stay missing because messages were
// lost on a cut link.
func TestOneEntryReachesPlatform(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	b, _ := s.start("b", true)
	c, logC := s.start("c", true)
	s.publish(a)
	s.awaitVersion(b)
	s.awaitVersion(c)
	s.network.SetBlocked("a", "c", true) // c can still reach b, which gets the records from a
	s.publish(a)
	s.publish(a)
	s.awaitVersion(b)
	s.awaitVersion(c)
	eventually(t, "a's report shows version 3 on b", func() bool {
		r := a.Report()
		return len(r.Peers) == 2 && r.Peers[0].Entry == "b" && r.Peers[0].Version == 3 && !r.Peers[0].Platform
	})
	logC.cut.Store(false)
	eventually(t, "c reads the log itself", func() bool { return c.Report().Self.Platform })
	sameState(t, a, b)
	sameState(t, a, c)
}

// Guards against an entry that becomes ready without a state, and against one
// that cannot start from the state of a peer during an outage of the platform.
func TestStartFromPeerDuringOutage(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	for range 3 {
		s.publish(a)
	}
	s.awaitVersion(a) // a publish may return before the fleet stream has been read
	s.platform.SetFaults(fakes.Faults{Outage: true, TrimBefore: 3})
	alone := New()
	alone.Log, alone.Clock, alone.Logger = &plat.Client{BaseURL: s.url}, clock.System(), hclog.NewNullLogger()
	if err := alone.poll(context.Background(), plat.ConfigStream, time.Second); err == nil || alone.Ready() {
		t.Errorf("poll = %v, Ready = %v without a platform and peers", err, alone.Ready())
	}
	a.mu.Lock() // as if the first log entries had been trimmed from the cache, so that b needs the whole state
	a.streams[plat.ConfigStream].cached = a.streams[plat.ConfigStream].cached[2:]
	a.mu.Unlock()
	b, _ := s.start("b", false)
	s.awaitVersion(b)
	if src := b.Report().Source; src != "state of peer a" {
		t.Errorf("source = %q, want the state of peer a", src)
	}
	sameState(t, a, b)
	s.platform.SetFaults(fakes.Faults{})
	s.publish(b)
	s.awaitVersion(a)
}

// Guards against an entry that has read both streams to their ends but does not
// become ready, because the next read fails before its readiness is checked.
func TestReadyOnceBothEndsAreRead(t *testing.T) {
	f := New()
	f.recordPage(plat.ConfigStream, 1)
	f.recordReadResult(plat.ConfigStream, nil)
	f.recordPage(plat.FleetStream, 1)
	f.recordReadResult(plat.ConfigStream, errDisconnected)
	if reason := f.NotReadyReason(); reason != "" {
		t.Errorf("NotReadyReason = %q after both ends were read", reason)
	}
}

// Guards against an entry that cannot start once old records have been trimmed,
// also if it has read one of the streams further than the checkpoint.
func TestStartFromCheckpoint(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	s.publish(a)
	for i := range 3 {
		a.mustAppend(t, fold.TakePlanner{Header: fold.Header{ID: ident.RecordID(fmt.Sprint("t", i)), ConfigRead: 1}, Term: ident.Term(i + 1), Holder: "a"})
	}
	if err := a.AppendCheckpoint(context.Background(), "a", time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	s.publish(a)
	s.platform.SetFaults(fakes.Faults{TrimBefore: 2}) // the first record of each stream
	s.network = peer.NewMemNetwork()
	b, _ := s.start("b", false)
	s.awaitVersion(b)
	eventually(t, "both have read the same", func() bool { return a.Snapshot().FleetOffset == b.Snapshot().FleetOffset })
	sameState(t, a, b)
	if got := b.Snapshot().Planner.Term; got != 3 {
		t.Errorf("planner term = %d, want 3", got)
	}
}

// Guards against a start that applies every record of a long log although the
// state is available from a peer or a checkpoint.
func TestLongLogIsNotReplayed(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	for range 2 * replayLimit {
		s.publish(a)
	}
	replayed := func(f *Follower) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		kept := f.streams[plat.ConfigStream].cached
		return len(kept) > 0 && kept[0].Offset <= replayLimit
	}
	b, _ := s.start("b", true)
	s.awaitVersion(b)
	if replayed(b) {
		t.Error("b applied the records received from a, want it to adopt the state of a")
	}
	if err := a.AppendCheckpoint(context.Background(), "a", time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	s.publish(a)
	s.network = peer.NewMemNetwork()
	c, _ := s.start("c", false)
	s.awaitVersion(c)
	if replayed(c) {
		t.Error("c applied all records, want it to adopt the checkpoint")
	}
	eventually(t, "both have read the same", func() bool { return a.Snapshot().FleetOffset == c.Snapshot().FleetOffset })
	sameState(t, a, c)
}

// Guards against an entry that never catches up because the platform responds
// more slowly than the timeout of a read.
func TestSlowPlatform(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	s.publish(a)
	s.platform.SetFaults(fakes.Faults{DelayMillis: 300})
	f := New()
	f.Log, f.Clock, f.Logger, f.ReadTimeout = &plat.Client{BaseURL: s.url}, clock.System(), hclog.NewNullLogger(), 50*time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	s.awaitVersion(f)
}

func (f *Follower) mustAppend(t *testing.T, r fold.Record) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if outcome, err := f.Append(ctx, r); err != nil || outcome.Result != fold.Accepted {
		t.Fatalf("Append = %+v, %v", outcome, err)
	}
}

// Guards against a checkpoint that is not used because the reader has read the
// config stream further than the checkpoint.
func TestCheckpointBehindConfigStream(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	s.publish(a)
	a.mustAppend(t, fold.TakePlanner{Header: fold.Header{ID: "t", ConfigRead: 1}, Term: 1, Holder: "a"})
	if err := a.AppendCheckpoint(context.Background(), "a", time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	s.publish(a)
	b := New()
	b.Log, b.Clock, b.Logger = &plat.Client{BaseURL: s.url}, clock.System(), hclog.NewNullLogger()
	if err := b.poll(context.Background(), plat.ConfigStream, time.Second); err != nil {
		t.Fatal(err)
	}
	if err := b.loadCheckpoint(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := b.Snapshot(); got.Version != 2 || got.Planner.Term != 1 {
		t.Errorf("version %d, term %d; want 2 and 1", got.Version, got.Planner.Term)
	}
}

// Guards against an append whose response is lost and that takes effect twice or
// is reported as failed, and against an append during an outage that is
// reported with an outcome.
func TestAppendUnderFaults(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	s.platform.SetFaults(fakes.Faults{LoseResponses: true})
	s.publish(a)
	s.platform.SetFaults(fakes.Faults{Outage: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r := fold.TakePlanner{Header: fold.Header{ID: "t", ConfigRead: 1}, Term: 1, Holder: "a"}
	if _, err := a.Append(ctx, r); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("Append during an outage = %v, want ErrUnknownOutcome", err)
	}
	s.platform.SetFaults(fakes.Faults{})
	a.mustAppend(t, r)
	if got := a.Snapshot(); got.Version != 1 || got.Planner.Term != 1 {
		t.Errorf("version %d, term %d; want 1 and 1", got.Version, got.Planner.Term)
	}
}

// Guards against applying a record of a later version as if it were understood.
func TestLaterFormatEndsReadiness(t *testing.T) {
	s := newCluster(t)
	a, _ := s.start("a", false)
	s.publish(a)
	s.append(plat.ConfigStream, []byte("no record"))
	s.publish(a)
	later, err := wire.Encode(fold.TakePlanner{Header: fold.Header{ID: "x", ConfigRead: 1, Format: 99}})
	if err != nil {
		t.Fatal(err)
	}
	s.awaitVersion(a) // otherwise, a could be not ready for another reason
	s.append(plat.FleetStream, later)
	eventually(t, "the entry is not ready", func() bool { return !a.Ready() })
	if reason := a.NotReadyReason(); !strings.Contains(reason, "later format") {
		t.Errorf("reason = %q, want the later format", reason)
	}
	if got := a.Snapshot().Version; got != 2 {
		t.Errorf("version = %d, want 2 to stay in force", got)
	}
}
