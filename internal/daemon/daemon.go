package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/burn"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/entry"
	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/intake"
	"github.com/toucanhatch/toucanhatch/internal/keys"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/target"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// Daemon is one toucand process. Set its exported fields before Listen or Run.
type Daemon struct {
	Settings *config.Settings
	Logger   hclog.Logger
	Clock    clock.Clock // the system clock if nil
	// WrapPeerListener, if set, wraps the peer listener, for example to count its traffic.
	WrapPeerListener func(net.Listener) net.Listener
	// FirstStart states that no entry of this fleet has run within the key window; see keys.Service.
	FirstStart bool

	risks          riskCache
	follower       *follow.Follower
	peers          *peer.Node
	keys           *keys.Service
	guard          *guard.Guard
	handler        *entry.Handler
	broker         *brokerService
	burn           *burnRecorder
	failing        *failingTracker
	stopping       atomic.Bool
	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener
}

// Listen opens the listeners, so that their addresses are known before Run.
func (d *Daemon) Listen() error {
	var err error
	d.guard = newGuard(d.Settings, d.Logger)
	if d.callerListener, err = entry.Listen(d.Settings.CallerAddress, d.guard); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if d.peerListener, err = net.Listen("tcp", d.Settings.PeerAddress); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	if d.WrapPeerListener != nil {
		d.peerListener = d.WrapPeerListener(d.peerListener)
	}
	d.peerListener = d.guard.Listen(guard.Peers, d.peerListener)
	if d.adminListener, err = net.Listen("tcp", d.Settings.AdminAddress); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	d.adminListener = d.guard.Listen(guard.Metrics, d.adminListener)
	return nil
}

// bodyShare is the part of the memory for bodies. A body may have 8 MiB, so that several have room on a small VM.
const bodyShare = 4

// memoryOf returns the memory of the VM, or what is assumed if it is not known.
func memoryOf(s *config.Settings) ident.Bytes { return cmp.Or(s.Memory, intake.DefaultMemory) }

func newGuard(s *config.Settings, logger hclog.Logger) *guard.Guard {
	limits := s.Limits
	if limits.Bodies == 0 {
		limits.Bodies = memoryOf(s) / bodyShare
	}
	return guard.New(guard.Derive(limits, s.Memory), logger)
}

// CallerAddr returns the address that callers use, after Listen.
func (d *Daemon) CallerAddr() string { return d.callerListener.Addr().String() }

// PeerAddr returns the address that other entries use, after Listen.
func (d *Daemon) PeerAddr() string { return d.peerListener.Addr().String() }

// AdminAddr returns the address for health, metrics and status, after Listen.
func (d *Daemon) AdminAddr() string { return d.adminListener.Addr().String() }

// Run serves until ctx is done, then stops gracefully. It calls Listen unless that was done before.
func (d *Daemon) Run(ctx context.Context) error {
	// Buffers of bodies are replaced as they grow. Without a limit their garbage may take as much memory again as the bodies,
	// and more while the processor is busy.
	debug.SetMemoryLimit(int64(memoryOf(d.Settings)) / 2)
	if d.Clock == nil {
		d.Clock = clock.System()
	}
	if d.callerListener == nil {
		if err := d.Listen(); err != nil {
			return err
		}
	}
	d.follower = follow.New()
	d.follower.Log = &plat.Client{BaseURL: d.Settings.PlatformURL}
	d.follower.Clock = d.Clock
	d.follower.Logger = d.Logger.Named("follow")
	d.peers = d.newPeers()
	d.keys = d.newKeys()
	d.follower.Links = d.peers
	d.follower.Zone = d.Settings.Zone
	d.follower.Bind()
	d.broker = d.newBrokerService()
	d.failing = newFailingTracker(d.peers, d.Clock, d.broker)
	client := target.New()
	defer client.Close()
	d.burn = &burnRecorder{meter: burn.NewMeter(d.Clock), state: d.follower, next: newRequestMetrics(d.Settings.Entry)}
	d.handler = &entry.Handler{
		State: d.follower, Permits: d.broker, Claims: d.keys, Targets: client,
		Recorder: d.burn, Clock: d.Clock, Guard: d.guard, Logger: d.Logger.Named("entry"),
	}
	d.Logger.Info("serving", "caller", d.CallerAddr(), "peer", d.peerListener.Addr().String(), "admin", d.AdminAddr())
	// All components that callers' requests need run until the last request has finished, also after ctx is done.
	runCtx, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	defer d.Clock.Every(failingInterval, d.failing.broadcast).Stop()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return d.peers.Run(runCtx) })
	g.Go(func() error { return d.keys.Run(runCtx) })
	g.Go(func() error { return d.follower.Run(runCtx) })
	g.Go(func() error { return d.broker.Run(runCtx) })
	g.Go(func() error { return d.newPlanner().Run(runCtx) })
	g.Go(func() error { return d.newCheckpointer().run(runCtx) })
	g.Go(func() error { return d.serveAdmin(runCtx) })
	g.Go(func() error { defer stopAll(); return d.serveCallers(runCtx, ctx) })
	return g.Wait()
}
