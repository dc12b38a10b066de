package daemon

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

type fixedStatus struct{ status broker.Status }

func (f *fixedStatus) Status() broker.Status { return f.status }

// Guards against a planner that replaces only VMs that its own entry's brokers find failing,
// and against VMs that count as failing after they have recovered or their broker is gone.
func TestFailingVMsReachOtherEntries(t *testing.T) {
	c := clock.NewManual(time.Unix(0, 0))
	network := peer.NewMemNetwork()
	linksA, linksB := network.Join("entry-a", "kg-a"), network.Join("entry-b", "kg-b")
	ejected := broker.Status{Brokers: []broker.CoreStatus{{Targets: []broker.TargetStatus{{VM: "kg-a-01", Ejected: true}, {VM: "kg-a-02"}}}}}
	source := &fixedStatus{status: ejected}
	a := newFailingTracker(linksA, c, source)
	b := newFailingTracker(linksB, c, &fixedStatus{})
	check := func(when string, want bool) {
		t.Helper()
		linksA.Deliver()
		linksB.Deliver()
		for name, tracker := range map[ident.EntryID]*failingTracker{"entry-a": a, "entry-b": b} {
			got := tracker.vms()
			if got["kg-a-01"] != want || got["kg-a-02"] {
				t.Errorf("%s, %s: failing = %v, want kg-a-01 to be %v", when, name, got, want)
			}
		}
	}
	a.broadcast()
	check("ejected", true)
	source.status = broker.Status{}
	a.broadcast()
	check("recovered", false)
	source.status = ejected
	a.broadcast()
	check("ejected again", true)
	c.Advance(failingReportTTL + time.Second)
	check("report expired", false)
}
