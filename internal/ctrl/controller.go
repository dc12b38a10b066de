package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/maint"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// period is the time between two rounds.
	period = 120 * time.Millisecond
	// reportTimeout bounds the collection of the pools' reports.
	reportTimeout = 400 * time.Millisecond
	// cloudTimeout bounds a call to the machine service, which answers in some milliseconds when it is well.
	cloudTimeout = time.Second
	// settleTime is how long an order without an answer may take effect after its call.
	settleTime = 2 * time.Second
	// busyPause is how long a VM is left alone after the service refused an order for it.
	busyPause = time.Second
	// sendShare is the part of a VM's lease in which an order for it may leave after its intent. A successor waits for the
	// whole lease; the rest is for orders that are long on their way.
	sendShare = 3
	// moveTime is how long a moved VM is counted as on its way, if it isn't seen before.
	moveTime = 4 * time.Second
)

// Pools reaches the owners of the pools.
type Pools interface {
	// Report gives directions to a pool and returns its state.
	Report(ctx context.Context, pool ident.PoolID, d jobs.Directives) (sizer.Pool, error)
	// Configured returns the pools of the configuration.
	Configured() []work.PoolConfig
	// Waves returns the waves that operators have asked for.
	Waves() []work.Wave
}

// Controller does the rounds. Set its exported fields before Run.
type Controller struct {
	Cloud maint.Cloud
	Pools Pools
	Log   plog.Log
	Token work.Fence // of all orders
	Epoch plog.Epoch
	// StatusPartition is where operators read how far a wave is, and EncodeStatus makes the record.
	StatusPartition plog.TopicPartition
	EncodeStatus    func(wave int64, completed bool) (plog.Record, error)
	// Lease is how long a VM is left alone after another holder's order.
	Lease           time.Duration
	MaintenanceTime time.Duration
	MayOrder        func() bool
	// WallOffset returns the difference between the wall clock and Clock.
	WallOffset func() time.Duration
	Clock      clock.Clock
	Logger     hclog.Logger

	store   *store
	logged  time.Time // the last line about sizes
	mu      sync.Mutex
	orders  map[work.MachineID]*order // that have not been seen to take effect
	cordons map[ident.PoolID]map[work.TargetID]jobs.CordonReason
	reserve map[ident.PoolID]work.Millicores
}

// order is an order for one VM.
type order struct {
	kind   jobs.CordonReason
	wave   int64
	to     ident.PoolID
	target work.TargetID // the life that it ends
	room   work.Millicores
	sent   time.Time
	until  time.Time // when the VM may be given another order
	done   bool      // confirmed by the service
	unsure bool
}

// init fences former holders and reads what they left.
func (s *Controller) init(ctx context.Context) error {
	s.orders = map[work.MachineID]*order{}
	s.cordons = map[ident.PoolID]map[work.TargetID]jobs.CordonReason{}
	s.store = &store{log: s.Log, epoch: s.Epoch, clock: s.Clock, logger: s.Logger, wallOffset: s.WallOffset}
	return s.store.load(ctx)
}

// Run does rounds until ctx is done.
func (s *Controller) Run(ctx context.Context) {
	if err := s.init(ctx); err != nil {
		s.Logger.Info("steering ended before it began", "error", err)
		return
	}
	s.Logger.Info("steering", "token", s.Token, "waves", len(s.store.waves), "recent_orders", len(s.store.orders))
	for ctx.Err() == nil {
		if s.MayOrder() {
			if err := s.round(ctx); err != nil && ctx.Err() == nil {
				s.Logger.Info("round of steering failed", "error", err)
				if errors.Is(err, plog.ErrFenced) {
					return
				}
			}
		}
		_ = clock.Sleep(ctx, s.Clock, period) // the loop checks the context
	}
}

// round reads the state of VMs and pools, decides and orders.
func (s *Controller) round(ctx context.Context) error {
	machines, err := s.machines(ctx)
	if err != nil {
		return err
	}
	pools := s.reports(ctx, machines)
	now := s.Clock.Now()
	s.observe(now, machines)
	next := map[ident.PoolID]map[work.TargetID]jobs.CordonReason{}
	ready := s.planWaves(now, machines, pools, next)
	ready = append(ready, s.planMoves(now, machines, pools, next)...)
	s.cordons = next
	if err := s.perform(ctx, ready); err != nil {
		return err
	}
	return s.publish(ctx, machines)
}

// perform stores the intents of orders and sends these.
func (s *Controller) perform(ctx context.Context, orders []ready) error {
	// The log may answer a repeated write after a successor has taken over, so the permission counts from before it.
	allowed := permit.Permit{Until: s.Clock.Now().Add(s.Lease / sendShare), Clock: s.Clock}
	if err := s.store.intend(ctx, orders); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, r := range orders {
		wg.Go(func() {
			panics.Catch(s.Logger, "order for a VM", func() { s.carryOut(permit.With(ctx, allowed), r) })
		})
	}
	wg.Wait()
	return nil
}

func (s *Controller) machines(ctx context.Context) (map[work.MachineID]work.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	list, err := s.Cloud.Machines(ctx)
	if err != nil {
		return nil, err
	}
	out := map[work.MachineID]work.Machine{}
	for _, m := range list {
		out[m.ID] = m
	}
	return out, nil
}

// reports collects the state of all pools; a pool that doesn't answer is left out and keeps its VMs.
func (s *Controller) reports(ctx context.Context, machines map[work.MachineID]work.Machine) []sizer.Pool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []sizer.Pool
	var wg sync.WaitGroup
	for _, c := range s.Pools.Configured() {
		if c.PoweredOff {
			out = append(out, parked(c.ID, machines))
			continue
		}
		wg.Go(func() {
			r, err := s.Pools.Report(ctx, c.ID, jobs.Directives{Cordons: s.cordons[c.ID], Reserve: s.reserve[c.ID]})
			if err != nil {
				s.Logger.Debug("no report of a pool", "pool", c.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
	}
	wg.Wait()
	return out
}

// parked describes the VMs of a pool that are off, which nobody reports on.
func parked(id ident.PoolID, machines map[work.MachineID]work.Machine) sizer.Pool {
	p := sizer.Pool{ID: id, PoweredOff: true}
	for _, m := range machines {
		if m.Pool == id && m.State == work.MachineUp {
			p.Targets = append(p.Targets, sizer.Target{Machine: m.ID, Zone: m.Zone, Capacity: m.Capacity})
		}
	}
	return p
}

// observe forgets the orders whose effect is seen in the list.
func (s *Controller) observe(now time.Time, machines map[work.MachineID]work.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		m, listed := machines[id]
		switch {
		case !listed:
			delete(s.orders, id)
		case o.kind == jobs.CordonMove && o.done && m.State == work.MachineUp && m.Pool == o.to:
			delete(s.orders, id)
		case o.kind == jobs.CordonMaintenance && o.done && m.State == work.MachineUp && (m.Target != o.target || o.target == "") && now.Sub(o.sent) > s.MaintenanceTime/2:
			delete(s.orders, id)
		case !o.done && now.After(o.until):
			delete(s.orders, id)
		case now.Sub(o.sent) > settleTime+moveTime+s.MaintenanceTime:
			delete(s.orders, id)
		}
	}
}

// carryOut sends one order.
func (s *Controller) carryOut(ctx context.Context, r ready) {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	now := s.Clock.Now()
	o := &order{kind: r.kind, wave: r.wave, to: r.to, target: r.target, room: r.room, sent: now, until: now.Add(cloudTimeout + settleTime)}
	s.mu.Lock()
	s.orders[r.machine] = o
	s.mu.Unlock()
	var err error
	if r.kind == jobs.CordonMaintenance {
		err = s.Cloud.Maintain(ctx, r.machine, r.wave, s.Token)
	} else {
		err = s.Cloud.Move(ctx, r.machine, r.to, s.Token)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		o.done = true
		if r.kind == jobs.CordonMaintenance {
			s.store.begun(r.wave, r.machine)
		}
	case errors.Is(err, permit.ErrExpired):
		delete(s.orders, r.machine)
	case errors.Is(err, maint.ErrRefused):
		o.until = s.Clock.Now().Add(busyPause)
	default:
		o.unsure = true
	}
	s.Logger.Info("machine order", "kind", string(r.kind), "machine", r.machine, "target", r.target, "pool", r.from, "to", r.to,
		"wave", r.wave, "reason", r.reason, "token", s.Token, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// free reports whether a VM may be given an order.
func (s *Controller) free(now time.Time, id work.MachineID) bool {
	return s.orders[id] == nil && !s.pinned(now, id)
}

// pinned reports whether a VM is left to a former holder. It works for its pool meanwhile.
func (s *Controller) pinned(now time.Time, id work.MachineID) bool {
	return now.Before(s.store.leasedUntil(id, s.Lease))
}
