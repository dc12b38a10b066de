package broker

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const clientTickInterval = 50 * time.Millisecond

// Client implements Permits on one entry, with a pool for each pool of the fleet. Set its exported fields before use.
type Client struct {
	Links peer.Links
	Clock clock.Clock
	Zone  ident.ZoneID

	process     uint64
	pools       atomic.Pointer[map[ident.PoolID]*pool]
	mu          sync.Mutex                          // serializes changes of pools
	fleetOffset atomic.Int64                        // of state
	closedVMs   atomic.Pointer[map[ident.VMID]bool] // VMs that must get no new request
	state       atomic.Pointer[fold.State]          // newest snapshot
	stats       clientStats
}

type clientStats struct{ acquired, waited, shed, canceled, sent, sendErrors atomic.Int64 }

// start prepares the client; the Service calls it.
func (c *Client) start() {
	c.process = uint64(c.Clock.Now().UnixNano())
	c.pools.Store(&map[ident.PoolID]*pool{})
	c.closedVMs.Store(&map[ident.VMID]bool{})
}

// Acquire implements Permits.
func (c *Client) Acquire(ctx context.Context, req AcquireRequest) (Permit, error) {
	p := (*c.pools.Load())[req.Pool]
	if p == nil {
		return Permit{}, ErrNoTarget
	}
	if deadline, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || deadline.Before(req.Deadline)) {
		req.Deadline = deadline
	}
	if req.Deadline.IsZero() {
		req.Deadline = c.Clock.Now().Add(MaxRequestDuration)
	}
	permit, w, err := p.acquire(req)
	if err != nil || w == nil {
		return permit, err
	}
	c.stats.waited.Add(1)
	select {
	case a := <-w.result:
		return a.permit, a.err
	case <-ctx.Done():
	}
	p.cancel(w)
	select {
	case a := <-w.result: // granted meanwhile
		if a.err == nil {
			p.release(a.permit, Report{Result: Unused})
		}
	default:
	}
	c.stats.canceled.Add(1)
	return Permit{}, ctx.Err()
}

// Release implements Permits.
func (c *Client) Release(permit Permit, report Report) {
	if p := (*c.pools.Load())[permit.Pool]; p != nil {
		p.release(permit, report)
	}
}

// setState updates the pools and their zones to a snapshot. A pool that is no longer in it is kept, since its permits
// may still be in use.
func (c *Client) setState(s *fold.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.state.Load(); old != nil && old != s && old.Newer(s) {
		return // a concurrent call has set a newer snapshot
	}
	zones := map[ident.PoolID]map[ident.ZoneID]bool{}
	closed := map[ident.VMID]bool{}
	for vm := range s.VMs {
		if vm.Phase != fold.Serving {
			closed[vm.ID] = true
			continue
		}
		if zones[vm.Pool] == nil {
			zones[vm.Pool] = map[ident.ZoneID]bool{}
		}
		zones[vm.Pool][vm.Zone] = true
	}
	c.closedVMs.Store(&closed)
	c.fleetOffset.Store(int64(s.FleetOffset))
	next := maps.Clone(*c.pools.Load())
	ids := map[ident.PoolID]bool{}
	for i := range s.File.Pools {
		ids[s.File.Pools[i].ID] = true
	}
	for id := range zones {
		ids[id] = true
	}
	for id := range ids {
		if next[id] == nil {
			next[id] = newPool(c, id)
		}
	}
	c.pools.Store(&next)
	for id, p := range next {
		p.setZones(zones[id])
	}
	c.state.Store(s)
}

// tick renews permits, returns idle ones and refuses requests that would miss their deadline.
func (c *Client) tick() {
	for _, p := range *c.pools.Load() {
		p.tick()
	}
}

// handleGrant handles a broker's message.
func (c *Client) handleGrant(from ident.EntryID, g Grant) {
	if p := (*c.pools.Load())[g.Pool]; p != nil {
		p.handleGrant(from, g)
	}
}

// mayUse reports whether the present snapshot lets new requests go to the VM.
func (c *Client) mayUse(vm ident.VMID) bool { return !(*c.closedVMs.Load())[vm] }

// brokerOf returns the entry that is the broker of a pool and zone in the present view, or "".
func brokerOf(v *peer.View, pool ident.PoolID, zone ident.ZoneID) ident.EntryID {
	ranked := peer.Rank("broker/"+string(pool)+"/"+string(zone), v.Zone(zone, peer.Up))
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].ID
}
