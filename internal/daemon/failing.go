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
	failingPeriod = 5 * time.Second
	// failingLimit is how long a list counts after it arrived; a broker that
	// cannot be heard says nothing about its targets.
	failingLimit = 3 * failingPeriod
)

// failingVMs tells the other entries which targets the sender's brokers have ejected.
type failingVMs struct {
	wire.MessageBase `cbor:"-"`
	VMs              []ident.VMID `cbor:"vms"`
}

func init() { wire.Register[failingVMs]("failing_vms") }

// failingBoard keeps which VMs the brokers of all entries find failing. An
// entry sends its list when it is not empty, and once more when it has become so.
type failingBoard struct {
	links   peer.Links
	clock   clock.Clock
	brokers interface{ Status() broker.Status }

	mu     sync.Mutex
	heard  map[ident.EntryID]failingReport
	listed bool // the newest list sent was not empty
}

type failingReport struct {
	at  time.Time
	vms []ident.VMID
}

// newFailingBoard registers the board with the links, which must not run yet.
func newFailingBoard(links peer.Links, c clock.Clock, brokers interface{ Status() broker.Status }) *failingBoard {
	b := &failingBoard{links: links, clock: c, brokers: brokers, heard: map[ident.EntryID]failingReport{}}
	links.Handle(func(from ident.EntryID, m wire.Message) {
		if f, ok := m.(failingVMs); ok {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.heard[from] = failingReport{at: c.Now(), vms: f.VMs}
		}
	})
	return b
}

// announce sends this entry's list to all entries, itself included.
func (b *failingBoard) announce() {
	var list failingVMs
	for _, c := range b.brokers.Status().Brokers {
		for _, t := range c.Targets {
			if t.Ejected {
				list.VMs = append(list.VMs, t.VM)
			}
		}
	}
	b.mu.Lock()
	due := len(list.VMs) > 0 || b.listed
	b.listed = len(list.VMs) > 0
	b.mu.Unlock()
	if !due {
		return
	}
	for id, m := range b.links.View().Members {
		if m.State == peer.Up {
			_ = b.links.Send(id, list) // sent again after failingPeriod
		}
	}
}

// failing returns the VMs that a broker reported within failingLimit.
func (b *failingBoard) failing() map[ident.VMID]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[ident.VMID]bool{}
	for id, r := range b.heard {
		if b.clock.Now().Sub(r.at) > failingLimit {
			delete(b.heard, id)
			continue
		}
		for _, vm := range r.vms {
			out[vm] = true
		}
	}
	return out
}
