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
	listPause     = 15 * time.Second // between two looks at the live list
	listTimeout   = 5 * time.Second
)

// newPlanner returns the runner that plans for the fleet while this entry holds the duty.
func (d *Daemon) newPlanner() *runner.Runner {
	client := &plat.Client{BaseURL: d.Settings.Platform}
	prober := &broker.HTTPProber{Client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
	}}
	platform := &targetPlatform{Client: client, targets: plat.Lister{Client: client, Kind: plat.KindTarget}}
	w := &vmWatch{daemon: d, list: platform.List, logger: d.Logger.Named("planner"), facts: map[ident.VMID]plan.Fact{}}
	return &runner.Runner{
		Self: d.Settings.Entry, State: d.follower, Log: d.follower, Platform: platform,
		Ready: func() bool { return d.follower.Ready() && d.brokers.ZoneKnown() },
		View:  d.peers.View, Facts: w.observe, Clock: d.Clock, Logger: d.Logger.Named("planner"),
		Healthy: func(ctx context.Context, vm *fold.VM) bool {
			ctx, cancel := context.WithTimeout(ctx, healthTimeout)
			defer cancel()
			return prober.Healthy(ctx, vm.Address) == nil
		},
	}
}

// targetPlatform lists the targets alone and transfers the list only when it has changed.
type targetPlatform struct {
	*plat.Client
	targets plat.Lister
}

// List returns the targets on the live list.
func (p *targetPlatform) List(ctx context.Context) ([]plat.ListedVM, error) {
	return p.targets.List(ctx)
}

// vmWatch keeps since when VMs are ejected by a broker or missing from the
// live list. It is used by the runner's goroutine alone.
type vmWatch struct {
	daemon *Daemon
	list   func(context.Context) ([]plat.ListedVM, error)
	logger hclog.Logger
	facts  map[ident.VMID]plan.Fact
	listed map[ident.VMID]bool // nil until the list was read
	looked time.Time
}

func (w *vmWatch) observe() map[ident.VMID]plan.Fact {
	now := w.daemon.Clock.Now()
	if now.Sub(w.looked) >= listPause {
		w.looked = now
		w.look()
	}
	ejected := w.daemon.failing.failing()
	facts := map[ident.VMID]plan.Fact{}
	for vm := range w.daemon.follower.Snapshot().VMs {
		old := w.facts[vm.ID]
		f := plan.Fact{
			FailingSince: since(old.FailingSince, ejected[vm.ID], now),
			MissingSince: since(old.MissingSince, w.listed != nil && !w.listed[vm.ID], now),
		}
		if f != (plan.Fact{}) {
			facts[vm.ID] = f
		}
	}
	w.facts = facts
	return facts
}

// since returns when a condition began: old while it goes on, now when it is new, zero when it does not hold.
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

// look reads the live list; without an answer the list read before stays.
func (w *vmWatch) look() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	list, err := w.list(ctx)
	if err != nil {
		w.logger.Debug("live list not read", "error", err)
		return
	}
	w.listed = map[ident.VMID]bool{}
	for _, l := range list {
		w.listed[ident.VMID(l.ID)] = true
	}
}
