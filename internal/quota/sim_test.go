package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// tenantIn returns a tenant of a slot.
func tenantIn(s Slot) work.TenantID {
	for n := 0; ; n++ {
		if id := work.TenantID("tenant-" + strconv.Itoa(n)); SlotOf(id) == s {
			return id
		}
	}
}

var simTenant = tenantIn(0)

// safeguards are those that a simulation switches off.
type safeguards struct {
	withoutDurability, withoutOrder, withoutSilentParts, withoutSilentRuns, withoutVersions, withoutExcess, withoutRest, withoutForfeit bool
}

// world simulates allocators, owners and logs of a few partitions, and the tasks of one tenant.
type world struct {
	draw     func(n int) int
	off      safeguards
	caps     []int64 // by version - 1
	cpuOnly  []bool  // whether the cap doesn't limit memory, by version - 1
	pools    []Pool
	logs     []*simLog
	owners   []*simOwner // former ones too
	allocs   []*simAllocator
	messages []simMessage
	running  *runSet
	raises   int
	starts   int
	above    int // starts of tasks above the cap
	fault    string
}

// simLog is the durable state of one partition.
type simLog struct {
	records map[string][]byte
	epoch   int64
	runs    *runSet // whose end is not stored
	owner   *simOwner
	cut     bool // the owner answers no allocator
}

type simRun struct {
	pool       ident.PoolID
	need       work.Resources
	minVersion int64 // lowest version in force when it was planned
	ended      bool
	silent     bool // its target doesn't answer
}

// runSet is a set of runs, in the order in which they were added, so that a seed always gives the same play.
type runSet struct{ list []*simRun }

func (s *runSet) add(r *simRun) {
	if !slices.Contains(s.list, r) {
		s.list = append(s.list, r)
	}
}

func (s *runSet) remove(r *simRun) {
	s.list = slices.DeleteFunc(s.list, func(x *simRun) bool { return x == r })
}

type simOwner struct {
	partition int
	epoch     int64
	version   int64
	ledger    Allowances
	runs      *runSet
	starts    []*simRun
	ends      []*simRun
	write     *simWrite
	dead      bool
	wants     map[ident.PoolID]work.Resources // need of the task that waits
}

type simWrite struct {
	caps    *Write
	starts  []*simRun
	ends    []*simRun
	applied bool
}

type simAllocator struct {
	Allocator
	version int64
	ended   bool
}

// simMessage is a grant on its way to an owner, or a report on its way to an allocator.
type simMessage struct {
	partition int
	grant     *Grant
	from      *simAllocator
	report    *Report
}

func newWorld(draw func(int) int, off safeguards) *world {
	w := &world{draw: draw, off: off, caps: []int64{24}, cpuOnly: []bool{false}, running: &runSet{}}
	if draw(3) == 0 {
		w.caps[0] = 0 // the tenant gets a cap later
	}
	for p := range 3 {
		for n := range 1 + p%2 {
			w.pools = append(w.pools, Pool{ident.PoolID(fmt.Sprintf("p%d.%d", p, n)), p})
		}
		w.logs = append(w.logs, &simLog{records: map[string][]byte{}, runs: &runSet{}})
		w.takeOver(p)
	}
	w.newAllocator()
	return w
}

func (w *world) newestVersion() int64 { return int64(len(w.caps)) }

// publish adds a version. One of three has the cap of the version before; the others limit memory in turn.
func (w *world) publish() {
	n := len(w.caps) - 1
	c, cpuOnly := w.caps[n], w.cpuOnly[n]
	if w.draw(3) > 0 {
		c, cpuOnly = 8+int64(w.draw(32)), !cpuOnly
	}
	w.caps, w.cpuOnly = append(w.caps, c), append(w.cpuOnly, cpuOnly)
}

// capOf returns the cap of a version. It limits CPU, and memory by the same amount in some versions.
func (w *world) capOf(version int64) work.Resources {
	c := w.caps[version-1]
	out := work.Resources{CPU: work.Millicores(c)}
	if !w.cpuOnly[version-1] {
		out.Memory = work.Mebibytes(c)
	}
	return out
}

func (w *world) tenantsOf(version int64) []Tenant {
	return []Tenant{{simTenant, w.capOf(version)}}
}

// someVersion returns the version of a process that takes part from now on. It is in force until all have a newer one.
func (w *world) someVersion() int64 {
	lowest := w.minVersion()
	return lowest + int64(w.draw(int(w.newestVersion()-lowest)+1))
}

func (w *world) newAllocator() {
	a := &simAllocator{version: w.someVersion()}
	a.Epoch, a.Partitions, a.withoutSilent = int64(len(w.allocs)+1), len(w.logs), w.off.withoutSilentParts
	a.withoutVersions, a.withoutExcess = w.off.withoutVersions, w.off.withoutExcess
	a.withoutRest, a.withoutForfeit = w.off.withoutRest, w.off.withoutForfeit
	a.Init()
	w.allocs = append(w.allocs, a)
}

func (w *world) takeOver(p int) {
	l := w.logs[p]
	l.epoch++
	o := &simOwner{partition: p, epoch: l.epoch, version: w.someVersion(), runs: &runSet{}, wants: map[ident.PoolID]work.Resources{}}
	o.ledger.withoutDurability, o.ledger.withoutOrder = w.off.withoutDurability, w.off.withoutOrder
	for key, value := range l.records {
		if err := o.ledger.Restore(Record{key, value}); err != nil {
			w.fault = err.Error()
		}
	}
	for _, r := range l.runs.list {
		o.runs.add(r)
	}
	l.owner = o
	w.owners = append(w.owners, o)
}

// minVersion returns the lowest version in force at a process that can still act.
func (w *world) minVersion() int64 {
	out := w.newestVersion()
	for _, o := range w.owners {
		if !o.dead {
			out = min(out, o.version)
		}
	}
	for _, a := range w.allocs {
		if !a.ended {
			out = min(out, a.version)
		}
	}
	return out
}

func (o *simOwner) view(w *world) View {
	return View{Configured: true, Known: true, Version: o.version, Cap: w.capOf(o.version)}
}

func (o *simOwner) held(pool ident.PoolID) work.Resources {
	var sum work.Resources
	for _, r := range o.runs.list {
		if r.pool == pool {
			sum = sum.Plus(r.need)
		}
	}
	return sum
}

// plan starts the task that waits in a pool of an owner, if its limit allows that.
func (w *world) plan(o *simOwner, pool ident.PoolID) {
	if o.dead {
		return
	}
	if o.wants[pool] == (work.Resources{}) {
		need := work.Resources{CPU: work.Millicores(1 + w.draw(6)), Memory: work.Mebibytes(1 + w.draw(6))}
		if w.draw(20) == 0 {
			need.CPU = 40 // above the cap
		}
		o.wants[pool] = need
	}
	need := o.wants[pool]
	c, limit := o.view(w).Effective(o.ledger.Of(pool)[simTenant])
	if !limit.Allows(o.held(pool), need, need, c) {
		return
	}
	r := &simRun{pool: pool, need: need, minVersion: w.minVersion()}
	o.runs.add(r)
	o.wants[pool] = work.Resources{}
	o.starts = append(o.starts, r)
}

func (w *world) beginWrite(o *simOwner) {
	if o.dead || o.write != nil {
		return
	}
	caps, err := o.ledger.BeginWrite()
	if err != nil {
		w.fault = err.Error()
	}
	if caps == nil && len(o.starts)+len(o.ends) == 0 {
		return
	}
	o.write = &simWrite{caps: caps, starts: o.starts, ends: o.ends}
	o.starts, o.ends = nil, nil
}

// apply stores the write in flight of an owner.
func (w *world) apply(o *simOwner) {
	l, x := w.logs[o.partition], o.write
	if x == nil || x.applied {
		return
	}
	if l.epoch > o.epoch {
		o.dead = true
		return
	}
	x.applied = true
	if x.caps != nil {
		for _, r := range x.caps.Records {
			if l.records[r.Key] = r.Value; len(r.Value) == 0 {
				delete(l.records, r.Key)
			}
		}
	}
	for _, r := range x.starts {
		l.runs.add(r)
		w.running.add(r)
		w.checkStart(r)
	}
	for _, r := range x.ends {
		l.runs.remove(r)
	}
}

func (w *world) confirm(o *simOwner) {
	if o.write == nil || !o.write.applied {
		return
	}
	if o.write.caps != nil {
		o.ledger.MarkDurable(o.write.caps)
	}
	o.write = nil
}

// checkStart checks the rule for a start that has become durable.
func (w *world) checkStart(r *simRun) {
	w.starts++
	var total work.Resources
	for _, x := range w.running.list {
		total = total.Plus(x.need)
	}
	held, need := amountOf(total), amountOf(r.need)
	for d := range kinds {
		bound, unlimited := int64(0), false
		for version := r.minVersion; version <= w.newestVersion(); version++ {
			c := amountOf(w.capOf(version))[d]
			bound, unlimited = max(bound, c), unlimited || c == 0 // each version may be in force
		}
		switch {
		case unlimited:
		case need[d] > bound && held[d]-need[d] <= bound:
			w.above++
		case held[d] > bound:
			w.fault = fmt.Sprintf("start of %d in %s: %d held in total, cap %d (resource %d)", need[d], r.pool, held[d], bound, d)
		}
	}
}

func (w *world) endTask() {
	if n := len(w.running.list); n > 0 {
		r := w.running.list[w.draw(n)]
		r.ended = true
		w.running.remove(r)
	}
}

// learnEnds makes an owner see the ends of its runs on targets that answer.
func (w *world) learnEnds(o *simOwner) {
	for _, r := range slices.Clone(o.runs.list) {
		gone := r.ended && !r.silent
		if w.off.withoutSilentRuns && r.silent {
			gone = true
		}
		if gone {
			o.runs.remove(r)
			o.ends = append(o.ends, r)
		}
	}
}

// tick makes an allocator decide, and send a request to each partition.
func (w *world) tick(a *simAllocator) {
	if a.ended {
		return
	}
	a.Configure(a.version, w.tenantsOf(a.version), w.pools)
	a.Rebalance()
	raised, _ := a.Changed()
	w.raises += raised
	for p := range w.logs {
		g := a.Request(p)
		w.messages = append(w.messages, simMessage{partition: p, grant: &g, from: a})
	}
}

// deliver delivers a message.
func (w *world) deliver(m simMessage) {
	if m.report != nil {
		if err := m.from.Handle(m.partition, m.report); err != nil {
			m.from.ended = true
		}
		return
	}
	if w.logs[m.partition].cut {
		return
	}
	to := w.logs[m.partition].owner
	if w.draw(8) == 0 { // a former owner that doesn't know of the next one
		for _, o := range w.owners {
			if o.partition == m.partition && !o.dead {
				to = o
				break
			}
		}
	}
	if to.dead {
		return
	}
	to.ledger.Accept(m.grant)
	r := w.report(to, m.grant)
	w.messages = append(w.messages, simMessage{partition: m.partition, report: &r, from: m.from})
}

func (w *world) report(o *simOwner, g *Grant) Report {
	r := Report{Slot: g.Slot, Round: g.Round, Stored: o.ledger.Stored(g.Slot), Full: g.Full, Version: o.version, Caps: CapsDigest(0, simTenant, w.capOf(o.version))}
	for _, p := range w.pools {
		if p.Partition != o.partition {
			continue
		}
		stored := o.ledger.Of(p.ID)[simTenant]
		u := Usage{Held: o.held(p.ID)}
		c, limit := o.view(w).Effective(stored)
		if need := o.wants[p.ID]; need != (work.Resources{}) {
			u.Next, u.Member, u.Waiting = need, need, need.Plus(work.Resources{CPU: 12, Memory: 12})
		}
		if g.Reports(simTenant, stored, limit, &u, c) {
			r.Entries = append(r.Entries, Entry{Pool: p.ID, Tenant: simTenant, Usage: u, Limit: stored})
		}
	}
	return r
}

// step makes one random step.
func (w *world) step() {
	o := w.logs[w.draw(len(w.logs))].owner
	former := w.owners[w.draw(len(w.owners))]
	a := w.allocs[len(w.allocs)-1]
	switch w.draw(28) {
	case 0:
		w.takeOver(w.draw(len(w.logs)))
	case 1:
		if w.draw(4) == 0 {
			w.newAllocator()
		}
	case 2:
		w.tick(w.allocs[w.draw(len(w.allocs))])
	case 3:
		if p := w.pools[w.draw(len(w.pools))]; p.Partition == former.partition {
			w.plan(former, p.ID)
		}
		w.beginWrite(former)
	case 4:
		w.apply(former)
	case 5:
		w.confirm(former)
	case 6:
		w.beginWrite(o)
		w.apply(o) // the response is late
	case 7:
		if len(w.caps) < 6 && w.draw(6) == 0 {
			w.publish()
		}
	case 8:
		o.version = max(o.version, 1+int64(w.draw(len(w.caps))))
	case 9:
		a.version = max(a.version, 1+int64(w.draw(len(w.caps))))
	case 10:
		if n := len(w.running.list); n > 0 {
			w.running.list[w.draw(n)].silent = w.draw(2) == 0
		}
	case 11:
		w.learnEnds(former)
	case 12:
		l := w.logs[w.draw(len(w.logs))]
		l.cut = !l.cut && w.draw(2) == 0
	case 13, 14:
		w.deliverSome()
	default:
		w.round(a)
	}
}

// deliverSome delivers one message out of order, again, or never.
func (w *world) deliverSome() {
	if len(w.messages) == 0 {
		return
	}
	i := w.draw(len(w.messages))
	m := w.messages[i]
	switch w.draw(3) {
	case 0:
		w.messages = slices.Delete(w.messages, i, i+1)
	case 1:
		w.messages = slices.Delete(w.messages, i, i+1)
		w.deliver(m)
	default:
		w.deliver(m)
	}
}

// round plays an undisturbed round of an allocator and all owners.
func (w *world) round(a *simAllocator) {
	a.version = max(a.version, w.newestVersion()-int64(w.draw(2)))
	first := len(w.messages)
	w.tick(a)
	for range 2 {
		late := w.messages[first:]
		w.messages = w.messages[:first:first]
		for _, m := range late {
			if w.draw(16) == 0 {
				w.messages = append(w.messages[:first:first], append([]simMessage{m}, w.messages[first:]...)...)
				first++
				continue
			}
			w.deliver(m)
		}
	}
	if len(w.messages) > 60 {
		w.messages = w.messages[len(w.messages)-60:]
	}
	for _, l := range w.logs {
		o := l.owner
		o.version = max(o.version, w.newestVersion()-int64(w.draw(2)))
		w.learnEnds(o)
		for _, p := range w.pools {
			if p.Partition != o.partition {
				continue
			}
			for range w.draw(4) {
				w.plan(o, p.ID)
			}
		}
		if w.draw(8) > 0 {
			w.apply(o)
			w.confirm(o)
		}
		w.beginWrite(o)
		if w.draw(4) > 0 {
			w.apply(o)
			w.confirm(o)
		}
	}
	for range w.draw(4) {
		w.endTask()
	}
}

const simSteps = 250

// Guards against a cap that is exceeded while owners and allocators are replaced, paused or cut off, messages are lost,
// repeated, late or out of order, writes are late, and versions of the configuration arrive in a different order.
func TestCapHoldsUnderFailures(t *testing.T) {
	starts, raises, above := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := play(seed, safeguards{})
		if w.fault != "" {
			rt.Fatalf("seed %d: %s", seed, w.fault)
		}
		starts, raises, above = starts+w.starts, raises+w.raises, above+w.above
	})
	if starts == 0 || raises == 0 || above == 0 {
		t.Errorf("%d starts, %d raises, %d tasks above the cap, want some of each", starts, raises, above)
	}
	t.Logf("%d starts, %d raises, %d tasks above the cap", starts, raises, above)
}

func play(seed uint64, off safeguards) *world {
	random := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(random.IntN, off)
	for range simSteps {
		if w.step(); w.fault != "" {
			break
		}
	}
	return w
}

// Guards against a simulation that would not see a violation, and against safeguards that are not needed.
func TestEachSafeguardIsNeeded(t *testing.T) {
	const seeds = 3000
	for _, test := range []struct {
		name string
		off  safeguards
	}{
		{"durable acknowledgment", safeguards{withoutDurability: true}},
		{"order of grants", safeguards{withoutOrder: true}},
		{"partitions without an answer in full", safeguards{withoutSilentParts: true}},
		{"runs of silent targets", safeguards{withoutSilentRuns: true}},
		{"the same version everywhere", safeguards{withoutVersions: true}},
		{"no raise while the counts exceed the cap", safeguards{withoutExcess: true}},
		{"the rest for partitions that are not known", safeguards{withoutRest: true}},
		{"the end of moves after a revocation", safeguards{withoutForfeit: true}},
	} {
		found := ""
		for seed := range uint64(seeds) {
			if w := play(seed, test.off); w.fault != "" && play(seed, safeguards{}).fault == "" {
				found = fmt.Sprintf("seed %d: %s", seed, w.fault)
				break
			}
		}
		if found == "" {
			t.Errorf("without %s: no violation in %d plays, want one", test.name, seeds)
		}
		t.Logf("without %s: %s", test.name, found)
	}
}
