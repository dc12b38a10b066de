package quota

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// ErrSuperseded means that a partition has accepted a grant of a later allocator.
var ErrSuperseded = errors.New("a later allocator is at work")

// silentRounds is how many requests in a row a partition leaves unanswered before it gets no raises: a raise that can't
// arrive would keep its amount from the others.
const silentRounds = 3

// historyVersions is how many versions of the configuration are remembered: those that come into force within a few seconds.
const historyVersions = 32

// Tenant is a tenant with a cap.
type Tenant struct {
	ID  work.TenantID
	Cap work.Resources
}

// Pool is a configured pool.
type Pool struct {
	ID        ident.PoolID
	Partition int
}

// Allocator decides the limits of the tenants of one slot. Its state is that of its partitions, so a new one begins with
// their reports. It is not safe for concurrent use. Set its exported fields before the first call.
type Allocator struct {
	Slot       Slot
	Epoch      int64 // above that of all former allocators of the slot
	Partitions int

	version  int64           // of the configuration
	history  []configVersion // the newest last, which is the one in force
	pools    []Pool
	parts    []*part
	tenants  map[work.TenantID]*tenant
	rounds   uint64 // of Rebalance
	asked    []work.TenantID
	raised   int
	lowered  int
	withheld bool

	// The safeguards that a test switches off to show that it finds a violation without them. withoutSilent leaves out
	// partitions that don't answer.
	withoutSilent bool
	// withoutVersions lets it raise limits while partitions plan by other versions, withoutExcess while the counts exceed the cap.
	withoutVersions, withoutExcess bool
	// withoutRest lets it give the rest of the cap to the known partitions, withoutForfeit lets limits move that were revoked.
	withoutRest, withoutForfeit bool
}

// configVersion holds the caps of the slot's tenants in a version of the configuration.
type configVersion struct {
	version int64
	caps    map[work.TenantID]work.Resources
	digest  uint64
}

// part is what the allocator knows of a partition.
type part struct {
	seq      uint64 // of the newest grant
	stored   uint64 // of the newest grant that is known to be durable
	known    bool   // all limits are known, and none of a former allocator can come any more
	round    uint64 // of the newest request
	answered uint64 // round of the newest report
	version  int64
	digest   uint64 // of the caps of that version
	cells    map[limitKey]*cell
}

// cell is a tenant in a pool.
type cell struct {
	part  *part
	sent  []sentLimit // the limit in the newest durable grant, and all later ones
	usage Usage
	fresh uint64 // round of the report that last had an entry for it
	short uint64 // Allocator.rounds since when a task waits and it holds nothing; 0 if none waits
}

type sentLimit struct {
	seq   uint64
	limit Limit
}

// tenant is what the allocator knows of a tenant.
type tenant struct {
	id         work.TenantID
	cap        work.Resources // the last known
	version    int64          // of the configuration that set it; 0 if unknown
	configured bool
	cells      map[ident.PoolID]*cell
	// inherited is the sum of the limits in the first reports of the partitions; zero once they have been revoked. The limits
	// of the partitions that are not known yet may take all the rest of the cap.
	inherited amount
}

// limit returns the newest limit.
func (c *cell) limit() Limit {
	if len(c.sent) == 0 {
		return Limit{}
	}
	return c.sent[len(c.sent)-1].limit
}

// count returns what the tasks of the cell may hold.
func (c *cell) count() amount {
	out := amountOf(c.usage.Held)
	for i := range c.sent {
		out = out.max(amountOf(c.sent[i].limit.Allowed))
	}
	return out
}

// mayExceed reports whether a task above the cap may start.
func (c *cell) mayExceed() bool {
	return slices.ContainsFunc(c.sent, func(s sentLimit) bool { return s.limit.Whole })
}

// prune drops the limits that no partition can have any more.
func (c *cell) prune(stored uint64) {
	first := 0
	for i := range c.sent {
		if c.sent[i].seq <= stored {
			first = i
		}
	}
	c.sent = c.sent[first:]
}

// Init prepares the allocator.
func (a *Allocator) Init() {
	a.tenants = map[work.TenantID]*tenant{}
	for range a.Partitions {
		a.parts = append(a.parts, &part{seq: 1, cells: map[limitKey]*cell{}})
	}
}

// Configure sets the configuration in force. A tenant that is missing keeps its last cap.
func (a *Allocator) Configure(version int64, tenants []Tenant, pools []Pool) {
	if version == a.version {
		return
	}
	a.version, a.pools = version, pools
	caps, digest := map[work.TenantID]work.Resources{}, uint64(0)
	for _, t := range a.tenants {
		t.configured = false
	}
	for i := range tenants {
		if SlotOf(tenants[i].ID) != a.Slot {
			continue
		}
		t := a.tenant(tenants[i].ID)
		t.cap, t.version, t.configured = tenants[i].Cap, version, true
		caps[t.id] = t.cap
		digest = CapsDigest(digest, t.id, t.cap)
	}
	a.history = append(a.history, configVersion{version, caps, digest})
	a.history = a.history[max(0, len(a.history)-historyVersions):]
}

func (a *Allocator) tenant(id work.TenantID) *tenant {
	t := a.tenants[id]
	if t == nil {
		t = &tenant{id: id, cells: map[ident.PoolID]*cell{}}
		a.tenants[id] = t
	}
	return t
}

func (a *Allocator) cell(p *part, pool ident.PoolID, id work.TenantID) *cell {
	key := limitKey{pool, id}
	c := p.cells[key]
	if c == nil {
		c = &cell{part: p}
		p.cells[key] = c
		a.tenant(id).cells[pool] = c
	}
	return c
}

// Request returns the next request to a partition.
func (a *Allocator) Request(partition int) Grant {
	p := a.parts[partition]
	p.round++
	g := Grant{Slot: a.Slot, Number: Number{Epoch: a.Epoch, Seq: p.seq}, Base: p.stored, Round: p.round, Full: !p.known, Tenants: a.asked}
	if p.stored == p.seq {
		return g
	}
	for key, c := range p.cells {
		if n := len(c.sent); n > 0 && c.sent[n-1].seq > p.stored {
			g.Changes = append(g.Changes, Change{Pool: key.pool, Tenant: key.tenant, Limit: c.sent[n-1].limit})
		}
	}
	slices.SortFunc(g.Changes, func(x, y Change) int { return limitKey{x.Pool, x.Tenant}.compare(limitKey{y.Pool, y.Tenant}) })
	return g
}

// NoteUnasked notes that a partition could not be asked, as it has no known owner. It counts as a request without an answer.
func (a *Allocator) NoteUnasked(partition int) { a.parts[partition].round++ }

// Handle handles the report of a partition. One that is older than another of the same partition, by its round or by what it
// has stored, is ignored: it may come from a former owner.
func (a *Allocator) Handle(partition int, r *Report) error {
	p := a.parts[partition]
	if r.Stored.Epoch > a.Epoch {
		return ErrSuperseded
	}
	if r.Slot != a.Slot || r.Round <= p.answered || r.Round > p.round || r.Stored.Epoch < a.Epoch || r.Stored.Seq < p.stored {
		return nil
	}
	if !p.known && !r.Full {
		return nil
	}
	p.answered, p.version, p.digest, p.stored = r.Round, r.Version, r.Caps, r.Stored.Seq
	first := !p.known
	p.known = true
	for _, c := range p.cells {
		c.prune(p.stored)
		c.usage = Usage{Cap: c.usage.Cap}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if SlotOf(e.Tenant) != a.Slot {
			continue
		}
		c := a.cell(p, e.Pool, e.Tenant)
		if first {
			c.sent = []sentLimit{{0, e.Limit}}
			t := a.tenant(e.Tenant)
			t.inherited = t.inherited.plus(amountOf(e.Limit.Allowed))
		}
		c.usage, c.fresh = e.Usage, r.Round
		if t := a.tenant(e.Tenant); !t.configured { // it was removed, or is not known yet
			switch {
			case e.Limit.Version > t.version:
				t.cap, t.version = e.Limit.Cap, e.Limit.Version
			case t.version == 0 && !Limits(t.cap):
				t.cap = e.Usage.Cap
			}
		}
	}
	return nil
}

// Ready reports whether all partitions have told their limits, by the configuration in force.
func (a *Allocator) Ready() bool {
	for _, p := range a.parts {
		if !p.known && !a.withoutSilent || p.version != a.version && !a.withoutVersions && !a.withoutSilent {
			return false
		}
	}
	return a.version > 0
}

// mayRaise reports whether limits of a tenant may be raised: all partitions that have told their limits plan by the tenant's
// cap. By another one, they may let it hold what their reports don't show.
func (a *Allocator) mayRaise(t *tenant) bool {
	for _, p := range a.parts {
		if p.known && !a.plansByCap(p, t) && !a.withoutVersions && !a.withoutSilent {
			return false
		}
	}
	return a.version > 0 && !a.withheld
}

// allKnown reports whether all partitions have told their limits.
func (a *Allocator) allKnown() bool {
	return a.withoutSilent || !slices.ContainsFunc(a.parts, func(p *part) bool { return !p.known })
}

// plansByCap reports whether a partition plans by the cap of a tenant that is in force: by the same version, by one since which
// the cap has not changed, or by one that has not been seen here and has the same caps of all tenants of the slot. A partition
// that doesn't answer may have any version since its last report, so all of them must have been seen then.
func (a *Allocator) plansByCap(p *part, t *tenant) bool {
	if p.version == a.version {
		return true
	}
	if !t.configured {
		return false
	}
	sameDigest := p.live() && p.digest != 0 && p.digest == a.history[len(a.history)-1].digest
	next := a.version
	for i := len(a.history) - 1; i >= 0; i-- {
		h := &a.history[i]
		if h.version < p.version {
			break // its version has not been seen here
		}
		if c, has := h.caps[t.id]; !has || c != t.cap || h.version < next-1 && !p.live() {
			return false
		}
		if h.version == p.version {
			return true
		}
		next = h.version
	}
	return sameDigest
}

// Withhold makes the allocator raise no limit, because the configuration may not be the newest.
func (a *Allocator) Withhold(on bool) { a.withheld = on }

// Withheld reports whether the allocator raises no limit, as Withhold has set.
func (a *Allocator) Withheld() bool { return a.withheld }

// Rebalance decides new limits by what is known, and reports whether there are any.
func (a *Allocator) Rebalance() bool {
	a.rounds++
	a.raised, a.lowered = 0, 0
	a.asked = a.asked[:0:0]
	for _, id := range slices.Sorted(maps.Keys(a.tenants)) {
		if t := a.tenants[id]; Limits(t.cap) {
			a.rebalance(t)
		}
	}
	for _, p := range a.parts {
		for _, c := range p.cells {
			if n := len(c.sent); n > 0 && c.sent[n-1].seq > p.seq {
				p.seq++ // all changes of a round have the same number
				break
			}
		}
	}
	return a.raised+a.lowered > 0
}

// live reports whether the partition has answered one of the last requests.
func (p *part) live() bool { return p.known && p.round-p.answered < silentRounds }

// Changed returns how many limits the last round has raised and lowered.
func (a *Allocator) Changed() (raised, lowered int) { return a.raised, a.lowered }

// set sets a limit in the next grant.
func (a *Allocator) set(c *cell, l Limit) {
	before := c.limit()
	if l == before {
		return
	}
	if !before.Allowed.Fits(l.Allowed) {
		a.lowered++
	} else {
		a.raised++
	}
	seq := c.part.seq + 1
	if n := len(c.sent); n > 0 && c.sent[n-1].seq == seq {
		c.sent[n-1].limit = l // not sent yet
		return
	}
	if len(c.sent) == 0 {
		c.sent = append(c.sent, sentLimit{})
	}
	c.sent = append(c.sent, sentLimit{seq, l})
}
