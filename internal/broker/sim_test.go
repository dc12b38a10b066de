package broker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const simSlots = 3

var simTargets = []ident.VMID{"t1", "t2"}

// sim drives the cores and zone clients of several entries over a network that loses, delays and reorders messages.
// Entries a, b and c are in the targets' zone, f is in another.
type sim struct {
	now      time.Time
	entries  map[ident.EntryID]*simEntry
	net      []simMessage
	running  []*simRun
	lossy    bool
	draining bool // the first target is draining
	drained  bool
}

type simEntry struct {
	id      ident.EntryID
	dead    bool
	paused  bool
	core    *Core
	term    ident.Term
	client  *zoneClient
	waiting int
	states  map[ident.EntryID]string // up, silent or gone, as this entry sees the others
}

type simMessage struct {
	from, to ident.EntryID
	msg      wire.Message
	status   *ProbeStatus // if not nil, a status report for the core of entry to
	asked    time.Time    // when the status report was asked for
	running  int
	core     *Core
}

type simRun struct {
	entry  *simEntry
	permit *clientPermit
	target ident.VMID
	ends   time.Time
}

func newSim() *sim {
	s := &sim{now: time.Unix(1e6, 0), entries: map[ident.EntryID]*simEntry{}}
	for _, id := range []ident.EntryID{"a", "b", "c", "f"} {
		s.entries[id] = s.newEntry(id)
	}
	return s
}

func (s *sim) newEntry(id ident.EntryID) *simEntry {
	e := &simEntry{id: id, states: map[ident.EntryID]string{}, term: ident.Term(s.now.UnixNano())}
	for _, o := range []ident.EntryID{"a", "b", "c", "f"} {
		e.states[o] = "up"
	}
	e.client = newZoneClient("p", "z", uint64(s.now.UnixNano()), s.now)
	return e
}

// setMembers passes an entry's view of the others to its core.
func (s *sim) setMembers(e *simEntry) {
	if e.core == nil {
		return
	}
	var zone, remote, gone []ident.EntryID
	for _, id := range []ident.EntryID{"a", "b", "c", "f"} {
		switch {
		case e.states[id] == "gone":
			gone = append(gone, id)
		case id != "f":
			zone = append(zone, id)
		default:
			remote = append(remote, id)
		}
	}
	e.core.SetMembers(s.now, zone, remote, gone)
	s.queueEffects(e)
}

// broker returns the entry that is the zone's broker in e's view.
func (e *simEntry) broker() ident.EntryID {
	for _, id := range []ident.EntryID{"b", "a", "c"} {
		if e.states[id] == "up" {
			return id
		}
	}
	return ""
}

func (s *sim) setTargets(e *simEntry) {
	list := make([]Target, 0, len(simTargets))
	for i, id := range simTargets {
		draining := s.draining && i == 0
		list = append(list, Target{ID: id, Slots: simSlots, Serving: !draining, Draining: draining})
	}
	e.core.SetTargets(s.now, fleetOffsetOf(s.draining), list)
	s.queueEffects(e)
}

func fleetOffsetOf(draining bool) ident.Offset { return ident.Offset(countIf(draining, 1)) }

func (s *sim) deliver(m simMessage) {
	e := s.entries[m.to]
	if e.dead {
		return
	}
	if m.status != nil {
		if e.core == m.core {
			e.core.HandleStatus(s.now, m.asked, m.status.VM, m.running)
			s.queueEffects(e)
		}
		return
	}
	switch msg := m.msg.(type) {
	case Demand:
		if e.id == "f" {
			return
		}
		if e.core == nil {
			e.term++
			e.core = NewCore("p", "z", e.id, e.term, s.now)
			s.setMembers(e)
			s.setTargets(e)
		}
		e.core.HandleDemand(s.now, m.from, msg)
		s.queueEffects(e)
	case Grant:
		if e.client.handleGrant(s.now, m.from, msg) {
			s.send(e)
		}
	}
}

func (s *sim) queueEffects(e *simEntry) {
	for _, effect := range e.core.Effects() {
		switch x := effect.(type) {
		case Send:
			s.net = append(s.net, simMessage{from: e.id, to: x.To, msg: x.Msg})
		case ProbeStatus:
			s.net = append(s.net, simMessage{
				to: e.id, status: &x, asked: s.now, running: s.runningOn(x.VM), core: e.core,
			})
		case VMDrained:
			s.drained = s.drained || s.draining
		}
	}
}

func (s *sim) send(e *simEntry) {
	if e.client.broker == "" {
		return
	}
	m := e.client.nextDemand(s.now, poolDemand{normal: e.waiting, prefetch: 1, untilDeadline: time.Second}, fleetOffsetOf(s.draining))
	s.net = append(s.net, simMessage{from: e.id, to: e.client.broker, msg: m})
}

func (s *sim) runningOn(vm ident.VMID) int {
	n := 0
	for _, r := range s.running {
		n += countIf(r.target == vm, 1)
	}
	return n
}

// tick lets an entry act unless it is dead or paused.
func (s *sim) tick(e *simEntry) {
	if e.dead || e.paused {
		return
	}
	e.client.switchBroker(s.now, e.broker(), func(id ident.EntryID) bool { return e.states[id] == "gone" })
	for e.waiting > 0 && s.start(e) {
		e.waiting--
	}
	e.client.returnIdle(s.now, 1)
	if s.now.Sub(e.client.lastSent) >= renewInterval || e.client.returnPending || !e.client.registered {
		s.send(e)
	}
	if e.core != nil {
		e.core.Tick(s.now)
		s.queueEffects(e)
	}
}

func (s *sim) start(e *simEntry) bool {
	permit := e.client.take(s.now, func(ident.VMID) bool { return true })
	if permit == nil {
		return false
	}
	s.running = append(s.running, &simRun{entry: e, permit: permit, target: permit.target, ends: s.now.Add(MaxRequestDuration)})
	return true
}

func (s *sim) finish(i int) {
	r := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	if !r.entry.dead {
		r.entry.client.put(s.now, r.permit, false)
	}
}

func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(min(50*time.Millisecond, end.Sub(s.now)))
		for i := len(s.running) - 1; i >= 0; i-- {
			if !s.now.Before(s.running[i].ends) {
				s.finish(i)
			}
		}
		for _, id := range []ident.EntryID{"a", "b", "c", "f"} {
			s.tick(s.entries[id])
		}
		for !s.lossy && len(s.net) > 0 {
			s.deliverAt(0)
		}
	}
}

// deliverAt takes the i-th message from the network and delivers it, unless its receiver is paused.
func (s *sim) deliverAt(i int) {
	m := s.net[i]
	s.net = slices.Delete(s.net, i, i+1)
	if !s.entries[m.to].paused {
		s.deliver(m)
	}
}

// check verifies that on each target the running requests and the permits that could start more do not exceed the slots,
// and that nothing can run on a target that was reported as drained.
func (s *sim) check(t interface{ Fatalf(string, ...any) }) {
	for _, vm := range simTargets {
		n := s.runningOn(vm)
		what := fmt.Sprintf("%d running", n)
		for id, e := range s.entries {
			if e.dead || !e.client.usable(s.now) {
				continue
			}
			for _, permit := range e.client.idle {
				if permit.target == vm && !permit.recalled {
					n++
					what += fmt.Sprintf(", %s may use %s", id, permit.id)
				}
			}
		}
		if n > simSlots {
			t.Fatalf("target %s: %d slots in use or usable, want at most %d: %s", vm, n, simSlots, what)
		}
		if s.drained && vm == simTargets[0] && n > 0 {
			t.Fatalf("target %s was reported as drained, but %s", vm, what)
		}
	}
}

// Guards against a target that gets more requests at once than it has slots, and against a drain that is reported too
// early, when brokers change, messages are lost or late, processes pause or die and entries disagree on which entries
// are up; and against slots that stay reserved after these faults have ended.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim()
		s.advance(5 * time.Second)
		s.lossy = true
		zoneEntry := rapid.SampledFrom([]ident.EntryID{"a", "b", "c"})
		anyEntry := rapid.SampledFrom([]ident.EntryID{"a", "b", "c", "f"})
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) { s.check(rt) }, // after each action
			"step": func(rt *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(1, 20).Draw(rt, "x50ms")) * 50 * time.Millisecond)
			},
			"long": func(rt *rapid.T) { // seconds in which no message is lost
				s.lossy = false
				s.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "s")) * time.Second)
				s.lossy = true
			},
			"ask":     func(rt *rapid.T) { s.entries[anyEntry.Draw(rt, "e")].waiting += rapid.IntRange(1, 6).Draw(rt, "n") },
			"deliver": func(rt *rapid.T) { s.someMessages(rt, true) },
			"lose":    func(rt *rapid.T) { s.someMessages(rt, false) },
			"flow": func(*rapid.T) { // delivers the messages in transit in order
				for n := len(s.net); n > 0; n-- {
					s.deliverAt(0)
				}
			},
			"end": func(rt *rapid.T) {
				if len(s.running) > 0 {
					s.finish(rapid.IntRange(0, len(s.running)-1).Draw(rt, "run"))
				}
			},
			"pause": func(rt *rapid.T) { e := s.entries[anyEntry.Draw(rt, "e")]; e.paused = !e.paused },
			"see": func(rt *rapid.T) { // an entry changes its view of another one
				e, other := s.entries[zoneEntry.Draw(rt, "e")], zoneEntry.Draw(rt, "other")
				if e.id != other && e.states[other] != "gone" {
					e.states[other] = rapid.SampledFrom([]string{"up", "silent"}).Draw(rt, "state")
					s.setMembers(e)
				}
			},
			"kill": func(rt *rapid.T) { s.entries[zoneEntry.Draw(rt, "e")].dead = true },
			"notice": func(rt *rapid.T) { // an entry learns which processes have ended
				e := s.entries[anyEntry.Draw(rt, "e")]
				for id, o := range s.entries {
					if o.dead && e.states[id] != "gone" {
						e.states[id] = "gone"
						s.setMembers(e)
					}
				}
			},
			"restart": func(rt *rapid.T) { s.restart(zoneEntry.Draw(rt, "e")) },
			"drain":   func(rt *rapid.T) { s.drain() },
		})
		s.checkRecovery(rt)
	})
}

// restart replaces a dead process once every other one knows that it is gone.
func (s *sim) restart(id ident.EntryID) {
	old := s.entries[id]
	if !old.dead {
		return
	}
	for _, e := range s.entries {
		if !e.dead && e.states[id] != "gone" {
			return
		}
	}
	s.entries[id] = s.newEntry(id)
	s.entries[id].states = map[ident.EntryID]string{}
	for other, e := range s.entries {
		s.entries[id].states[other] = "up"
		if e.dead {
			s.entries[id].states[other] = "gone"
		}
		e.states[id] = "up"
		s.setMembers(e)
	}
}

func (s *sim) drain() {
	s.draining = true
	for _, e := range s.entries {
		if e.core != nil && !e.dead {
			s.setTargets(e)
		}
	}
}

func (s *sim) someMessages(rt *rapid.T, deliver bool) {
	for n := rapid.IntRange(1, 5).Draw(rt, "n"); n > 0 && len(s.net) > 0; n-- {
		i := rapid.IntRange(0, len(s.net)-1).Draw(rt, "message")
		if deliver {
			s.deliverAt(i)
		} else {
			s.net = slices.Delete(s.net, i, i+1)
		}
	}
}

// checkRecovery ends all faults and checks that one entry then gets every slot.
func (s *sim) checkRecovery(rt *rapid.T) {
	s.lossy = false
	for id, e := range s.entries {
		e.paused = false
		e.waiting = 0
		for other, o := range s.entries {
			e.states[other] = "up"
			if o.dead {
				e.states[other] = "gone"
			}
		}
		if !e.dead && id != "" {
			s.setMembers(e)
		}
	}
	s.advance(MaxRequestDuration + 10*time.Second)
	s.check(rt)
	want := simSlots * (len(simTargets) - countIf(s.draining, 1))
	for _, e := range s.entries {
		if e.dead || e.id == "f" {
			continue
		}
		e.waiting = 100
		s.advance(3 * time.Second)
		s.check(rt)
		if got := len(s.running); got != want {
			rt.Fatalf("requests running at %s after the faults = %d, want %d", e.id, got, want)
		}
		return
	}
}
