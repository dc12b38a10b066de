package broker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	coreTickInterval      = 25 * time.Millisecond
	quiescentTickInterval = 250 * time.Millisecond // of a quiescent core; messages and snapshots are still handled at once
	probeQueueSize        = 256                    // probes that wait for a worker
	probeWorkers          = 16
	coreTTL               = 2 * time.Minute // a core that receives no message for this long ends if this entry is no longer the broker
	probeRequestTimeout   = 300 * time.Millisecond
)

// Snapshots provides the fleet state, which is computed from the log; the follower implements it.
type Snapshots interface {
	Snapshot() *fold.State
	Changed() (*fold.State, <-chan struct{})
}

// Prober asks targets for their status and health.
type Prober interface {
	// Running returns the number of requests that the target runs (GET /status, in_flight).
	Running(ctx context.Context, address string) (int, error)
	// Healthy returns nil when the target reports that it is healthy (GET /healthz).
	Healthy(ctx context.Context, address string) error
}

// Service runs a Client and the brokers of this entry. It implements Permits. Set its exported fields and call Bind
// before the links run, then call Run.
type Service struct {
	Links  peer.Transport
	State  Snapshots
	Clock  clock.Clock
	Prober Prober
	Zone   ident.ZoneID // zone of this entry
	Logger hclog.Logger
	// ZoneKnown reports whether this process has seen every entry of its zone since it started; nil means that it
	// has. Until then its brokers do not grant, since an entry that it has not seen may be a broker.
	ZoneKnown func() bool
	// OnDrained is called when no request can run on a draining VM any more, and again about once a second until a
	// snapshot shows another phase. It must not block.
	OnDrained func(ident.VMID, ident.Epoch)

	client    Client
	mu        sync.Mutex
	cores     map[coreKey]*hostedCore
	index     atomic.Pointer[targetIndex]
	term      ident.Term
	probes    chan func(context.Context)
	zoneKnown atomic.Bool
}

type coreKey struct {
	pool ident.PoolID
	zone ident.ZoneID
}

// unseenEntry represents the entries of the zone that this process may not know yet. It never registers, so no broker
// has all entries registered while it is a member.
const unseenEntry ident.EntryID = ""

// hostedCore is a core with its lock.
type hostedCore struct {
	mu       sync.Mutex
	core     *Core
	lastUsed time.Time // last message of an entry
	nextTick time.Time // of a quiescent core; zero otherwise
}

// Bind registers the service with its links.
func (s *Service) Bind() {
	s.client.Links, s.client.Clock, s.client.Zone = s.Links, s.Clock, s.Zone
	s.client.start()
	s.cores = map[coreKey]*hostedCore{}
	s.probes = make(chan func(context.Context), probeQueueSize)
	s.zoneKnown.Store(s.ZoneKnown == nil)
	s.Links.Handle(s.handle)
	s.Links.OnView(func(v *peer.View) { s.handleView(v) })
}

// Run serves until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range probeWorkers {
		workers.Go(func() { s.runProbes(ctx) })
	}
	defer workers.Wait()
	timers := []clock.Timer{
		s.Clock.Every(clientTickInterval, s.client.tick),
		s.Clock.Every(coreTickInterval, s.tick),
	}
	defer func() {
		for _, t := range timers {
			t.Stop()
		}
	}()
	for {
		state, changed := s.State.Changed()
		s.setState(state)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Ready reports whether this entry's brokers may grant; see ZoneKnown.
func (s *Service) Ready() bool { return s.zoneKnown.Load() }

// Acquire implements Permits.
func (s *Service) Acquire(ctx context.Context, req AcquireRequest) (Permit, error) {
	p, err := s.client.Acquire(ctx, req)
	if errors.Is(err, ErrNoTarget) && s.State.Snapshot() != s.client.state.Load() {
		s.client.setState(s.State.Snapshot()) // the caller may have routed by a snapshot that Run has not passed on yet
		return s.client.Acquire(ctx, req)
	}
	return p, err
}

// Release implements Permits.
func (s *Service) Release(p Permit, report Report) { s.client.Release(p, report) }

func (s *Service) handle(from ident.EntryID, m wire.Message) {
	switch m := m.(type) {
	case Grant:
		s.client.handleGrant(from, m)
	case Demand:
		if m.Zone != s.Zone {
			return // a zone's broker is always an entry of that zone
		}
		h := s.coreFor(coreKey{m.Pool, m.Zone})
		s.withCore(h, func(now time.Time, c *Core) {
			h.lastUsed = now
			c.HandleDemand(now, from, m)
		})
	}
}

// coreFor returns the core of a pool and creates it when it is first needed, even if this entry is not the broker in
// its own view: another entry may receive the view that makes this entry the broker first.
func (s *Service) coreFor(k coreKey) *hostedCore {
	s.mu.Lock()
	h := s.cores[k]
	if h != nil {
		s.mu.Unlock()
		return h
	}
	now := s.Clock.Now()
	s.term = max(s.term+1, ident.Term(now.UnixMilli()))
	h = &hostedCore{core: NewCore(k.pool, k.zone, s.Links.Self(), s.term, now), lastUsed: now}
	s.cores[k] = h
	s.mu.Unlock()
	s.withCore(h, func(now time.Time, c *Core) {
		s.setMembers(now, c, s.Links.View())
		state := s.State.Snapshot()
		c.SetTargets(now, state.FleetOffset, s.targets(state, k.pool))
	})
	return h
}

// withCore calls f with a core and the present time, and then carries out the core's effects.
func (s *Service) withCore(h *hostedCore, f func(time.Time, *Core)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextTick = time.Time{}
	f(s.Clock.Now(), h.core)
	for _, e := range h.core.Effects() {
		s.runEffect(h, e)
	}
}

// skipsTick reports whether a quiescent core need not be ticked yet.
func (h *hostedCore) skipsTick(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.nextTick)
}

func (s *Service) runEffect(h *hostedCore, e Effect) {
	switch e := e.(type) {
	case Send:
		if err := s.Links.Send(e.To, e.Msg); err != nil {
			s.Logger.Debug("grant not sent; the next renewal repeats it", "entry", e.To, "error", err)
		}
	case ProbeStatus:
		s.queueProbe(func(ctx context.Context) {
			asked := s.Clock.Now()
			n, err := s.Prober.Running(ctx, e.Address)
			if err != nil {
				n = -1
			}
			s.withCore(h, func(now time.Time, c *Core) { c.HandleStatus(now, asked, e.VM, n) })
		})
	case ProbeHealth:
		s.queueProbe(func(ctx context.Context) {
			err := s.Prober.Healthy(ctx, e.Address)
			s.withCore(h, func(now time.Time, c *Core) { c.HandleHealth(now, e.VM, err == nil) })
		})
	case VMDrained:
		if s.OnDrained != nil {
			s.OnDrained(e.VM, e.Epoch)
		}
	}
}

// queueProbe queues f for a worker. When the queue is full, f is dropped, and the core repeats the probe later.
func (s *Service) queueProbe(f func(context.Context)) {
	select {
	case s.probes <- f:
	default:
	}
}

// runProbes runs queued probes until ctx is done.
func (s *Service) runProbes(ctx context.Context) {
	for {
		select {
		case f := <-s.probes:
			limited, cancel := context.WithTimeout(ctx, probeRequestTimeout)
			f(limited)
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// allCores returns a copy of the map of cores.
func (s *Service) allCores() map[coreKey]*hostedCore {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[coreKey]*hostedCore, len(s.cores))
	for k, h := range s.cores {
		out[k] = h
	}
	return out
}

func (s *Service) tick() {
	view := s.Links.View()
	if !s.zoneKnown.Load() && (s.ZoneKnown == nil || s.ZoneKnown()) {
		s.zoneKnown.Store(true)
		s.handleView(view)
	}
	for k, h := range s.allCores() {
		if h.skipsTick(s.Clock.Now()) {
			continue
		}
		unused := false
		s.withCore(h, func(now time.Time, c *Core) {
			unused = now.After(h.lastUsed.Add(coreTTL))
			c.Tick(now)
			if c.Quiescent() {
				h.nextTick = now.Add(quiescentTickInterval)
			}
		})
		if unused && brokerOf(view, k.pool, k.zone) != s.Links.Self() {
			s.mu.Lock()
			delete(s.cores, k)
			s.mu.Unlock()
		}
	}
}

func (s *Service) handleView(v *peer.View) {
	for _, h := range s.allCores() {
		s.withCore(h, func(now time.Time, c *Core) { s.setMembers(now, c, v) })
	}
	s.client.tick()
}

// setMembers passes the members of a view to a core.
func (s *Service) setMembers(now time.Time, c *Core, v *peer.View) {
	var zone, remote, gone []ident.EntryID
	for _, m := range v.Members {
		switch {
		case m.State == peer.Gone:
			gone = append(gone, m.ID)
		case m.Zone == s.Zone:
			zone = append(zone, m.ID)
		default:
			remote = append(remote, m.ID)
		}
	}
	if !s.zoneKnown.Load() {
		zone = append(zone, unseenEntry)
	}
	c.SetMembers(now, zone, remote, gone)
}

// setState passes a snapshot on to the client and the cores.
func (s *Service) setState(state *fold.State) {
	s.client.setState(state)
	view := s.Links.View()
	for _, pool := range state.File.Pools {
		if brokerOf(view, pool.ID, s.Zone) == s.Links.Self() {
			s.coreFor(coreKey{pool.ID, s.Zone})
		}
	}
	for k, h := range s.allCores() {
		s.withCore(h, func(now time.Time, c *Core) { c.SetTargets(now, state.FleetOffset, s.targets(state, k.pool)) })
	}
}
