package daemon

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/burn"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/entry"
	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/internal/keys"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/target"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// Daemon is one toucand process. Set its exported fields before Run.
type Daemon struct {
	Settings *config.Settings
	Logger   hclog.Logger
	Clock    clock.Clock // the system clock when nil
	// WrapPeer, if set, wraps the peer listener, for example to count its traffic.
	WrapPeer func(net.Listener) net.Listener
	// FirstStart states that no entry of this fleet ran within the key window; see keys.Service.
	FirstStart bool

	risks    riskCache
	follower *follow.Follower
	peers    *peer.Node
	keys     *keys.Service
	handler  *entry.Handler
	brokers  *brokerage
	burn     *burnRecorder
	failing  *failingBoard
	stopping atomic.Bool
	caller   net.Listener
	peer     net.Listener
	admin    net.Listener
}

// Listen opens the listeners, so that their addresses are known before Run.
func (d *Daemon) Listen() error {
	var err error
	if d.caller, err = entry.Listen(d.Settings.Caller); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if d.peer, err = net.Listen("tcp", d.Settings.Peer); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	if d.WrapPeer != nil {
		d.peer = d.WrapPeer(d.peer)
	}
	if d.admin, err = net.Listen("tcp", d.Settings.Admin); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	return nil
}

// CallerAddr returns the address that callers use, after Listen.
func (d *Daemon) CallerAddr() string { return d.caller.Addr().String() }

// PeerAddr returns the address that other entries use, after Listen.
func (d *Daemon) PeerAddr() string { return d.peer.Addr().String() }

// AdminAddr returns the address for health and metrics, after Listen.
func (d *Daemon) AdminAddr() string { return d.admin.Addr().String() }

// Run serves until ctx is done, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	if d.Clock == nil {
		d.Clock = clock.System()
	}
	if d.caller == nil {
		if err := d.Listen(); err != nil {
			return err
		}
	}
	d.follower = follow.New()
	d.follower.Log = &plat.Client{BaseURL: d.Settings.Platform}
	d.follower.Clock = d.Clock
	d.follower.Logger = d.Logger.Named("follow")
	d.peers = d.newPeers()
	d.keys = d.newKeys()
	d.follower.Links = d.peers
	d.follower.Zone = d.Settings.Zone
	d.follower.Bind()
	d.brokers = d.newBrokerage()
	d.failing = newFailingBoard(d.peers, d.Clock, d.brokers)
	client := target.New()
	defer client.Close()
	d.burn = &burnRecorder{meter: burn.NewMeter(d.Clock), state: d.follower, next: newRequestMetrics(d.Settings.Entry)}
	d.handler = &entry.Handler{
		State: d.follower, Permits: d.brokers, Claims: d.keys, Targets: client,
		Recorder: d.burn, Clock: d.Clock, Logger: d.Logger.Named("entry"),
	}
	d.Logger.Info("serving", "caller", d.CallerAddr(), "peer", d.peer.Addr().String(), "admin", d.AdminAddr())
	// Everything that callers' requests need runs on until the last request is done.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer d.Clock.Every(failingPeriod, d.failing.announce).Stop()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return d.peers.Run(running) })
	g.Go(func() error { return d.keys.Run(running) })
	g.Go(func() error { return d.follower.Run(running) })
	g.Go(func() error { return d.brokers.Run(running) })
	g.Go(func() error { return d.newPlanner().Run(running) })
	g.Go(func() error { return d.newCheckpointer().run(running) })
	g.Go(func() error { return d.serveAdmin(running) })
	g.Go(func() error { defer stop(); return d.serveCallers(running, ctx) })
	return g.Wait()
}
