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
	// viewSettleTime is how long after its start an entry waits before it assumes that its view contains all other
	// entries of its zone. The entry reads the live list when it starts.
	viewSettleTime       = 1500 * time.Millisecond
	recordDrainedTimeout = 20 * time.Second // for one append; if it fails, the broker reports the VM again
)

// brokerService runs the permit protocol and appends a record to the log for each VM that has drained.
type brokerService struct {
	*broker.Service
	daemon  *Daemon
	started time.Time

	mu            sync.Mutex
	appending     map[ident.VMID]ident.Epoch // epoch of the append in progress for each VM
	appends       sync.WaitGroup
	appendCtx     context.Context // canceled to end the appends
	cancelAppends context.CancelFunc
}

// newBrokerService returns the broker service, bound to the links to other entries.
func (d *Daemon) newBrokerService() *brokerService {
	b := &brokerService{daemon: d, started: d.Clock.Now(), appending: map[ident.VMID]ident.Epoch{}}
	b.appendCtx, b.cancelAppends = context.WithCancel(context.Background())
	b.Service = &broker.Service{
		Links: d.peers, State: d.follower, Clock: d.Clock, Zone: d.Settings.Zone,
		Logger: d.Logger.Named("broker"),
		Prober: &broker.HTTPProber{Client: &http.Client{ // a new connection for each probe: a reused one may no longer carry data
			Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
		}},
		ZoneKnown: func() bool { return d.Clock.Now().Sub(b.started) > viewSettleTime },
		OnDrained: b.onDrained,
	}
	b.Bind()
	metrics().permits.Set(string(d.Settings.Entry), b.Counters())
	return b
}

// Run serves until ctx is done, then cancels the appends in progress and waits for them.
func (b *brokerService) Run(ctx context.Context) error {
	err := b.Service.Run(ctx)
	b.cancelAppends()
	b.appends.Wait()
	return err
}

// onDrained starts to record that a VM has drained, unless an append for the VM is in progress.
func (b *brokerService) onDrained(vm ident.VMID, epoch ident.Epoch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, busy := b.appending[vm]; busy || b.appendCtx.Err() != nil {
		return
	}
	b.appending[vm] = epoch
	b.appends.Go(func() {
		defer func() {
			b.mu.Lock()
			delete(b.appending, vm)
			b.mu.Unlock()
		}()
		b.recordDrained(vm, epoch)
	})
}

// recordDrained appends the record that a VM has no work left.
func (b *brokerService) recordDrained(vm ident.VMID, epoch ident.Epoch) {
	ctx, cancel := context.WithTimeout(b.appendCtx, recordDrainedTimeout)
	defer cancel()
	now := b.daemon.Clock.Now()
	entry := string(b.daemon.Settings.Entry)
	outcome, err := b.daemon.follower.Append(ctx, fold.DrainDone{
		Header: fold.Header{
			ID:     ident.RecordID(fmt.Sprintf("drained/%s/%d/%s/%d", vm, epoch, entry, now.UnixNano())),
			Writer: entry, Time: now, ConfigRead: b.daemon.follower.Snapshot().ConfigOffset,
		},
		VMStep: fold.VMStep{VM: vm, Epoch: epoch},
	})
	switch {
	case err != nil:
		b.Logger.Warn("failed to record a drained VM; the broker will report it again", "vm", vm, "error", err)
	case outcome.Result != fold.Accepted:
		b.Logger.Info("record of a drained VM had no effect: the drain was already recorded or the VM has changed", "vm", vm, "reason", outcome.Reason)
	default:
		b.Logger.Info("recorded that a VM has drained", "vm", vm, "epoch", epoch)
	}
}

// serveBrokers writes the state of this entry's brokers and permits as JSON.
func (b *brokerService) serveBrokers(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.Status()) // the client notices a failed write
}
