package broker

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// newTestCore returns a core with the targets t1 to t3, of eight slots each, and the client of its entry a, which is
// registered.
func newTestCore(now time.Time) (*Core, *zoneClient) {
	c := NewCore("p", "z", "a", 1, now)
	c.SetMembers(now, []ident.EntryID{"a"}, nil, nil)
	c.SetTargets(now, 0, []Target{{ID: "t1", Slots: 8, Serving: true}, {ID: "t2", Slots: 8, Serving: true}, {ID: "t3", Slots: 8, Serving: true}})
	z := newZoneClient("p", "z", 1, now)
	z.switchBroker(now, "a", func(ident.EntryID) bool { return false })
	exchange(c, z, now, poolDemand{})
	for _, id := range []ident.VMID{"t1", "t2", "t3"} {
		c.HandleStatus(now, now, id, 0)
	}
	return c, z
}

// exchange passes messages between the core and entry a until no further message to the core is due.
func exchange(c *Core, z *zoneClient, now time.Time, demand poolDemand) {
	for due := true; due; {
		due = false
		c.HandleDemand(now, "a", z.nextDemand(now, demand, 0))
		for _, e := range c.Effects() {
			if s, ok := e.(Send); ok && s.To == "a" {
				due = z.handleGrant(now, "a", s.Msg.(Grant)) || due
			}
		}
	}
}

// Guards against a target that stays in use although it fails requests that others complete, and against targets that
// are ejected because of a job that fails on every target.
func TestEjectionAndQuarantine(t *testing.T) {
	now := time.Unix(1e6, 0)
	for _, tc := range []struct {
		name     string
		outcomes []Outcome
		ejected  []ident.VMID
	}{
		{"one target fails", []Outcome{{Target: "t2", Job: "j", OK: 9}, {Target: "t1", Job: "j", Failed: 6}}, []ident.VMID{"t1"}},
		{"the share of ejected targets is limited", []Outcome{
			{Target: "t3", Job: "j", OK: 9}, {Target: "t1", Job: "j", Failed: 6}, {Target: "t2", Job: "j", Failed: 6},
		}, nil},
		{"a job fails on every target", []Outcome{
			{Target: "t1", Job: "other", OK: 9}, {Target: "t1", Job: "j", Failed: 6}, {Target: "t2", Job: "j", Failed: 6}, {Target: "t3", Job: "j", Failed: 6},
		}, []ident.VMID{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, z := newTestCore(now)
			for _, o := range tc.outcomes {
				z.outcomes[outcomeKey{o.Target, o.Job}] = &o
			}
			exchange(c, z, now, poolDemand{})
			var got []ident.VMID
			for _, status := range c.status(now).Targets {
				if status.Ejected {
					got = append(got, status.VM)
				}
			}
			if tc.ejected == nil && len(got) != 1 {
				t.Errorf("ejected targets = %v, want exactly one of three", got)
			}
			if tc.ejected != nil && (len(got) != len(tc.ejected) || len(got) == 1 && got[0] != tc.ejected[0]) {
				t.Errorf("ejected targets = %v, want %v", got, tc.ejected)
			}
		})
	}
}

// Guards against an entry that uses permits which the broker may already have granted to others: the lease on the
// entry's clock must end before the broker's reservation, and the entry must not register with another broker while the
// previous one may count it as registered. The random schedules of TestSlotsAreNeverExceeded rarely reach these moments.
func TestUseLeaseEndsBeforeReservation(t *testing.T) {
	now := time.Unix(1e6, 0)
	c, z := newTestCore(now)
	exchange(c, z, now, poolDemand{normal: 4})
	sent := z.lastSent
	if !z.usable(sent.Add(useLease - 1)) {
		t.Error("permits expire before the use lease ends")
	}
	if z.usable(sent.Add(useLease)) {
		t.Error("permits are usable after the use lease")
	}
	c.Tick(sent.Add(registrationLease))
	h := c.holders["a"]
	if h.registered {
		t.Error("an entry that has sent nothing for the registration lease counts as registered")
	}
	for _, p := range h.permits {
		if got, want := p.unusableFrom.Sub(sent), useLease*5/4; got < want {
			t.Errorf("a permit of an entry that is no longer registered counts as unusable after %v, want at least %v", got, want)
		}
		if got, want := p.reservedUntil.Sub(p.unusableFrom), MaxRequestDuration; got < want {
			t.Errorf("the slot of such a permit is reserved for %v more, want at least %v", got, want)
		}
	}
	noneGone := func(ident.EntryID) bool { return false }
	z.switchBroker(now.Add(registrationLease), "b", noneGone)
	if z.broker != "a" {
		t.Error("the entry left its broker within the registration lease")
	}
	z.switchBroker(now.Add(switchDelay), "b", noneGone)
	if z.broker != "b" {
		t.Errorf("broker after the switch delay = %q, want b", z.broker)
	}
	if settleTime < 2*reserveLease+MaxRequestDuration {
		t.Errorf("settleTime = %v, shorter than two leases and the longest request", settleTime)
	}
}

// Guards against a canceled request that stays in the queue, and against a wrong order of classes and deadlines.
func TestQueueOrder(t *testing.T) {
	var q queue
	at := time.Unix(1e6, 0)
	add := func(job string, urgent bool, deadline time.Duration) *waiter {
		w := &waiter{req: AcquireRequest{Job: job, Urgent: urgent, Deadline: at.Add(deadline)}}
		q.push(w)
		return w
	}
	add("late", false, 3*time.Second)
	canceled := add("canceled", true, time.Millisecond)
	add("early", false, time.Second)
	add("urgent", true, 9*time.Second)
	q.finish(canceled)
	q.finish(canceled)
	if q.waiting != 3 || q.urgent != 1 {
		t.Errorf("waiting, urgent = %d, %d, want 3, 1", q.waiting, q.urgent)
	}
	for _, want := range []string{"urgent", "early", "late"} {
		if got := q.pop().req.Job; got != want {
			t.Errorf("pop = %s, want %s", got, want)
		}
	}
}

// Guards against a slow target that gets requests which it cannot finish in time while others with later deadlines wait.
func TestFirstAfter(t *testing.T) {
	var q queue
	at := time.Unix(1e6, 0)
	for _, d := range []time.Duration{3, 1, 2} {
		q.push(&waiter{req: AcquireRequest{Deadline: at.Add(d * time.Second)}})
	}
	if got, want := q.firstAfter(at.Add(time.Second)).req.Deadline.Sub(at), 2*time.Second; got != want {
		t.Errorf("deadline of firstAfter(1s) = %v, want %v", got, want)
	}
	if got := q.firstAfter(at.Add(3 * time.Second)); got != nil {
		t.Errorf("firstAfter(3s) = %v, want nil", got)
	}
}

// Guards against ErrNoTarget for a pool that is in the caller's snapshot, which Run has not passed on yet.
func TestAcquireWithNewSnapshot(t *testing.T) {
	network := peer.NewMemNetwork()
	file := &fleet.File{SparePool: "s", Pools: []fleet.Pool{{ID: "s"}, {ID: "p", Routes: []string{"/p"}}}, VMs: []fleet.VM{
		{ID: "t", Zone: "z", Rack: "r", Address: "10.0.0.1:1", Pool: "p", Slots: 8, Connections: 64, Processors: 1},
	}}
	state, outcome := fold.Empty().Apply(fold.Publish{Header: fold.Header{ID: "1", Writer: "w", Time: time.Unix(1, 0)}, File: file})
	if outcome.Result != fold.Accepted {
		t.Fatal(outcome)
	}
	s := &Service{Links: network.Join("a", "z"), State: fixedSnapshot{state}, Clock: clock.NewManual(time.Unix(1e6, 0)), Zone: "z", Logger: hclog.NewNullLogger()}
	s.Bind()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Acquire(ctx, AcquireRequest{Pool: "p"}); !errors.Is(err, context.Canceled) {
		t.Errorf("Acquire = %v, want the error of the context after queueing", err)
	}
}

type fixedSnapshot struct{ state *fold.State }

func (s fixedSnapshot) Snapshot() *fold.State                   { return s.state }
func (s fixedSnapshot) Changed() (*fold.State, <-chan struct{}) { return s.state, nil }

// Guards against a late message of a dead entry that registers the entry again and so frees the slots that its requests
// still use.
func TestLateMessageOfDeadEntry(t *testing.T) {
	now := time.Unix(1e6, 0)
	c, z := newTestCore(now)
	exchange(c, z, now, poolDemand{normal: 24})
	c.SetMembers(now, []ident.EntryID{"a", "b"}, nil, nil)
	late := z.nextDemand(now, poolDemand{normal: 24}, 0) // all permits are idle
	c.SetMembers(now, []ident.EntryID{"b"}, nil, []ident.EntryID{"a"})
	c.HandleDemand(now, "a", late)
	if c.holders["a"].registered {
		t.Error("a dead entry is registered by its late message")
	}
	reserved := 0
	for _, status := range c.status(now).Targets {
		reserved += status.Reserved
	}
	if reserved != 24 {
		t.Errorf("slots reserved for the dead entry's requests = %d, want 24", reserved)
	}
}

// Guards against a status report that frees the slots of one entry's requests because the reported number is covered by
// another entry's reservation. TestSlotsAreNeverExceeded found this fault.
func TestStatusReportWithSeveralReservations(t *testing.T) {
	now := time.Unix(1e6, 0)
	c, z := newTestCore(now)
	exchange(c, z, now, poolDemand{normal: 2})
	later := now.Add(registrationLease)
	c.Tick(later) // the registration expires; the entry holds two permits
	t1 := c.target("t1")
	c.reserveUnknown(t1, 1, later)
	asked := later.Add(reserveLease)
	c.HandleStatus(asked, asked, "t1", 1)
	if t1.unknownUse != 1 {
		t.Errorf("slots reserved for unknown requests = %d, want 1", t1.unknownUse)
	}
}
