package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// rack identifies a rack; rack ids are unique only within a zone.
type rack struct {
	zone ident.ZoneID
	id   ident.RackID
}

// machine is one VM with what the planner derives for it.
type machine struct {
	*fold.VM
	pool   *pool
	region ident.RegionID
	rack   int         // number of its rack
	down   bool        // observed failing or missing
	failed bool        // down for longer than the hold of a restart
	young  bool        // down for less than the shortest hold
	back   bool        // out of service, but expected back without a replacement
	lost   bool        // out of service for so long that the pool is refilled
	leave  time.Time   // time by which the VM must be gone; zero when it stays
	wave   *fleet.Wave // open wave that has yet to reboot the VM, or nil
	next   time.Time   // opening of the next wave that will reboot the VM; zero when none
	free   bool        // drained without a purpose of its own
	taken  bool        // has an action in this plan
}

// pool is one pool with its members counted.
type pool struct {
	fleet.Pool
	spare   bool
	up      int // VMs that serve, or that could be lent at once in the spare pool
	back    int // VMs out of service that are expected back soon
	young   int // VMs that have failed for less than the shortest hold
	kept    int // members that are neither lost nor returning soon
	due     int // VMs that an open wave has yet to drain
	active  int // VMs of an open wave that are drained or rebooting
	racks   rackCounts
	members []*machine
	regions map[ident.RegionID]bool
	next    time.Time // opening of the next wave that affects the pool
	loses   time.Time // when the pool's next return is due; zero when none
	idle    int       // VMs that drain to be moved elsewhere
	planned int       // VMs that this plan moves here
	lack    int       // VMs lacking for the need at hand
}

type view struct {
	now     time.Time
	opt     Options
	pol     policy
	term    ident.Term
	pools   map[ident.PoolID]*pool
	order   []*pool
	spare   *pool // nil when the file names no spare pool
	vms     []*machine
	free    []*machine             // drained VMs without a purpose of their own
	supply  []*machine             // VMs that may be moved for the need at hand
	coming  map[ident.RegionID]int // VMs that drain to be moved elsewhere
	missing bool                   // the live list is too incomplete to act on
	actions []Action
}

func newView(s *fold.State, now time.Time, opt Options, pol policy) *view {
	v := &view{now: now, opt: opt, pol: pol, term: s.Planner.Term, pools: map[ident.PoolID]*pool{}, coming: map[ident.RegionID]int{}}
	all := v.countMissing(s)
	slab := make([]machine, 0, all)
	v.vms = make([]*machine, 0, all)
	racks := map[rack]int{}
	for _, p := range s.File.Pools {
		x := &pool{Pool: p, spare: p.ID == s.File.SparePool, regions: map[ident.RegionID]bool{}}
		v.pools[p.ID] = x
		v.order = append(v.order, x)
		if x.spare {
			v.spare = x
		}
	}
	waves := newWaveIndex(s.File.Waves)
	for vm := range s.VMs {
		if p := v.pools[vm.Pool]; p != nil && vm.Phase != fold.Returned {
			slab = append(slab, machine{VM: vm, pool: p, region: opt.Regions[vm.Zone], leave: leaveBy(vm, opt.ClockMargin)})
			m := &slab[len(slab)-1]
			m.rack = intern(racks, rack{vm.Zone, vm.Rack})
			v.vms = append(v.vms, m)
			v.observe(m)
			waves.mark(m, now)
		}
	}
	slices.SortFunc(v.vms, func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.vms {
		m.pool.count(m, v)
	}
	return v
}

// leaveBy is when a VM has to be away: the deadline of its return, which outlives the file that
// named it, less the margin for clocks that differ; zero when it is not returned.
func leaveBy(vm *fold.VM, margin time.Duration) time.Time {
	if vm.ReturnBy.IsZero() {
		return time.Time{}
	}
	return vm.ReturnBy.Add(-margin)
}

// intern numbers racks, so that counts need no hashing of their names.
func intern(racks map[rack]int, r rack) int {
	n, ok := racks[r]
	if !ok {
		n = len(racks)
		racks[r] = n
	}
	return n
}

// countMissing counts the VMs and sets whether the live list lacks so many of them that the
// list itself must be at fault: more than a quarter of the fleet. Then it is taken to say nothing.
func (v *view) countMissing(s *fold.State) int {
	const share = 4
	missing, all := 0, 0
	for range s.VMs {
		all++
	}
	for id, f := range v.opt.Observations {
		missing += b2i(!f.MissingSince.IsZero() && s.VM(id) != nil)
	}
	v.missing = missing*share > all
	return all
}

// observe derives the condition of a VM from its facts and its phase.
func (v *view) observe(m *machine) {
	f := v.opt.Observations[m.ID]
	failing, missing := v.age(f.FailingSince), v.age(f.MissingSince)
	if v.missing {
		missing = -1
	}
	out := v.age(m.Since)
	m.down = failing >= 0 || missing >= 0
	m.failed = failing >= v.opt.RestartAfter || missing >= v.opt.MissingAfter
	m.young = m.down && failing < v.opt.UrgentReplaceAfter && missing < v.opt.MissingAfter
	if m.active() {
		m.back = m.down && failing < v.opt.ReplaceAfter && missing < v.opt.MissingAfter
		m.lost = failing >= v.opt.RefillAfter || missing >= v.opt.RefillAfter
		return
	}
	expected := v.opt.RestartTime
	if m.wave != nil {
		expected = m.wave.Length
	}
	m.back = out < expected+v.opt.DrainTime && !v.leaving(m)
	m.lost = out >= v.opt.RefillAfter
}

// age returns how long ago t was, and -1 for the zero time.
func (v *view) age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(v.now.Sub(t), 0)
}

// active reports whether the phase of a VM is one of a VM at work or ready for it.
func (m *machine) active() bool { return m.Phase == fold.Serving || m.Phase == fold.Spare }

// up reports whether a VM serves, or could, as far as is known.
func (m *machine) up() bool { return m.active() && !m.down }

// leaving reports whether the VM's return has begun.
func (v *view) leaving(m *machine) bool {
	return !m.leave.IsZero() && !v.now.Before(m.leave.Add(-v.opt.ReturnLead))
}

// goesBefore reports whether a VM returns before t.
func (m *machine) goesBefore(t time.Time) bool { return !m.leave.IsZero() && m.leave.Before(t) }

func (p *pool) count(m *machine, v *view) {
	p.members = append(p.members, m)
	if m.up() {
		p.up++
		p.racks.of(m).up++
	}
	p.regions[m.region] = true
	p.young += b2i(m.young && m.active())
	if m.Phase == fold.Draining && m.wave == nil && !m.down && !v.leaving(m) {
		p.idle++
		v.coming[m.region]++
	} else {
		p.back += b2i(m.back)
	}
	if !m.lost && !v.leaving(m) {
		p.kept++
		p.racks.of(m).members++
	}
	if m.wave != nil {
		if m.active() {
			p.due++
		} else {
			p.active++
		}
	}
	if !m.leave.IsZero() && (p.loses.IsZero() || m.leave.Before(p.loses)) {
		p.loses = m.leave
	}
	if !m.next.IsZero() && (p.next.IsZero() || m.next.Before(p.next)) {
		p.next = m.next
	}
}

// rackCount is what a pool has in one rack.
type rackCount struct {
	rack    int // number of the rack
	zone    ident.ZoneID
	up      int // serving VMs
	members int // members that stay, those included that are out of service for a while
}

// rackCounts has an entry for each rack of a pool; a pool is in few racks.
type rackCounts []rackCount

// of returns the entry for the rack of m.
func (c *rackCounts) of(m *machine) *rackCount {
	for i := range *c {
		if (*c)[i].rack == m.rack {
			return &(*c)[i]
		}
	}
	*c = append(*c, rackCount{rack: m.rack, zone: m.Zone})
	return &(*c)[len(*c)-1]
}

// widest is the largest number of serving VMs that the loss of one rack takes.
func (p *pool) widest() int {
	most := 0
	for i := range p.racks {
		most = max(most, p.racks[i].up)
	}
	return most
}

// room is the number of VMs that may stop now with the headroom kept; negative when it is broken.
func (p *pool) room() int { return p.up - p.widest() - p.MinServing }

// surplus is the number of members above what the pool is owed.
func (p *pool) surplus() int { return p.kept - p.idle - p.Owed }

// canDrain reports whether the pool may lose m; urgent gives up the headroom.
func (p *pool) canDrain(m *machine, urgent bool) bool {
	if !m.up() {
		// Until the hold is over it may come back or, if only the live list lacks it, even serve.
		return m.failed || urgent && p.up >= p.MinServing
	}
	if urgent || p.spare {
		return p.up-1 >= p.MinServing
	}
	p.racks.of(m).up--
	ok := p.up-1-p.widest() >= p.MinServing
	p.racks.of(m).up++
	return ok
}

func (v *view) step(m *machine) fold.VMStep {
	m.taken = true
	return fold.VMStep{VM: m.ID, Epoch: m.Epoch, Term: v.term}
}

func (v *view) drain(m *machine, reason string) {
	if m.up() {
		m.pool.up--
		m.pool.racks.of(m).up--
	}
	v.actions = append(v.actions, Drain{v.step(m), reason})
}

// assign does not count m as serving: the record may turn out void.
func (v *view) assign(m *machine, to *pool) {
	if m.up() { // a spare VM
		m.pool.up--
		m.pool.racks.of(m).up--
	}
	if to != m.pool {
		m.pool.kept--
		to.kept++
		to.racks.of(m).members++
	}
	v.actions = append(v.actions, Assign{v.step(m), to.ID})
}
