package daemon

import (
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	failingInterval = 5 * time.Second
	// failingReportTTL is how long a report counts after it was received. An older one is
	// dropped, because nothing is known about the targets of a broker that cannot be reached.
	failingReportTTL = 3 * failingInterval
)

// failingVMs is the message that tells the other entries which VMs' targets the sender's brokers have ejected.
type failingVMs struct {
	wire.MessageBase `cbor:"-"`
	VMs              []ident.VMID `cbor:"vms"`
}

func init() { wire.Register[failingVMs]("failing_vms") }

// failingTracker collects which VMs the brokers of all entries find failing. An
// entry sends its list as long as it is not empty, and once more when it has become empty.
type failingTracker struct {
	links   peer.Transport
	clock   clock.Clock
	brokers interface{ Status() broker.Status }

	mu           sync.Mutex
	reports      map[ident.EntryID]failingReport
	lastNonEmpty bool // whether the previous list of this entry was not empty
}

type failingReport struct {
	received time.Time
	vms      []ident.VMID
}

// newFailingTracker returns a tracker that handles the messages of links, which must not run yet.
func newFailingTracker(links peer.Transport, c clock.Clock, brokers interface{ Status() broker.Status }) *failingTracker {
	t := &failingTracker{links: links, clock: c, brokers: brokers, reports: map[ident.EntryID]failingReport{}}
	links.Handle(func(from ident.EntryID, m wire.Message) {
		if report, ok := m.(failingVMs); ok {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reports[from] = failingReport{received: c.Now(), vms: report.VMs}
		}
	})
	return t
}

// broadcast sends this entry's list, if due, to all entries that are up, itself included.
func (t *failingTracker) broadcast() {
	var list failingVMs
	for _, brokerStatus := range t.brokers.Status().Brokers {
		for _, target := range brokerStatus.Targets {
			if target.Ejected {
				list.VMs = append(list.VMs, target.VM)
			}
		}
	}
	t.mu.Lock()
	due := len(list.VMs) > 0 || t.lastNonEmpty
	t.lastNonEmpty = len(list.VMs) > 0
	t.mu.Unlock()
	if !due {
		return
	}
	for id, m := range t.links.View().Members {
		if m.State == peer.Up {
			_ = t.links.Send(id, list) // a lost message is made up for after failingInterval
		}
	}
}

// vms returns the VMs that any entry has reported as failing within failingReportTTL.
func (t *failingTracker) vms() map[ident.VMID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[ident.VMID]bool{}
	for id, r := range t.reports {
		if t.clock.Now().Sub(r.received) > failingReportTTL {
			delete(t.reports, id)
			continue
		}
		for _, vm := range r.vms {
			out[vm] = true
		}
	}
	return out
}
