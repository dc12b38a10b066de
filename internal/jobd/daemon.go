package jobd

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/advise"
	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/maint"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/watch"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Platform holds what the daemon needs from the platform; package platform provides it.
type Platform struct {
	Log plog.Log
	// Operators write OperatorPartition and read StatusPartition; targets register themselves in TargetsPartition.
	OperatorPartition, TargetsPartition, StatusPartition plog.TopicPartition
	ConfigKey                                            string
	DecodeConfig                                         func([]byte) (*work.Config, error)
	// RedactConfig replaces the keys in an encoded configuration by their digests. It may be nil if there are no keys.
	RedactConfig       func([]byte) ([]byte, error)
	DecodeRegistration func(string, []byte) (work.Registration, error)
	NewTargetClient    func(work.TargetID, string) agent.Client
	Adviser            agent.Adviser // nil if there is no advice service
	Cloud              maint.Cloud   // nil if VMs can't be moved
	IsWaveKey          func(key string) bool
	DecodeWave         func([]byte) (work.Wave, error)
	EncodeWaveStatus   func(wave int64, completed bool) (plog.Record, error)
	// NewClientHandler returns the HTTP handler for clients' requests.
	NewClientHandler func(*Service) http.Handler
}

const (
	groupName = "toucanhatch"
	// membershipTTL is how long a partition stays assigned to a killed owner. The platform accepts no less than its min_ttl.
	membershipTTL = 1200 * time.Millisecond
	// targetsReadPause is the time between two reads of registrations. They arrive in every tenth of a second, so it limits
	// the number of reads; a VM that joins a pool becomes known that much later.
	targetsReadPause = 150 * time.Millisecond
	// drainTime is how long a stopping daemon still answers on open connections after it
	// reports not ready: the load balancer checks once a second and acts on the second failure.
	drainTime = 2500 * time.Millisecond
	// exitMargin is the part of the stop grace that is left for the exit of the process.
	exitMargin = 700 * time.Millisecond
	// gcPercent lets the heap grow threefold between garbage collections. At the default value they
	// take a fifth of the processor time of a large pool's owner.
	gcPercent = 200
)

// Daemon is one jobs daemon. Set its exported fields before Run.
type Daemon struct {
	Settings *Settings
	// SettingsPath is read again on a signal from Reload, and when the content of the file has changed.
	SettingsPath string
	Reload       <-chan os.Signal
	Platform     *Platform
	Logger       hclog.Logger
	Clock        clock.Clock
	// DialPeer, if set, connects to other daemons in place of the net package.
	DialPeer func(ctx context.Context, network, addr string) (net.Conn, error)

	service   *Service
	space     *space.Total  // that the jobs of all owned partitions take
	adviser   agent.Adviser // shared by all owned partitions; nil if there is no advice service
	owners    *ownerTable
	standby   *standby
	member    *group.Member
	directory *lookup.Directory
	// targetWatcher reads the registrations of targets while this daemon owns a partition.
	targetWatcher  *watch.Watcher
	stopping       atomic.Bool
	activeSettings atomic.Pointer[Settings] // as last reloaded
	ctx            context.Context          // ends after the last client request
}

// Run serves until ctx is done or a listener fails, then releases its partitions and stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if d.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(d.Settings.Memory) / 2)
	}
	d.activeSettings.Store(d.Settings)
	d.build()
	clientListener, readinessListener, peerListener, err := d.listen(ctx)
	if err != nil {
		return err
	}
	// Requests in progress are completed after ctx is done.
	runCtx, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	d.ctx = runCtx
	var wg sync.WaitGroup
	clientServer := d.service.Guard.Server(d.Platform.NewClientHandler(d.service))
	readinessServer := d.service.Guard.ShortServer(http.HandlerFunc(d.serveReadiness))
	peerServer := &link.Server{Listener: peerListener, Handler: d.service.HandlePeerRequest, Guard: d.service.Guard, Logger: d.Logger}
	failed := make(chan error, 3)
	wg.Go(func() { failed <- peerServer.Run(runCtx) })
	wg.Go(func() { failed <- serve(clientServer, clientListener) })
	wg.Go(func() { failed <- serve(readinessServer, readinessListener) })
	d.startBackground(runCtx, &wg)
	leave := d.joinGroup(runCtx)
	d.Logger.Info("daemon started", "entry", d.Settings.Entry, "zone", d.Settings.Zone, "client", d.Settings.ClientAddress, "peer", d.Settings.PeerAddress, "member", d.member.ID,
		"partition_space", d.Settings.partitionSpace(), "space", d.space.Limit)
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.Logger.Error("server failed; the daemon stops", "error", err)
	}
	begin := d.Clock.Now()
	d.shutDown(runCtx, clientServer, leave)
	_ = readinessServer.Close() // the load balancer has already removed this daemon
	stopAll()
	wg.Wait()
	d.Logger.Info("daemon stopped", "took", d.Clock.Now().Sub(begin))
	return err
}

// startBackground starts the loops that read the platform's log, other daemons and the settings file. A loop that
// panics is restarted.
func (d *Daemon) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	d.targetWatcher = d.newTargetWatcher()
	loops := map[string]func(context.Context){
		"settings": d.watchSettings, "configuration": d.service.Config.Run, "registrations": d.targetWatcher.Run,
		"owners": d.owners.Run, "reach": d.service.watchConnectivity, "wall clock": d.service.watchWallClock,
	}
	if d.Settings.MetricsAddress != "" {
		loops["metrics"] = d.serveMetrics
	}
	for name, run := range loops {
		wg.Go(func() { panics.RestartOnPanic(ctx, d.Clock, d.Logger, name, func() { run(ctx) }) })
	}
}

// joinGroup joins the group in the background. The function that it returns leaves the group and waits until the
// partitions are released.
func (d *Daemon) joinGroup(ctx context.Context) (leave func()) {
	memberCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		panics.Catch(d.Logger, "start of standby", func() { d.standby.awaitStronger(memberCtx) })
		wg.Go(func() {
			panics.RestartOnPanic(memberCtx, d.Clock, d.Logger, "standby", func() { d.standby.Run(memberCtx) })
		})
		panics.RestartOnPanic(memberCtx, d.Clock, d.Logger, "membership", func() { d.member.Run(memberCtx) })
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// shutDown releases the partitions, answers clients until the load balancer has removed this daemon, and then closes
// their connections.
func (d *Daemon) shutDown(ctx context.Context, clientServer *http.Server, leave func()) {
	begin := d.Clock.Now()
	d.Logger.Info("daemon stopping")
	d.stopping.Store(true)
	clientServer.SetKeepAlivesEnabled(false)
	leave()
	d.notifyPeers(ctx)
	d.Logger.Info("partitions released", "took", d.Clock.Now().Sub(begin))
	_ = clock.Sleep(ctx, d.Clock, drainTime-d.Clock.Now().Sub(begin)) // ctx is not canceled before shutDown returns
	remaining := d.Settings.StopGrace.Duration - exitMargin - d.Clock.Now().Sub(begin)
	shutdownCtx, cancel := context.WithTimeout(ctx, max(remaining, 0))
	defer cancel()
	if err := clientServer.Shutdown(shutdownCtx); err != nil {
		d.Logger.Warn("stopping with client requests still in progress", "error", err)
	}
}

func (d *Daemon) build() {
	s, p := d.Settings, d.Platform
	d.space = &space.Total{Limit: space.TotalLimit(s.Memory), Changed: countSpace}
	if p.Adviser != nil {
		q := &advise.Queue{Service: p.Adviser, Clock: d.Clock, Logger: d.Logger, Observe: countAdvice}
		q.Init()
		d.adviser = q
	}
	peerClient := &link.Client{Dial: d.DialPeer}
	d.owners = &ownerTable{Log: p.Log, Group: groupName, PeerAddress: s.PeerAddress, PeerClient: peerClient, Clock: d.Clock, Logger: d.Logger, refresh: make(chan struct{}, 1)}
	d.member = &group.Member{
		Log: p.Log, Group: groupName, ID: newMemberID(s.PeerAddress, time.Now()), Topics: []plog.Topic{shard.JobsTopic},
		TTL: max(membershipTTL, s.Log.MinTTL.Duration), StartOwner: d.startOwner, Standby: func() bool { return d.standby.On() }, AfterLeave: func() { d.notifyPeers(d.ctx) }, Clock: d.Clock, Logger: d.Logger,
	}
	d.member.Init()
	d.service = &Service{Partitions: s.Log.Partitions, MaxRecord: cmp.Or(s.Log.MaxRecord, defaultMaxRecord), PeerAddress: s.PeerAddress, Zone: s.Zone, Member: d.member, Owners: d.owners, PeerClient: peerClient, Clock: d.Clock, Logger: d.Logger}
	d.service.Guard = guard.New(guard.Derive(s.Limits.Limits, s.Memory), d.Logger)
	d.service.Config = &configuration{
		Platform: p, ApplyWithin: s.Bounds.configApply(), SetWave: d.service.setWave, SomePeers: d.owners.SomePeers, PeerClient: peerClient,
		Clock: d.Clock, Logger: d.Logger,
	}
	d.service.Config.init()
	d.standby = &standby{
		Log: p.Log, PeerAddress: s.PeerAddress, CPU: s.CPU(), PeerClient: d.service.PeerClient, Owners: d.owners, Partitions: s.Log.Partitions, Clock: d.Clock, Logger: d.Logger,
	}
	d.directory = &lookup.Directory{Decode: p.DecodeRegistration, Pools: d.service.Configured, Clock: d.Clock, Logger: d.Logger}
}

func (d *Daemon) listen(ctx context.Context) (client, ready, peer net.Listener, err error) {
	for _, l := range []struct {
		to   *net.Listener
		addr string
		kind guard.Kind
	}{{&client, d.Settings.ClientAddress, guard.Clients}, {&ready, d.Settings.ReadinessAddress, guard.Readiness}, {&peer, d.Settings.PeerAddress, guard.Peers}} {
		if *l.to, err = link.Listen(ctx, l.addr); err != nil {
			return nil, nil, nil, err
		}
		*l.to = d.service.Guard.Listen(l.kind, *l.to)
	}
	return client, ready, peer, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveReadiness tells the load balancer whether this daemon can serve clients.
func (d *Daemon) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if d.stopping.Load() || d.service.Config.Table() == nil || !d.owners.Loaded() || !d.service.CheckConnected(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notifyPeers tells the other daemons that this one has left the group, so that they join again and read the new owners.
func (d *Daemon) notifyPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, addr := range d.owners.Addresses() {
		if addr == d.Settings.PeerAddress {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			if _, err := link.Call[struct{}](ctx, d.service.PeerClient, addr, methodRejoin, struct{}{}); err != nil {
				d.Logger.Debug("notification not delivered", "peer", addr, "error", err)
			}
		})
	}
	wg.Wait()
	d.owners.RequestRefresh()
}

// notifyTimeout bounds a notification. Daemons that miss it learn of the change with their next join.
const notifyTimeout = 300 * time.Millisecond

func (d *Daemon) newTargetWatcher() *watch.Watcher {
	w := &watch.Watcher{
		Log: d.Platform.Log, Partition: d.Platform.TargetsPartition, ApplyWithin: d.Settings.Bounds.drain(), ReadPause: targetsReadPause, Enabled: d.member.OwnsAny,
		Replace: func(_ ident.Offset, records []plog.Record) { d.directory.Replace(records) },
		Apply:   func(_ ident.Offset, r plog.Record) { d.directory.Apply(r) }, Clock: d.Clock, Logger: d.Logger,
	}
	w.Init()
	return w
}

func (d *Daemon) serveMetrics(ctx context.Context) {
	l, err := link.Listen(ctx, d.Settings.MetricsAddress)
	if err != nil {
		d.Logger.Error("cannot listen for metrics requests", "error", err)
		return
	}
	l = d.service.Guard.Listen(guard.Metrics, l)
	srv := d.service.Guard.ShortServer(metricsHandler())
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := serve(srv, l); err != nil {
		d.Logger.Error("metrics server failed", "error", err)
	}
}
