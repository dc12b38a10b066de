package plan

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Observation is what was observed of one VM outside the log. A zero time means not observed.
type Observation struct {
	FailingSince time.Time // since when a broker has found the VM failing
	MissingSince time.Time // since when the VM has been missing from the platform's live list, which may be out of date
}

// Options holds the observations and the time limits of the planner. A zero limit takes its default.
type Options struct {
	Observations map[ident.VMID]Observation
	// Regions gives the region of each zone; a VM moves only within a region.
	// Zones that it does not name form one region.
	Regions map[ident.ZoneID]ident.RegionID

	// RestartAfter is how long a broker must find a VM failing before the VM is
	// drained and restarted in its pool. Default 6m, longer than a VM takes to restart by itself.
	RestartAfter time.Duration
	// ReplaceAfter is how long a VM must fail before another VM replaces it.
	// Default 30m, so that a restart is tried first.
	ReplaceAfter time.Duration
	// UrgentReplaceAfter applies instead of ReplaceAfter in a pool below its budget. Default 1m.
	UrgentReplaceAfter time.Duration
	// MissingAfter is how long a VM must be missing from the live list before it is restarted
	// or replaced. Default 45m: the list lags, so a missing VM is weaker evidence than a failing one.
	MissingAfter time.Duration
	// RefillAfter is how long a VM may stay out of service before its pool is
	// refilled to the number of VMs that it is owed. Default 48h.
	RefillAfter time.Duration
	// DrainTime is the upper bound on the duration of a drain. Default 5m, several times the longest request.
	DrainTime time.Duration
	// RestartTime is the expected duration of a restart outside a wave. Default 15m.
	RestartTime time.Duration
	// ClockMargin is kept free before every deadline to allow for differences between wall clocks. Default 10m.
	ClockMargin time.Duration
	// ReturnLead is how long before its deadline a return begins. Default 8h, longer than the
	// expected outages of the log; an earlier return would only leave fewer VMs in reserve.
	ReturnLead time.Duration
	// UrgentLead is how long before its deadline a return gives up rack headroom. Default 2h.
	UrgentLead time.Duration
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&o.RestartAfter, 6*time.Minute)
	set(&o.ReplaceAfter, 30*time.Minute)
	set(&o.UrgentReplaceAfter, time.Minute)
	set(&o.MissingAfter, 45*time.Minute)
	set(&o.RefillAfter, 48*time.Hour)
	set(&o.DrainTime, 5*time.Minute)
	set(&o.RestartTime, 15*time.Minute)
	set(&o.ClockMargin, 10*time.Minute)
	set(&o.ReturnLead, 8*time.Hour)
	set(&o.UrgentLead, 2*time.Hour)
	return o
}

// policy selects between the planner and its baselines.
type policy struct {
	movesVMs     bool // VMs move between pools
	lookahead    bool // choices consider later waves and returns
	keepsSurplus bool // VMs beyond those that a pool is owed stay there until another pool needs them
}

// Plan returns the steps to take now, in the order in which to append them.
func Plan(s *fold.State, now time.Time, opt Options) []Action {
	return run(s, now, opt, policy{movesVMs: true, lookahead: true, keepsSurplus: true})
}

// Greedy is a baseline without lookahead: it picks the first VM by id, those that need
// no drain before the others, ignores later waves and returns, and sends every VM
// beyond those that a pool is owed back to the spare pool.
func Greedy(s *fold.State, now time.Time, opt Options) []Action {
	return run(s, now, opt, policy{movesVMs: true})
}

// Static is a baseline in which each pool has a fixed buffer: no VM moves between pools.
func Static(s *fold.State, now time.Time, opt Options) []Action {
	return run(s, now, opt, policy{lookahead: true, keepsSurplus: true})
}

func run(s *fold.State, now time.Time, opt Options, pol policy) []Action {
	pl := newPlanner(s, now, opt.withDefaults(), pol)
	pl.continueDrained()
	if pol.movesVMs {
		pl.fillPools()
	}
	pl.releaseDrained()
	pl.drainFailed()
	pl.drainReturns()
	pl.drainWaves()
	if pol.movesVMs && !pol.keepsSurplus {
		pl.drainSurplus()
	}
	return pl.actions
}
