package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// RolloutResult is the result of [Rollout].
type RolloutResult struct {
	Seed                uint64  `json:"seed"`
	Entries             int     `json:"entries"`
	Publishes           int     `json:"publishes"` // files published, including those that lost a race
	Accepted            int     `json:"accepted"`
	Conflicts           int     `json:"conflicts"`
	RolloutP50Ms        float64 `json:"rollout_p50_ms"` // from the append until the file is in force on every reachable entry, without the round of the outage
	RolloutP99Ms        float64 `json:"rollout_p99_ms"`
	RolloutMaxMs        float64 `json:"rollout_max_ms"`
	ZoneCutP99Ms        float64 `json:"rollout_zone_cut_p99_ms"` // of the rounds above in which one zone could not reach the platform, but could reach its peers
	OutageRecoveryMs    float64 `json:"outage_end_ms"`           // from the end of the outage until the file is in force on every entry
	PartitionRecoveryMs float64 `json:"heal_ms"`                 // from the end of the partition until its zone has caught up
	Reverts             int     `json:"reverts"`                 // times that the version of an entry went down
	Lost                int     `json:"lost"`                    // accepted files that were not in force on every entry, or rounds that accepted none
	Disagreements       int     `json:"disagreements"`           // entries whose state or outcome of a record differs from the first entry's
}

// Bounds compares the result with the goals.
func (r *RolloutResult) Bounds() []Bound {
	ms := func(key string, got, limit float64) Bound {
		return Bound{Key: key, Met: got <= limit, Want: fmt.Sprintf("<= %v", limit), Got: fmt.Sprintf("%.1f", got)}
	}
	zero := func(key string, got int) Bound {
		return Bound{Key: key, Met: got == 0, Want: "= 0", Got: fmt.Sprint(got)}
	}
	return []Bound{
		ms("rollout_p50_ms", r.RolloutP50Ms, 50), ms("rollout_p99_ms", r.RolloutP99Ms, 250),
		zero("reverts", r.Reverts), zero("lost", r.Lost), zero("disagreements", r.Disagreements),
	}
}

const (
	rolloutEntries = 9
	rolloutZones   = 3
	rolloutRounds  = 200
	rolloutVMs     = 50
	outageTime     = 2 * time.Second
	rolloutTimeout = 30 * time.Second // limit for one publish to come in force on every reachable entry
)

// Rounds in which the faults begin and end. The last zone loses its connection to the platform
// first, and then to the other zones as well.
const (
	loseResponsesFrom, loseResponsesTo = 20, 50
	cutFrom, cutTo                     = 60, 120
	partitionFrom, partitionTo         = 90, 110
	outageRound                        = 150
)

// rollout is one run of the measurement.
type rollout struct {
	rng          *rand.Rand
	platform     *fakes.Platform
	url          string      // of the platform
	partitioned  atomic.Bool // isolatedZone cannot reach the other zones
	entries      []*rolloutEntry
	publishers   []*rolloutPublisher
	file         *fleet.File      // in force
	recordIDs    []ident.RecordID // of all records that were appended
	rolloutTimes []float64        // milliseconds
	zoneCutTimes []float64        // milliseconds, of the rounds in which isolatedZone is cut off from the platform only
	result       RolloutResult
}

// rolloutPublisher publishes files under a name of its own.
type rolloutPublisher struct {
	name     string
	log      *cuttableLog
	follower *follow.Follower
}

// Rollout publishes 200 files through a fake platform over HTTP and measures how long
// each takes to come in force on nine entries that are connected by real peer links.
func Rollout(ctx context.Context, seed uint64) (RolloutResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rollout{rng: rand.New(rand.NewPCG(seed, seed)), platform: fakes.NewPlatform(), result: RolloutResult{Seed: seed, Entries: rolloutEntries}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return r.result, err
	}
	srv := &http.Server{Handler: r.platform.Handler(), ReadHeaderTimeout: time.Second}
	r.url = "http://" + l.Addr().String()
	g, runCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	err = r.run(runCtx, g)
	cancel()
	_ = srv.Close()
	return r.result, errors.Join(err, g.Wait())
}

func (r *rollout) run(ctx context.Context, g *errgroup.Group) error {
	if err := r.startEntries(ctx, g); err != nil {
		return err
	}
	for _, name := range []string{"amina", "juan"} {
		p := &rolloutPublisher{name: name, log: r.newLog()}
		f, stop, err := follow.Open(ctx, p.log)
		if err != nil {
			return err
		}
		defer stop()
		p.follower = f
		r.publishers = append(r.publishers, p)
	}
	r.file = rolloutFile()
	for round := range rolloutRounds {
		if err := r.round(ctx, round); err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
	}
	r.finish(ctx)
	return nil
}

// newLog returns a log client with connections of its own.
func (r *rollout) newLog() *cuttableLog {
	return &cuttableLog{Log: &plat.Client{BaseURL: r.url, HTTP: &http.Client{Transport: &http.Transport{}}}}
}

// startEntries starts the entries and waits until they are connected and ready.
func (r *rollout) startEntries(ctx context.Context, g *errgroup.Group) error {
	zone := func(id ident.EntryID) int { return int(id[len(id)-1]-'0') % rolloutZones }
	var listeners []net.Listener
	var seeds []string
	for range rolloutEntries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	for i, l := range listeners {
		id := ident.EntryID(fmt.Sprintf("entry-%d", i))
		zoneID := ident.ZoneID(fmt.Sprintf("zone-%d", zone(id)))
		node := peer.NewNode(id, zoneID, clock.System())
		node.Key, node.Listener, node.Seeds = "0123456789abcdef", l, seeds
		e := &rolloutEntry{follower: follow.New(), log: r.newLog(), zone: zone(id), inForceSince: map[ident.Version]time.Time{}}
		f := e.follower
		f.Log, f.Clock, f.Logger, f.Zone = e.log, clock.System(), hclog.NewNullLogger(), zoneID
		f.Links = &partitionableTransport{Node: node, partitioned: &r.partitioned, zone: zone}
		f.Bind()
		r.entries = append(r.entries, e)
		g.Go(func() error { return node.Run(ctx) })
		g.Go(func() error { return f.Run(ctx) })
		g.Go(func() error { e.watch(ctx); return nil })
	}
	return r.await(ctx, "all entries are connected and ready", func() bool {
		for _, e := range r.entries {
			if len(e.follower.Links.View().Members) < rolloutEntries || !e.follower.Ready() {
				return false
			}
		}
		return true
	})
}

// await polls until done returns true; condition describes it in the error.
func (r *rollout) await(ctx context.Context, condition string, done func() bool) error {
	for end := time.Now().Add(rolloutTimeout); !done(); {
		if time.Now().After(end) {
			return fmt.Errorf("timed out after %v while waiting until %s", rolloutTimeout, condition)
		}
		if err := clock.Sleep(ctx, clock.System(), time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// round publishes one file, or two that race, and waits until the winner is in force on every reachable entry.
func (r *rollout) round(ctx context.Context, round int) error {
	if err := r.setFaults(ctx, round); err != nil {
		return err
	}
	racing := r.rng.IntN(4) == 0
	files := []*fleet.File{r.changedFile(0)}
	if racing {
		files = append(files, r.changedFile(1))
	}
	outageEnd := make(chan time.Time, 1)
	if round == outageRound {
		r.platform.SetFaults(fakes.Faults{Outage: true})
		clock.System().AfterFunc(outageTime, func() {
			r.platform.SetFaults(fakes.Faults{})
			outageEnd <- time.Now()
		})
	}
	winner, start, err := r.publish(ctx, files)
	if err != nil {
		return err
	}
	version := files[0].Base + 1
	if winner == nil {
		r.result.Lost++
		return nil
	}
	r.file = winner
	end, err := r.awaitInForce(ctx, version)
	if err != nil {
		r.result.Lost++
		return nil //nolint:nilerr // counted; the bound on lost files reports it
	}
	if round == outageRound {
		r.result.OutageRecoveryMs = milliseconds(end.Sub(<-outageEnd))
	} else {
		ms := milliseconds(end.Sub(start))
		r.rolloutTimes = append(r.rolloutTimes, ms)
		if round >= cutFrom && round < cutTo && !r.partitioned.Load() {
			r.zoneCutTimes = append(r.zoneCutTimes, ms)
		}
	}
	return clock.Sleep(ctx, clock.System(), time.Duration(r.rng.IntN(20))*time.Millisecond)
}

// setFaults begins and ends the faults that are due at the start of a round.
func (r *rollout) setFaults(ctx context.Context, round int) error {
	switch round {
	case loseResponsesFrom:
		r.platform.SetFaults(fakes.Faults{LoseResponses: true})
	case loseResponsesTo:
		r.platform.SetFaults(fakes.Faults{})
	case cutFrom, cutTo:
		for _, e := range r.entries {
			if e.zone == isolatedZone {
				e.log.cut.Store(round == cutFrom)
			}
		}
	case partitionFrom:
		r.partitioned.Store(true)
	case partitionTo:
		r.partitioned.Store(false)
		start := time.Now()
		if _, err := r.awaitInForce(ctx, r.publishers[0].follower.Snapshot().Version); err != nil {
			return err
		}
		r.result.PartitionRecoveryMs = milliseconds(time.Since(start))
	}
	return nil
}

// changedFile returns a file made from the version in force with one VM changed.
// Different publishers change different VMs.
func (r *rollout) changedFile(publisher int) *fleet.File {
	f := *r.file
	f.Base = r.publishers[0].follower.Snapshot().Version
	f.VMs = slices.Clone(f.VMs)
	vm := &f.VMs[r.rng.IntN(len(f.VMs)/2)*2+publisher]
	vm.Slots = vm.Slots%32 + 1
	return &f
}

// publish publishes the files at the same time. It returns the one that was
// accepted, or nil, and the time at which its append began.
func (r *rollout) publish(ctx context.Context, files []*fleet.File) (*fleet.File, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	base := files[0].Base
	for _, p := range r.publishers {
		if err := r.await(ctx, "the publishers have read the last version", func() bool { return p.follower.Snapshot().Version == base }); err != nil {
			return nil, time.Time{}, err
		}
		p.log.firstAppend.Store(0)
	}
	outcomes := make([]fold.Outcome, len(files))
	var g errgroup.Group
	for i, f := range files {
		id, err := follow.PublishID(f)
		if err != nil {
			return nil, time.Time{}, err
		}
		r.recordIDs = append(r.recordIDs, id)
		g.Go(func() (err error) {
			outcomes[i], err = r.publishers[i].follower.Publish(ctx, r.publishers[i].name, f)
			return err
		})
	}
	r.appendRacingRecords(ctx, &g)
	r.result.Publishes += len(files)
	err := g.Wait()
	var winner *fleet.File
	var start time.Time
	for i, o := range outcomes {
		switch o.Result {
		case fold.Accepted:
			r.result.Accepted++
			winner, start = files[i], time.Unix(0, r.publishers[i].log.firstAppend.Load())
		case fold.Conflict:
			r.result.Conflicts++
		}
	}
	return winner, start, err
}

// appendRacingRecords lets two entries append a record for the same VM at the same time, so
// that fleet records race with each other and with the publishes.
func (r *rollout) appendRacingRecords(ctx context.Context, g *errgroup.Group) {
	id := ident.VMID(fmt.Sprintf("vm-%02d", r.rng.IntN(rolloutVMs/5)))
	for i := range 2 {
		f := r.entries[i].follower // neither entry is in isolatedZone
		h := fold.Header{ID: ident.RecordID(fmt.Sprintf("step-%d", len(r.recordIDs))), Writer: "bench", ConfigRead: f.Snapshot().ConfigOffset}
		record := nextRecord(f.Snapshot(), id, h)
		if record == nil {
			continue
		}
		r.recordIDs = append(r.recordIDs, h.ID)
		g.Go(func() error {
			_, err := f.Append(ctx, record)
			return err
		})
	}
}

// awaitInForce waits until a version is in force on every reachable entry and returns the time at which it was.
func (r *rollout) awaitInForce(ctx context.Context, v ident.Version) (time.Time, error) {
	var last time.Time
	err := r.await(ctx, fmt.Sprintf("version %d is in force", v), func() bool {
		last = time.Time{}
		for _, e := range r.entries {
			if r.partitioned.Load() && e.zone == isolatedZone {
				continue
			}
			at, ok := e.inForceAt(v)
			if !ok {
				return false
			}
			if at.After(last) {
				last = at
			}
		}
		return true
	})
	return last, err
}

// finish compares the entries with each other and fills in the result.
func (r *rollout) finish(ctx context.Context) {
	version := ident.Version(r.result.Accepted)
	if _, err := r.awaitInForce(ctx, version); err != nil {
		r.result.Lost++
	}
	for v := ident.Version(1); v <= version; v++ {
		for _, e := range r.entries {
			if _, ok := e.inForceAt(v); !ok {
				r.result.Lost++
				break
			}
		}
	}
	if err := r.await(ctx, "all entries have read the same records", r.haveSameOffsets); err != nil {
		r.result.Lost++
	}
	first := r.entries[0].follower.Snapshot()
	want, _ := first.Checkpoint() // an encoding error counts as a disagreement
	for _, e := range r.entries {
		e.mu.Lock()
		r.result.Reverts += e.reverts
		e.mu.Unlock()
		s := e.follower.Snapshot()
		got, err := s.Checkpoint()
		agrees := err == nil && bytes.Equal(got, want) && s.Version == version
		for _, id := range r.recordIDs {
			a, okA := first.Outcome(id)
			b, okB := s.Outcome(id)
			agrees = agrees && a == b && okA == okB
		}
		if !agrees {
			r.result.Disagreements++
		}
	}
	r.result.RolloutP50Ms, r.result.RolloutP99Ms = quantile(r.rolloutTimes, 0.5), quantile(r.rolloutTimes, 0.99)
	r.result.RolloutMaxMs, r.result.ZoneCutP99Ms = quantile(r.rolloutTimes, 1), quantile(r.zoneCutTimes, 0.99)
}

// haveSameOffsets reports whether all entries have applied the logs up to the same offsets.
func (r *rollout) haveSameOffsets() bool {
	first := r.entries[0].follower.Snapshot()
	for _, e := range r.entries {
		s := e.follower.Snapshot()
		if s.ConfigOffset != first.ConfigOffset || s.FleetOffset != first.FleetOffset {
			return false
		}
	}
	return true
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns the smallest value that a share q of the values does not exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
