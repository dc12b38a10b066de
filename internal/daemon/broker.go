package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// viewTime is how long after its start an entry lets other entries appear in its view before it counts on having
	// seen all of them. The live list is read at the start.
	viewTime     = 1500 * time.Millisecond
	drainedLimit = 20 * time.Second // for one append; the broker reports the VM again
)

// brokerage connects the permit protocol with the log.
type brokerage struct {
	*broker.Service
	daemon  *Daemon
	started time.Time

	mu       sync.Mutex
	appended map[ident.VMID]ident.Epoch // appends in progress
	work     sync.WaitGroup
	stop     context.Context // ends the appends
	cancel   context.CancelFunc
}

// newBrokerage returns the broker service, bound to the links.
func (d *Daemon) newBrokerage() *brokerage {
	b := &brokerage{daemon: d, started: d.Clock.Now(), appended: map[ident.VMID]ident.Epoch{}}
	b.stop, b.cancel = context.WithCancel(context.Background())
	b.Service = &broker.Service{
		Links: d.peers, State: d.follower, Clock: d.Clock, Zone: d.Settings.Zone,
		Logger: d.Logger.Named("broker"),
		Prober: &broker.HTTPProber{Client: &http.Client{ // a new connection for each probe is never a silent one
			Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
		}},
		ZoneKnown: func() bool { return d.Clock.Now().Sub(b.started) > viewTime },
		OnDrained: b.drained,
	}
	b.Bind()
	metrics().permits.Set(string(d.Settings.Entry), b.Counters())
	return b
}

// Run serves until ctx is done and waits for the appends.
func (b *brokerage) Run(ctx context.Context) error {
	err := b.Service.Run(ctx)
	b.cancel()
	b.work.Wait()
	return err
}

// drained appends the record that a VM is free of work.
func (b *brokerage) drained(vm ident.VMID, epoch ident.Epoch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, busy := b.appended[vm]; busy || b.stop.Err() != nil {
		return
	}
	b.appended[vm] = epoch
	b.work.Go(func() {
		defer func() {
			b.mu.Lock()
			delete(b.appended, vm)
			b.mu.Unlock()
		}()
		b.append(vm, epoch)
	})
}

func (b *brokerage) append(vm ident.VMID, epoch ident.Epoch) {
	ctx, cancel := context.WithTimeout(b.stop, drainedLimit)
	defer cancel()
	now := b.daemon.Clock.Now()
	entry := string(b.daemon.Settings.Entry)
	verdict, err := b.daemon.follower.Append(ctx, fold.DrainDone{
		Header: fold.Header{
			ID:     ident.RecordID(fmt.Sprintf("drained/%s/%d/%s/%d", vm, epoch, entry, now.UnixNano())),
			Writer: entry, Time: now, ConfigRead: b.daemon.follower.Snapshot().ConfigOffset,
		},
		VMStep: fold.VMStep{VM: vm, Epoch: epoch},
	})
	switch {
	case err != nil:
		b.Logger.Warn("drained VM not recorded; the broker reports it again", "vm", vm, "error", err)
	case verdict.Result != fold.Accepted:
		b.Logger.Info("drained VM was already recorded or has changed", "vm", vm, "reason", verdict.Reason)
	default:
		b.Logger.Info("VM is free of work", "vm", vm, "epoch", epoch)
	}
}

// serveBrokers writes the state of the brokers and permits on this entry.
func (b *brokerage) serveBrokers(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.Status()) // the reader sees a broken connection
}
