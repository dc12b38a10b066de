package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/daemon"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/usage"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	benchPeerKey      = "bench-peer-key-0123456789"
	warmUpTime        = 3 * time.Second // covers the first heartbeats and list reads
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	idleZones         = 3
	serveTimeout      = 5 * time.Second
	endsPerLink       = 2 // a peer link's bytes are counted only at the node that accepted it, but both nodes carry them
)

// byteCounter counts the bytes that connections read and write.
type byteCounter struct{ n atomic.Int64 }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	count *byteCounter
}

// Accept returns a connection whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, count: l.count}, nil
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	count *byteCounter
}

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.n.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.n.Add(int64(n))
	return n, err
}

// localFleet runs a fake platform with a published file and some daemons in this process.
type localFleet struct {
	platform      *fakes.Platform
	url           string
	peerBytes     byteCounter // of peer links, counted at the accepting node only
	platformBytes byteCounter // of requests to the fake platform
	stop          context.CancelFunc
	group         *errgroup.Group
	ctx           context.Context
	daemons       []*daemon.Daemon
}

// newIdleFleet returns a fleet in which one fake target serves the addresses of all VMs.
// Unreachable targets would be probed all the time, so the fleet would not be idle.
func newIdleFleet(ctx context.Context, vms int) (*localFleet, error) {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	f, err := newLocalFleet(ctx, EvenFleet(vms, l.Addr().(*net.TCPAddr).Port))
	if err != nil {
		_ = l.Close() // nothing was served on it
		return nil, err
	}
	srv := &http.Server{Handler: fakes.NewTarget("idle").Handler(), ReadHeaderTimeout: serveTimeout}
	go func() { _ = srv.Serve(l) }() // ends when closed below
	stop := f.stop
	f.stop = func() { stop(); _ = srv.Close() }
	return f, nil
}

// newLocalFleet starts a fake platform, publishes file on it and returns a fleet without daemons.
func newLocalFleet(ctx context.Context, file *fleet.File) (*localFleet, error) {
	f := &localFleet{platform: fakes.NewPlatform()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.url = "http://" + l.Addr().String()
	ctx, stop := context.WithCancel(ctx)
	f.stop = stop
	f.group, f.ctx = errgroup.WithContext(ctx)
	srv := &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: serveTimeout}
	go func() { _ = srv.Serve(countingListener{l, &f.platformBytes}) }() // ends when closed below
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return f, f.publish(file)
}

// publish adds the file's VMs to the platform and appends the file to the log.
func (f *localFleet) publish(file *fleet.File) error {
	for i := range file.VMs {
		vm := &file.VMs[i]
		f.platform.SetVM(plat.ListedVM{ID: string(vm.ID), Zone: vm.Zone, Address: vm.Address, Kind: plat.KindTarget, State: plat.Live})
	}
	chunks, err := fold.PublishChunks(fold.Publish{Header: fold.Header{ID: "all"}, File: file}, fold.Empty().File)
	if err != nil {
		return err
	}
	client := &plat.Client{BaseURL: f.url}
	for _, c := range chunks {
		b, err := wire.Encode(c)
		if err != nil {
			return err
		}
		if _, err := client.Append(f.ctx, plat.ConfigStream, b); err != nil {
			return err
		}
	}
	return nil
}

// addDaemon starts a daemon and waits until it is ready.
func (f *localFleet) addDaemon() error {
	n := len(f.daemons) + 1
	d := &daemon.Daemon{
		Settings: &config.Settings{
			Entry: ident.EntryID(fmt.Sprintf("entry-%02d-%d", n, time.Now().UnixNano())), Zone: ident.ZoneID(fmt.Sprintf("zone-%02d", n%idleZones)),
			CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", PlatformURL: f.url, PeerKey: benchPeerKey,
		},
		Logger:           hclog.NewNullLogger(),
		WrapPeerListener: func(l net.Listener) net.Listener { return countingListener{l, &f.peerBytes} },
	}
	if err := d.Listen(); err != nil {
		return err
	}
	f.platform.SetVM(plat.ListedVM{ID: string(d.Settings.Entry), Zone: d.Settings.Zone, Address: d.PeerAddr(), Kind: plat.KindEntry, State: plat.Live})
	f.daemons = append(f.daemons, d)
	f.group.Go(func() error { return d.Run(f.ctx) })
	return waitReady(f.ctx, d.AdminAddr())
}

// waitReady polls /readyz at the daemon's administration address until it reports ready.
func waitReady(ctx context.Context, adminAddress string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close() // only the status code is used
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "daemon did not become ready")
		case <-time.After(readyPollInterval):
		}
	}
}

// measureIdle observes idle daemons of a fleet with the given number of VMs, for each number of entries.
func (r *CapacityResult) measureIdle(ctx context.Context, vms int, entries []int, idleTime time.Duration) error {
	f, err := newIdleFleet(ctx, vms)
	if err != nil {
		return err
	}
	defer func() { f.stop(); _ = f.group.Wait() }()
	for _, n := range entries {
		rssBefore, daemonsBefore := rssMegabytes(), len(f.daemons)
		for len(f.daemons) < n {
			if err := f.addDaemon(); err != nil {
				return err
			}
		}
		time.Sleep(warmUpTime)
		peerBytes, platformBytes, cpu := f.peerBytes.n.Load(), f.platformBytes.n.Load(), usage.CPUTime()
		time.Sleep(idleTime)
		perNodeAndSecond := func(total int64) float64 { return float64(total) / float64(n) / idleTime.Seconds() }
		rss := rssMegabytes()
		r.Entries = append(r.Entries, n)
		r.IdleVMs = append(r.IdleVMs, vms)
		r.PeerBytesPerSecondIdle = append(r.PeerBytesPerSecondIdle, endsPerLink*perNodeAndSecond(f.peerBytes.n.Load()-peerBytes))
		r.PlatformBytesPerSecond = append(r.PlatformBytesPerSecond, perNodeAndSecond(f.platformBytes.n.Load()-platformBytes))
		r.ControlCPUPercentIdle = append(r.ControlCPUPercentIdle, 100*perNodeAndSecond(int64(usage.CPUTime()-cpu))/float64(time.Second))
		r.RSSMegabytes = append(r.RSSMegabytes, rss)
		r.RSSMegabytesPerExtraDaemon = append(r.RSSMegabytesPerExtraDaemon, (rss-rssBefore)/float64(n-daemonsBefore))
	}
	return nil
}

// rssMegabytes returns the resident memory of this process after freed memory was returned to the system.
func rssMegabytes() float64 {
	debug.FreeOSMemory()
	return float64(usage.ResidentMemory()) / bytesPerMegabyte
}
