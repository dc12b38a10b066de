package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

var errCutOff = errors.New("cut off from the platform")

// cuttableLog is a Log whose reads can be cut off: they then block until their context is done.
type cuttableLog struct {
	follow.Log
	cut         atomic.Bool
	firstAppend atomic.Int64 // time of the first append since it was reset, in Unix nanoseconds
}

// Append notes the time of the first append and passes the data on.
func (g *cuttableLog) Append(ctx context.Context, s plat.Stream, data []byte) (ident.Offset, error) {
	g.firstAppend.CompareAndSwap(0, time.Now().UnixNano())
	return g.Log.Append(ctx, s, data)
}

// Read blocks if the log is cut off when the read begins or ends.
func (g *cuttableLog) Read(ctx context.Context, s plat.Stream, from ident.Offset, limit int, wait time.Duration) (plat.Page, error) {
	page, err := plat.Page{}, errCutOff
	if !g.cut.Load() {
		page, err = g.Log.Read(ctx, s, from, limit, wait)
	}
	if g.cut.Load() {
		<-ctx.Done()
		return plat.Page{}, errCutOff
	}
	return page, err
}

// partitionableTransport loses the messages between isolatedZone and the other zones while partitioned.
type partitionableTransport struct {
	*peer.Node
	partitioned *atomic.Bool // shared by all entries
	zone        func(ident.EntryID) int
}

// isolatedZone is the number of the zone that is cut off.
const isolatedZone = rolloutZones - 1

// loses reports whether messages to or from another entry are lost.
func (g *partitionableTransport) loses(other ident.EntryID) bool {
	return g.partitioned.Load() && (g.zone(g.Self()) == isolatedZone) != (g.zone(other) == isolatedZone)
}

// Send drops the message without an error if it is lost.
func (g *partitionableTransport) Send(to ident.EntryID, m wire.Message) error {
	if g.loses(to) {
		return nil
	}
	return g.Node.Send(to, m)
}

// Handle registers h for the messages that are not lost.
func (g *partitionableTransport) Handle(h func(ident.EntryID, wire.Message)) {
	g.Node.Handle(func(from ident.EntryID, m wire.Message) {
		if !g.loses(from) {
			h(from, m)
		}
	})
}

// rolloutEntry is a follower with the times at which versions came in force on it.
type rolloutEntry struct {
	follower *follow.Follower
	log      *cuttableLog
	zone     int

	mu           sync.Mutex
	version      ident.Version
	inForceSince map[ident.Version]time.Time
	reverts      int
}

// watch records when each version comes in force. A snapshot that skips versions
// puts all of them in force at the same time.
func (e *rolloutEntry) watch(ctx context.Context) {
	for {
		s, changed := e.follower.Changed()
		now := time.Now()
		e.mu.Lock()
		if s.Version < e.version {
			e.reverts++
		}
		for v := e.version + 1; v <= s.Version; v++ {
			e.inForceSince[v] = now
		}
		e.version = s.Version
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// inForceAt returns the time at which v came in force, and whether it has.
func (e *rolloutEntry) inForceAt(v ident.Version) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.inForceSince[v]
	return t, ok
}

// rolloutFile returns the file that the published files derive from.
func rolloutFile() *fleet.File {
	f := &fleet.File{Name: "kigali", SparePool: "members-office", Pools: []fleet.Pool{{ID: "members-office"}}}
	for i := range 5 {
		id := ident.PoolID(fmt.Sprintf("pool-%d", i))
		f.Pools = append(f.Pools, fleet.Pool{ID: id, Routes: []string{"/" + string(id) + "/"}, Owed: 8, MinServing: 6})
	}
	for i := range rolloutVMs {
		f.VMs = append(f.VMs, fleet.VM{
			ID: ident.VMID(fmt.Sprintf("vm-%02d", i)), Zone: ident.ZoneID(fmt.Sprintf("zone-%d", i%rolloutZones)),
			Rack: ident.RackID(fmt.Sprintf("r%d", i/12)), Address: fmt.Sprintf("10.0.0.%d:8080", i+1),
			Pool: f.Pools[1+i%5].ID, Processors: 16, Memory: 64 * ident.GiB, Slots: 8, Connections: 64,
		})
	}
	return f
}

// nextRecord returns the record that moves a VM to its next phase, or the one that takes the planner
// role if nobody has it. It returns nil before the first publish.
func nextRecord(s *fold.State, id ident.VMID, h fold.Header) fold.Record {
	vm := s.VM(id)
	if vm == nil {
		return nil
	}
	step := fold.VMStep{VM: id, Epoch: vm.Epoch, Term: s.Planner.Term}
	switch {
	case s.Planner.Term == 0:
		return fold.TakePlanner{Header: h, Term: 1, Holder: "bench"}
	case vm.Phase == fold.Draining:
		return fold.DrainDone{Header: h, VMStep: step}
	case vm.Phase == fold.Drained:
		return fold.Assign{Header: h, VMStep: step, Pool: vm.Pool}
	default:
		return fold.Drain{Header: h, VMStep: step}
	}
}
