package broker

import (
	"cmp"
	"expvar"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Status describes the brokers and the permits of one entry.
type Status struct {
	Brokers []CoreStatus `json:"brokers"`
	Pools   []PoolStatus `json:"pools"`
}

// CoreStatus describes the broker of one pool and zone.
type CoreStatus struct {
	Pool            ident.PoolID   `json:"pool"`
	Zone            ident.ZoneID   `json:"zone"`
	Term            ident.Term     `json:"term"`
	AllRegistered   bool           `json:"complete"` // every entry of the zone is registered
	Registered      int            `json:"registered"`
	Waiting         int            `json:"waiting"` // requests that the entries have reported as waiting
	ExpectedWait    time.Duration  `json:"wait_ns"` // expected wait of a new request
	QuarantinedJobs []string       `json:"quarantined_jobs"`
	Targets         []TargetStatus `json:"targets"`
}

// TargetStatus describes what a core knows of a target.
type TargetStatus struct {
	VM         ident.VMID  `json:"vm"`
	Slots      ident.Slots `json:"slots"`
	Granted    int         `json:"granted"`  // granted permits, also those whose holder is no longer registered
	Reserved   int         `json:"reserved"` // slots that dead or unregistered entries may still use
	Ejected    bool        `json:"ejected"`
	TrialSlots int         `json:"trial"` // slots that may be granted after a readmission; 0 means all
	Draining   bool        `json:"draining"`
}

// PoolStatus describes one entry's queue and permits of a pool.
type PoolStatus struct {
	Pool       ident.PoolID `json:"pool"`
	Waiting    int          `json:"waiting"`
	InUse      int          `json:"in_use"`
	Idle       int          `json:"idle"`
	OtherZones int          `json:"elsewhere"` // permits granted by brokers of other zones
}

// Status returns the present state.
func (s *Service) Status() Status {
	var out Status
	for _, h := range s.allCores() {
		s.withCore(h, func(now time.Time, c *Core) { out.Brokers = append(out.Brokers, c.status(now)) })
	}
	slices.SortFunc(out.Brokers, func(a, b CoreStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	for _, p := range *s.client.pools.Load() {
		out.Pools = append(out.Pools, p.status())
	}
	slices.SortFunc(out.Pools, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

func (c *Core) status(now time.Time) CoreStatus {
	b := CoreStatus{
		Pool: c.pool, Zone: c.zone, Term: c.term, AllRegistered: c.allRegistered, ExpectedWait: c.expectedWait(now), QuarantinedJobs: c.quarantinedJobs(now),
	}
	for _, h := range c.holders {
		if h.registered {
			b.Registered++
			b.Waiting += h.demand.Urgent + h.demand.Normal
		}
	}
	for _, t := range c.targets {
		b.Targets = append(b.Targets, TargetStatus{
			VM: t.ID, Slots: t.Slots, Granted: len(t.permits), Reserved: t.reservedSlots(),
			Ejected: t.health.ejected, TrialSlots: t.health.trialSlots, Draining: t.Draining,
		})
	}
	slices.SortFunc(b.Targets, func(a, b TargetStatus) int { return cmp.Compare(a.VM, b.VM) })
	return b
}

func (p *pool) status() PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := PoolStatus{Pool: p.id, Waiting: p.queue.waiting, InUse: p.local.inUse, Idle: len(p.local.idle)}
	for _, z := range p.remote {
		out.OtherZones += len(z.permits)
	}
	return out
}

// Counters returns a variable with the entry's counters since its start.
func (s *Service) Counters() expvar.Var {
	return expvar.Func(func() any {
		n := &s.client.stats
		return map[string]int64{
			"acquired": n.acquired.Load(), "waited": n.waited.Load(), "shed": n.shed.Load(), "canceled": n.canceled.Load(),
			"messages_sent": n.sent.Load(), "send_errors": n.sendErrors.Load(),
		}
	})
}
