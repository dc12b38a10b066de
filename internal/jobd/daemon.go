package jobd

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/maint"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/route"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/watch"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Platform is what the daemon needs of its surroundings; platform/ provides it.
type Platform struct {
	Log plog.Log
	// OperatorPartition and TargetsPartition are the partitions that operators and targets write, and
	// StatusPartition the one that operators read.
	OperatorPartition, TargetsPartition, StatusPartition plog.TopicPartition
	ConfigKey                                            string
	DecodeConfig                                         func([]byte) (*work.Config, error)
	DecodeRegistration                                   func(string, []byte) (work.Registration, error)
	NewCaller                                            func(work.TargetID, string) agent.Client
	Adviser                                              agent.Adviser // nil where there is none
	Cloud                                                maint.Cloud   // nil where VMs can't be moved
	IsWaveKey                                            func(key string) bool
	DecodeWave                                           func([]byte) (work.Wave, error)
	EncodeWaveStatus                                     func(wave int64, completed bool) (plog.Record, error)
	// NewClientHandler returns the handler of clients' requests.
	NewClientHandler func(*Service) http.Handler
}

const (
	groupName = "toucanhatch"
	// groupTTL is how long a partition stays with a killed owner; the platform allows no less than its min_ttl.
	groupTTL = 1200 * time.Millisecond
	// configWait is how long one read waits for a new configuration.
	configWait = 2 * time.Second
	// targetsWait and targetsPause bound the reads of the registrations, of which some come in each tenth
	// of a second; a VM that joins a pool is known that much later.
	targetsWait  = time.Second
	targetsPause = 150 * time.Millisecond
	// lameDuck is how long a stopping process still answers on open connections after it
	// stopped being ready: the balancer looks once a second and acts on the second miss.
	lameDuck = 2500 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 700 * time.Millisecond
	// clientIdle ends idle connections of clients.
	clientIdle    = 30 * time.Second
	headerTimeout = 3 * time.Second
	maxHeader     = 16 << 10
	// heapPercent lets the heap grow threefold between collections, which otherwise take a fifth of the processor of a large pool's owner.
	heapPercent = 200
)

// Daemon is one jobs daemon. Set its exported fields before Run.
type Daemon struct {
	Settings *Settings
	// SettingsPath is read again when Reload receives, and when the file changes.
	SettingsPath string
	Reload       <-chan os.Signal
	Platform     *Platform
	Logger       hclog.Logger
	Clock        clock.Clock

	service   *Service
	owners    *owners
	standby   *standby
	member    *group.Member
	directory *lookup.Directory
	// targetWatch follows the registrations while this process owns a partition.
	targetWatch *watch.Watcher
	stopping    atomic.Bool
	bounds      atomic.Pointer[Settings] // the settings in force
	ctx         context.Context
}

// Run serves until ctx is done, then hands its partitions over and stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(heapPercent)
	if d.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(d.Settings.Memory) / 2)
	}
	d.bounds.Store(d.Settings)
	d.build()
	client, ready, peer, err := d.listen(ctx)
	if err != nil {
		return err
	}
	// Requests in progress outlive the signal to stop.
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	d.ctx = running
	var wg sync.WaitGroup
	clients := d.httpServer(d.Platform.NewClientHandler(d.service))
	checks := d.httpServer(http.HandlerFunc(d.readiness))
	links := &link.Server{Listener: peer, Handler: d.service.HandlePeerRequest, Logger: d.Logger}
	failed := make(chan error, 3)
	wg.Go(func() { failed <- links.Run(running) })
	wg.Go(func() { failed <- serve(clients, client) })
	wg.Go(func() { failed <- serve(checks, ready) })
	d.background(running, &wg)
	leave := d.join(running)
	d.Logger.Info("start", "entry", d.Settings.Entry, "zone", d.Settings.Zone, "client", d.Settings.ClientAddress, "peer", d.Settings.PeerAddress, "member", d.member.ID)
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.Logger.Error("a listener failed", "error", err)
	}
	begin := d.Clock.Now()
	d.handOver(running, clients, leave)
	_ = checks.Close() // nobody needs the check any more
	end()
	wg.Wait()
	d.Logger.Info("stop", "took", d.Clock.Now().Sub(begin))
	return err
}

// background starts what follows the platform and the settings.
func (d *Daemon) background(ctx context.Context, wg *sync.WaitGroup) {
	d.targetWatch = d.watchTargets()
	parts := map[string]func(context.Context){
		"settings": d.watchSettings, "configuration": d.watchConfig().Run, "registrations": d.targetWatch.Run,
		"owners": d.owners.Run, "reach": d.service.watchReach, "wall clock": d.service.watchWall,
	}
	if d.Settings.MetricsAddress != "" {
		parts["metrics"] = d.serveMetrics
	}
	for part, run := range parts {
		wg.Go(func() { panics.RestartOnPanic(ctx, d.Clock, d.Logger, part, func() { run(ctx) }) })
	}
}

// join enters the group; the function that it returns leaves it and waits until the partitions are given up.
func (d *Daemon) join(ctx context.Context) (leave func()) {
	membership, cancel := context.WithCancel(ctx)
	var left sync.WaitGroup
	left.Go(func() {
		panics.Catch(d.Logger, "start of standby", func() { d.standby.await(membership) })
		left.Go(func() {
			panics.RestartOnPanic(membership, d.Clock, d.Logger, "standby", func() { d.standby.Run(membership) })
		})
		panics.RestartOnPanic(membership, d.Clock, d.Logger, "membership", func() { d.member.Run(membership) })
	})
	return func() {
		cancel()
		left.Wait()
	}
}

// handOver gives the partitions up, answers clients until the balancer has noticed, and ends their connections.
func (d *Daemon) handOver(ctx context.Context, clients *http.Server, leave func()) {
	begin := d.Clock.Now()
	d.Logger.Info("stopping")
	d.stopping.Store(true)
	clients.SetKeepAlivesEnabled(false)
	leave()
	d.hintOthers(ctx)
	d.Logger.Info("handed over", "took", d.Clock.Now().Sub(begin))
	_ = clock.Sleep(ctx, d.Clock, lameDuck-d.Clock.Now().Sub(begin)) // the context has no end yet
	rest := d.Settings.StopGrace.Duration - stopMargin - d.Clock.Now().Sub(begin)
	shut, cancel := context.WithTimeout(ctx, max(rest, 0))
	defer cancel()
	if err := clients.Shutdown(shut); err != nil {
		d.Logger.Warn("requests were still in progress at the end", "error", err)
	}
}

func (d *Daemon) build() {
	s, p := d.Settings, d.Platform
	links := &link.Client{}
	d.owners = &owners{Log: p.Log, Group: groupName, Self: s.PeerAddress, Links: links, Clock: d.Clock, Logger: d.Logger, wake: make(chan struct{}, 1)}
	d.member = &group.Member{
		Log: p.Log, Group: groupName, ID: newMemberID(s.PeerAddress, time.Now()), Topics: []plog.Topic{shard.JobsTopic},
		TTL: max(groupTTL, s.Log.MinTTL.Duration), StartOwner: d.startOwner, Standby: func() bool { return d.standby.On() }, AfterLeave: func() { d.hintOthers(d.ctx) }, Clock: d.Clock, Logger: d.Logger,
	}
	d.member.Init()
	d.service = &Service{Partitions: s.Log.Partitions, PeerAddress: s.PeerAddress, Member: d.member, Owners: d.owners, PeerClient: links, Clock: d.Clock, Logger: d.Logger}
	d.standby = &standby{
		Log: p.Log, Self: s.PeerAddress, CPU: s.CPU(), Links: d.service.PeerClient, Owners: d.owners, Parts: s.Log.Partitions, Clock: d.Clock, Logger: d.Logger,
	}
	d.directory = &lookup.Directory{Decode: p.DecodeRegistration, Clock: d.Clock, Logger: d.Logger}
}

func (d *Daemon) listen(ctx context.Context) (client, ready, peer net.Listener, err error) {
	for _, l := range []struct {
		to   *net.Listener
		addr string
	}{{&client, d.Settings.ClientAddress}, {&ready, d.Settings.ReadinessAddress}, {&peer, d.Settings.PeerAddress}} {
		if *l.to, err = link.Listen(ctx, l.addr); err != nil {
			return nil, nil, nil, err
		}
	}
	return client, ready, peer, nil
}

func (d *Daemon) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle, MaxHeaderBytes: maxHeader,
		ErrorLog: log.New(io.Discard, "", 0), // connections that break are the clients' concern
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readiness tells the balancer whether this process can serve clients.
func (d *Daemon) readiness(w http.ResponseWriter, r *http.Request) {
	if d.stopping.Load() || d.service.routes.Load() == nil || !d.owners.Known() || !d.service.CheckConnected(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// hintOthers tells the other processes that the partitions have passed on.
func (d *Daemon) hintOthers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, addr := range d.owners.Addresses() {
		if addr == d.Settings.PeerAddress {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, hintTimeout)
			defer cancel()
			if _, err := link.Call[struct{}](ctx, d.service.PeerClient, addr, methodRejoin, struct{}{}); err != nil {
				d.Logger.Debug("hint not delivered", "peer", addr, "error", err)
			}
		})
	}
	wg.Wait()
	d.owners.Hint()
}

// hintTimeout bounds a hint, without which the others find out within one join period.
const hintTimeout = 300 * time.Millisecond

func (d *Daemon) watchConfig() *watch.Watcher {
	apply := func(r plog.Record) {
		if d.Platform.IsWaveKey(r.Key) && len(r.Value) > 0 {
			w, err := d.Platform.DecodeWave(r.Value)
			if err != nil {
				d.Logger.Error("a wave can't be read", "key", r.Key, "error", err)
				return
			}
			d.service.setWave(w)
			return
		}
		if r.Key != d.Platform.ConfigKey || len(r.Value) == 0 {
			return
		}
		c, err := d.Platform.DecodeConfig(r.Value)
		if err != nil {
			d.Logger.Error("the configuration can't be read; the last one stays in force", "error", err)
			return
		}
		old := d.service.routes.Load()
		if old != nil && c.Version <= old.Version {
			return
		}
		d.service.routes.Store(route.New(c))
		d.Logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "pools", len(c.Pools))
	}
	return &watch.Watcher{
		Log: d.Platform.Log, Partition: d.Platform.OperatorPartition, ReadWait: configWait, Clock: d.Clock, Logger: d.Logger,
		Replace: func(records []plog.Record) {
			for _, r := range records {
				apply(r)
			}
		},
		Apply: apply,
	}
}

func (d *Daemon) watchTargets() *watch.Watcher {
	w := &watch.Watcher{
		Log: d.Platform.Log, Partition: d.Platform.TargetsPartition, ReadWait: targetsWait, ReadPause: targetsPause, Enabled: d.member.OwnsAny,
		Replace: d.directory.Replace, Apply: d.directory.Apply, Clock: d.Clock, Logger: d.Logger,
	}
	w.Init()
	return w
}

func (d *Daemon) serveMetrics(ctx context.Context) {
	l, err := link.Listen(ctx, d.Settings.MetricsAddress)
	if err != nil {
		d.Logger.Error("metrics are not served", "error", err)
		return
	}
	srv := d.httpServer(metricsHandler())
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := serve(srv, l); err != nil {
		d.Logger.Error("metrics are not served any more", "error", err)
	}
}
