package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	slotsPerTarget = 8
	slotZones      = 3
	slotEntries    = 9
	slotPools      = 5
	slotTargets    = 10                      // of each pool
	zoneLatency    = 1500 * time.Microsecond // of messages between zones
)

// slotFleet is the fleet of one run: targets, and entries that send requests to them with or without permits.
type slotFleet struct {
	state     *fold.State
	pools     []*slotPool
	targets   map[ident.VMID]*slotTarget
	byAddress map[string]*slotTarget // targets by address
	entries   []*slotEntry
}

// slotEntry simulates one entry process.
type slotEntry struct {
	id      ident.EntryID
	zone    ident.ZoneID
	permits broker.Permits
	kill    func()        // ends the entry without a shutdown
	killed  chan struct{} // closed by kill
	dead    atomic.Bool   // set by kill
}

// newSlotFleet returns a fleet with targets, but without entries.
func newSlotFleet() (*slotFleet, error) {
	f := &slotFleet{targets: map[ident.VMID]*slotTarget{}, byAddress: map[string]*slotTarget{}}
	file := &fleet.File{Name: "bench", SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}}
	for i := range slotPools {
		p := &slotPool{id: ident.PoolID(fmt.Sprintf("pool-%d", i)), since: time.Now()}
		f.pools = append(f.pools, p)
		file.Pools = append(file.Pools, fleet.Pool{ID: p.id, Owed: slotTargets, Routes: []string{"/" + string(p.id)}})
		for j := range slotTargets {
			t := &slotTarget{
				id: ident.VMID(fmt.Sprintf("t-%d-%02d", i, j)), address: fmt.Sprintf("10.0.%d.%d:8080", i, j+1), zone: slotZone(i + j), pool: p, mode: modeHealthy,
				runs: map[ident.RequestID]int{}, unresponsiveEnd: make(chan struct{}),
			}
			p.targets = append(p.targets, t)
			p.healthy += slotsPerTarget
			f.targets[t.id], f.byAddress[t.address] = t, t
			file.VMs = append(file.VMs, fleet.VM{
				ID: t.id, Zone: t.zone, Rack: ident.RackID(fmt.Sprintf("r-%d-%d", i, j)), Address: t.address, Pool: p.id,
				Slots: slotsPerTarget, Connections: 64, Processors: 16,
			})
		}
	}
	state, outcome := fold.Empty().Apply(fold.Publish{Header: fold.Header{ID: "bench", Writer: "bench", Time: time.Now()}, File: file})
	if outcome.Result != fold.Accepted {
		return nil, fmt.Errorf("apply the fleet file: %s: %s", outcome.Result, outcome.Reason)
	}
	f.state = state
	return f, nil
}

func slotZone(i int) ident.ZoneID { return ident.ZoneID(fmt.Sprintf("zone-%d", i%slotZones)) }

// fixedState provides snapshots of a state that does not change.
type fixedState struct{ state *fold.State }

func (s fixedState) Snapshot() *fold.State { return s.state }

// Changed returns a nil channel, because the state never changes.
func (s fixedState) Changed() (*fold.State, <-chan struct{}) { return s.state, nil }

// slotProber implements broker.Prober for the targets of a fleet.
type slotProber struct{ f *slotFleet }

// Running returns the number of requests that the target runs.
func (p slotProber) Running(ctx context.Context, address string) (int, error) {
	return p.f.byAddress[address].probe(ctx)
}

// Healthy returns an error if the target does not respond before ctx is done.
func (p slotProber) Healthy(ctx context.Context, address string) error {
	_, err := p.f.byAddress[address].probe(ctx)
	return err
}

// startBrokers adds entries that acquire permits from brokers; they stop when ctx is done.
func (f *slotFleet) startBrokers(ctx context.Context) {
	mesh := peer.NewMemNetwork()
	links := map[ident.EntryID]*peer.MemTransport{}
	zones := map[ident.EntryID]ident.ZoneID{}
	for i := range slotEntries {
		id := ident.EntryID(fmt.Sprintf("entry-%d", i))
		zones[id] = slotZone(i)
		links[id] = mesh.Join(id, zones[id])
	}
	mesh.SetLatency(zoneLatency, zones, ctx.Done())
	for i := range slotEntries {
		id := ident.EntryID(fmt.Sprintf("entry-%d", i))
		e := &slotEntry{id: id, zone: zones[id], killed: make(chan struct{})}
		s := &broker.Service{
			Links: links[id], State: fixedState{f.state}, Clock: clock.System(), Prober: slotProber{f},
			Zone: e.zone, Logger: hclog.NewNullLogger(),
		}
		s.Bind()
		e.permits = s
		running, stop := context.WithCancel(ctx)
		go links[id].Run(running.Done())
		go func() { _ = s.Run(running) }()
		e.kill = func() {
			e.dead.Store(true)
			close(e.killed)
			stop()
			f.reportDead(links, e)
		}
		f.entries = append(f.entries, e)
	}
}

// reportDead reports the killed entry as gone to the other entries, one after the other, as if
// each had found that its connections are refused.
func (f *slotFleet) reportDead(links map[ident.EntryID]*peer.MemTransport, dead *slotEntry) {
	for id, l := range links {
		if id != dead.id {
			time.Sleep(10 * time.Millisecond)
			l.SetState(peer.Member{ID: dead.id, Zone: dead.zone, State: peer.Gone})
		}
	}
}

// startBaseline adds entries without permits, which use twoChoices.
func (f *slotFleet) startBaseline(seed uint64) {
	for i := range slotEntries {
		e := &slotEntry{id: ident.EntryID(fmt.Sprintf("entry-%d", i)), zone: slotZone(i), killed: make(chan struct{})}
		e.permits = &twoChoices{fleet: f, used: map[ident.VMID]int{}, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		e.kill = func() {
			e.dead.Store(true)
			close(e.killed)
		}
		f.entries = append(f.entries, e)
	}
}

// twoChoices is the baseline. It picks two random targets and sends each request to the one with fewer
// requests in flight. It knows only the requests of its own entry and limits nothing.
type twoChoices struct {
	fleet *slotFleet
	mu    sync.Mutex
	used  map[ident.VMID]int // requests in flight
	rng   *rand.Rand
}

// Acquire implements broker.Permits.
func (c *twoChoices) Acquire(_ context.Context, req broker.AcquireRequest) (broker.Permit, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.fleet.pools {
		if p.id != req.Pool {
			continue
		}
		a, b := p.targets[c.rng.IntN(len(p.targets))], p.targets[c.rng.IntN(len(p.targets))]
		if c.used[b.id] < c.used[a.id] {
			a = b
		}
		c.used[a.id]++
		return broker.Permit{Target: a.id, Pool: req.Pool}, nil
	}
	return broker.Permit{}, broker.ErrNoTarget
}

// Release implements broker.Permits.
func (c *twoChoices) Release(p broker.Permit, _ broker.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used[p.Target]--
}
