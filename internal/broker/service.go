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
	coreTick     = 25 * time.Millisecond
	quietTick    = 250 * time.Millisecond // of a core with nothing to do; a message or a snapshot is handled at once
	maxProbes    = 256                    // probes that wait for a worker
	probeWorkers = 16
	coreIdle     = 2 * time.Minute // a core that no entry uses ends after this time
	probeLimit   = 300 * time.Millisecond
)

// Snapshots hands out the folded state; the follower implements it.
type Snapshots interface {
	Snapshot() *fold.State
	Changed() (*fold.State, <-chan struct{})
}

// Prober asks targets about themselves.
type Prober interface {
	// Running returns the number of requests that the target runs (GET /status, in_flight).
	Running(ctx context.Context, address string) (int, error)
	// Healthy returns nil when the target reports that it is healthy (GET /healthz).
	Healthy(ctx context.Context, address string) error
}

// Service runs the entry side of the permit protocol and the brokers that this entry holds. It implements
// Permits. Set its exported fields and call Bind before the links run, then call Run.
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
	// OnDrained is called when no work is left on a draining VM, and about once a second again
	// until a snapshot shows another phase. It must not block.
	OnDrained func(ident.VMID, ident.Epoch)

	client  Client
	mu      sync.Mutex
	cores   map[coreKey]*hosted
	index   atomic.Pointer[targetIndex]
	term    ident.Term
	probes  chan func(context.Context)
	settled atomic.Bool
}

type coreKey struct {
	pool ident.PoolID
	zone ident.ZoneID
}

// unseen stands for entries of the zone that this process may not know yet; it never registers.
const unseen ident.EntryID = ""

// hosted is a core with its lock.
type hosted struct {
	mu   sync.Mutex
	core *Core
	used time.Time // last message of an entry
	due  time.Time // a quiet core is not ticked before
}

// Bind registers the service with its links.
func (s *Service) Bind() {
	s.client.Links, s.client.Clock, s.client.Zone = s.Links, s.Clock, s.Zone
	s.client.start()
	s.cores = map[coreKey]*hosted{}
	s.probes = make(chan func(context.Context), maxProbes)
	s.settled.Store(s.ZoneKnown == nil)
	s.Links.Handle(s.handle)
	s.Links.OnView(func(v *peer.View) { s.view(v) })
}

// Run serves until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range probeWorkers {
		workers.Go(func() { s.work(ctx) })
	}
	defer workers.Wait()
	timers := []clock.Timer{
		s.Clock.Every(clientTick, s.client.tick),
		s.Clock.Every(coreTick, s.tick),
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
func (s *Service) Ready() bool { return s.settled.Load() }

// Acquire implements Permits.
func (s *Service) Acquire(ctx context.Context, ask AcquireRequest) (Permit, error) {
	p, err := s.client.Acquire(ctx, ask)
	if errors.Is(err, ErrNoTarget) && s.State.Snapshot() != s.client.loaded.Load() {
		s.client.setState(s.State.Snapshot()) // the caller has routed by a snapshot that Run has not yet passed on
		return s.client.Acquire(ctx, ask)
	}
	return p, err
}

// Release implements Permits.
func (s *Service) Release(p Permit, rep Report) { s.client.Release(p, rep) }

func (s *Service) handle(from ident.EntryID, m wire.Message) {
	switch m := m.(type) {
	case Grant:
		s.client.granted(from, m)
	case Demand:
		if m.Zone != s.Zone {
			return // only an entry of the zone is its broker
		}
		h := s.core(coreKey{m.Pool, m.Zone})
		s.with(h, func(now time.Time, c *Core) {
			h.used = now
			c.HandleDemand(now, from, m)
		})
	}
}

// core returns the core of a pool, which begins when it is first needed: another entry may see a view
// in which this entry is the broker before this entry does.
func (s *Service) core(k coreKey) *hosted {
	s.mu.Lock()
	h := s.cores[k]
	if h != nil {
		s.mu.Unlock()
		return h
	}
	now := s.Clock.Now()
	s.term = max(s.term+1, ident.Term(now.UnixMilli()))
	h = &hosted{core: NewCore(k.pool, k.zone, s.Links.Self(), s.term, now), used: now}
	s.cores[k] = h
	s.mu.Unlock()
	s.with(h, func(now time.Time, c *Core) {
		s.inform(now, c, s.Links.View())
		state := s.State.Snapshot()
		c.SetTargets(now, state.FleetOffset, s.targets(state, k.pool))
	})
	return h
}

// with runs f on a core and carries out its effects.
func (s *Service) with(h *hosted, f func(time.Time, *Core)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.due = time.Time{}
	f(s.Clock.Now(), h.core)
	for _, e := range h.core.Effects() {
		s.effect(h, e)
	}
}

// rests reports whether a quiet core need not be ticked yet.
func (h *hosted) rests(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.due)
}

func (s *Service) effect(h *hosted, e Effect) {
	switch e := e.(type) {
	case Send:
		if err := s.Links.Send(e.To, e.Msg); err != nil {
			s.Logger.Debug("grant not sent; the next renewal repeats it", "entry", e.To, "error", err)
		}
	case ProbeStatus:
		s.probe(func(ctx context.Context) {
			asked := s.Clock.Now()
			n, err := s.Prober.Running(ctx, e.Address)
			if err != nil {
				n = -1
			}
			s.with(h, func(now time.Time, c *Core) { c.HandleStatus(now, asked, e.VM, n) })
		})
	case ProbeHealth:
		s.probe(func(ctx context.Context) {
			err := s.Prober.Healthy(ctx, e.Address)
			s.with(h, func(now time.Time, c *Core) { c.HandleHealth(now, e.VM, err == nil) })
		})
	case VMDrained:
		if s.OnDrained != nil {
			s.OnDrained(e.VM, e.Epoch)
		}
	}
}

// probe hands f to a worker; when all are busy it is left out, and the core repeats it later.
func (s *Service) probe(f func(context.Context)) {
	select {
	case s.probes <- f:
	default:
	}
}

// work runs probes until ctx is done.
func (s *Service) work(ctx context.Context) {
	for {
		select {
		case f := <-s.probes:
			limited, cancel := context.WithTimeout(ctx, probeLimit)
			f(limited)
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// all returns the present cores.
func (s *Service) all() map[coreKey]*hosted {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[coreKey]*hosted, len(s.cores))
	for k, h := range s.cores {
		out[k] = h
	}
	return out
}

func (s *Service) tick() {
	view := s.Links.View()
	if !s.settled.Load() && (s.ZoneKnown == nil || s.ZoneKnown()) {
		s.settled.Store(true)
		s.view(view)
	}
	for k, h := range s.all() {
		if h.rests(s.Clock.Now()) {
			continue
		}
		idle := false
		s.with(h, func(now time.Time, c *Core) {
			idle = now.After(h.used.Add(coreIdle))
			c.Tick(now)
			if c.Quiescent() {
				h.due = now.Add(quietTick)
			}
		})
		if idle && brokerOf(view, k.pool, k.zone) != s.Links.Self() {
			s.mu.Lock()
			delete(s.cores, k)
			s.mu.Unlock()
		}
	}
}

func (s *Service) view(v *peer.View) {
	for _, h := range s.all() {
		s.with(h, func(now time.Time, c *Core) { s.inform(now, c, v) })
	}
	s.client.tick()
}

// inform tells a core about the membership.
func (s *Service) inform(now time.Time, c *Core, v *peer.View) {
	var zone, foreign, gone []ident.EntryID
	for _, m := range v.Members {
		switch {
		case m.State == peer.Gone:
			gone = append(gone, m.ID)
		case m.Zone == s.Zone:
			zone = append(zone, m.ID)
		default:
			foreign = append(foreign, m.ID)
		}
	}
	if !s.settled.Load() {
		zone = append(zone, unseen)
	}
	c.SetMembers(now, zone, foreign, gone)
}

// setState passes a snapshot on to the client and the cores.
func (s *Service) setState(state *fold.State) {
	s.client.setState(state)
	view := s.Links.View()
	for _, pool := range state.File.Pools {
		if brokerOf(view, pool.ID, s.Zone) == s.Links.Self() {
			s.core(coreKey{pool.ID, s.Zone})
		}
	}
	for k, h := range s.all() {
		s.with(h, func(now time.Time, c *Core) { c.SetTargets(now, state.FleetOffset, s.targets(state, k.pool)) })
	}
}
