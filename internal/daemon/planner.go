package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/internal/runner"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	healthTimeout = 2 * time.Second
	listInterval  = 15 * time.Second // between two reads of the live list
	listTimeout   = 5 * time.Second
)

// newPlanner returns the runner that plans for the fleet while this entry holds the planner role.
func (d *Daemon) newPlanner() *runner.Runner {
	client := &plat.Client{BaseURL: d.Settings.PlatformURL}
	prober := &broker.HTTPProber{Client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
	}}
	platform := &targetPlatform{Client: client, targets: plat.Lister{Client: client, Kind: plat.KindTarget}}
	o := &vmObserver{daemon: d, list: platform.List, logger: d.Logger.Named("planner"), observations: map[ident.VMID]plan.Observation{}}
	return &runner.Runner{
		Self: d.Settings.Entry, State: d.follower, Log: d.follower, Platform: platform,
		Ready: func() bool { return d.follower.Ready() && d.broker.ZoneKnown() },
		View:  d.peers.View, Observations: o.observe, Clock: d.Clock, Logger: d.Logger.Named("planner"),
		Healthy: func(ctx context.Context, vm *fold.VM) bool {
			ctx, cancel := context.WithTimeout(ctx, healthTimeout)
			defer cancel()
			return prober.Healthy(ctx, vm.Address) == nil
		},
	}
}

// targetPlatform is a platform client whose List returns targets only and transfers the list only when it has changed.
type targetPlatform struct {
	*plat.Client
	targets plat.Lister
}

// List returns the targets on the live list.
func (p *targetPlatform) List(ctx context.Context) ([]plat.ListedVM, error) {
	return p.targets.List(ctx)
}

// vmObserver tracks since when VMs have been ejected by a broker or missing from
// the live list. Only the runner's goroutine uses it.
type vmObserver struct {
	daemon       *Daemon
	list         func(context.Context) ([]plat.ListedVM, error)
	logger       hclog.Logger
	observations map[ident.VMID]plan.Observation
	listed       map[ident.VMID]bool // VMs on the live list; nil until it was read once
	lastRead     time.Time           // last attempt to read the live list
}

// observe returns the observation of each VM that is ejected or missing from the live list.
func (o *vmObserver) observe() map[ident.VMID]plan.Observation {
	now := o.daemon.Clock.Now()
	if now.Sub(o.lastRead) >= listInterval {
		o.lastRead = now
		o.readLiveList()
	}
	ejected := o.daemon.failing.vms()
	observations := map[ident.VMID]plan.Observation{}
	for vm := range o.daemon.follower.Snapshot().VMs {
		old := o.observations[vm.ID]
		observation := plan.Observation{
			FailingSince: since(old.FailingSince, ejected[vm.ID], now),
			MissingSince: since(old.MissingSince, o.listed != nil && !o.listed[vm.ID], now),
		}
		if observation != (plan.Observation{}) {
			observations[vm.ID] = observation
		}
	}
	o.observations = observations
	return observations
}

// since returns the start of a condition: old if it held before, now if it is new, and zero if it does not hold.
func since(old time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case old.IsZero():
		return now
	default:
		return old
	}
}

// readLiveList reads the live list; if that fails, the previous list stays in use.
func (o *vmObserver) readLiveList() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	list, err := o.list(ctx)
	if err != nil {
		o.logger.Debug("failed to read the live list; using the previous one", "error", err)
		return
	}
	o.listed = map[ident.VMID]bool{}
	for _, l := range list {
		o.listed[ident.VMID(l.ID)] = true
	}
}
