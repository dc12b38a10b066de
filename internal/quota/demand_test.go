package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	demandPeriod = 150 * time.Millisecond // between two rounds of the allocator
	demandWrite  = 20 * time.Millisecond
	demandTick   = 5 * time.Millisecond
	demandCap    = 200_000 // thousandths of a core
)

// demandPool is a pool in a partition of its own.
type demandPool struct {
	id      ident.PoolID
	ledger  Allowances
	written *Write // in flight
	doneAt  time.Duration
	ends    []time.Duration
	needs   []int64
	next    int64 // need of the task that waits; 0 if none
	starts  int
}

func (p *demandPool) held() (sum int64) {
	for _, n := range p.needs {
		sum += n
	}
	return sum
}

// demand plays the pools of a tenant over time.
type demand struct {
	random *rand.Rand
	now    time.Duration
	alloc  *Allocator
	epoch  int64
	pools  []*demandPool
	bytes  int                                         // of records
	grants int                                         // with changes
	waits  func(now time.Duration, pool int) (n int64) // waiting amount, beside the next task
	// version returns the version by which a pool plans, answers whether it answers; nil: version 1, and all answer.
	version func(pool int) int64
	answers func(pool int) bool
	unowned func(pool int) bool // nil: all pools have owners
}

const demandPools = 4

func newDemand() *demand {
	d := &demand{random: rand.New(rand.NewPCG(1, 2))}
	for n := range demandPools {
		d.pools = append(d.pools, &demandPool{id: ident.PoolID(fmt.Sprint("p", n))})
	}
	d.replaceAllocator()
	return d
}

func (d *demand) replaceAllocator() {
	d.epoch++
	d.alloc = &Allocator{Epoch: d.epoch, Partitions: len(d.pools)}
	d.alloc.Init()
	var pools []Pool
	for n, p := range d.pools {
		pools = append(pools, Pool{p.id, n})
	}
	d.alloc.Configure(1, []Tenant{{simTenant, work.Resources{CPU: demandCap}}}, pools)
}

func (d *demand) view() View {
	return View{Configured: true, Known: true, Version: 1, Cap: work.Resources{CPU: demandCap}}
}

// tick plays demandTick.
func (d *demand) tick() {
	d.now += demandTick
	for n, p := range d.pools {
		for i := 0; i < len(p.ends); i++ {
			if p.ends[i] <= d.now {
				p.ends, p.needs = append(p.ends[:i], p.ends[i+1:]...), append(p.needs[:i], p.needs[i+1:]...)
				i--
			}
		}
		if p.written != nil && d.now >= p.doneAt {
			p.ledger.MarkDurable(p.written)
			p.written = nil
		}
		if p.written == nil {
			if p.written, _ = p.ledger.BeginWrite(); p.written != nil {
				p.doneAt = d.now + demandWrite
				for _, r := range p.written.Records {
					d.bytes += len(r.Key) + len(r.Value)
				}
			}
		}
		for left := d.waits(d.now, n); left > 0; {
			if p.next == 0 {
				p.next = 1500 + d.random.Int64N(4500)
			}
			need := work.Resources{CPU: work.Millicores(p.next)}
			c, limit := d.view().Effective(p.ledger.Of(p.id)[simTenant])
			if !limit.Allows(work.Resources{CPU: work.Millicores(p.held())}, need, need, c) {
				break
			}
			p.needs = append(p.needs, p.next)
			p.ends = append(p.ends, d.now+640*time.Millisecond+time.Duration(d.random.Int64N(int64(360*time.Millisecond))))
			left -= p.next
			p.next = 0
			p.starts++
		}
	}
	if d.now%demandPeriod == 0 {
		d.round()
	}
}

func (d *demand) round() {
	if d.alloc == nil {
		return
	}
	d.exchange()
	if d.alloc.Rebalance() {
		d.exchange()
	}
}

// exchange sends a request to each pool and handles the report.
func (d *demand) exchange() {
	for n, p := range d.pools {
		if d.unowned != nil && d.unowned(n) {
			d.alloc.NoteUnasked(n)
			continue
		}
		g := d.alloc.Request(n)
		if len(g.Changes) > 0 {
			d.grants++
		}
		if d.answers != nil && !d.answers(n) {
			continue
		}
		p.ledger.Accept(&g)
		stored := p.ledger.Of(p.id)[simTenant]
		c, limit := d.view().Effective(stored)
		u := Usage{Held: work.Resources{CPU: work.Millicores(p.held())}}
		if left := d.waits(d.now, n); left > 0 && p.next > 0 {
			u.Next.CPU, u.Member.CPU, u.Waiting.CPU = work.Millicores(p.next), work.Millicores(p.next), work.Millicores(left)
		}
		r := Report{Round: g.Round, Stored: p.ledger.Stored(0), Full: g.Full, Version: 1}
		if d.version != nil {
			r.Version = d.version(n)
		}
		if g.Reports(simTenant, stored, limit, &u, c) {
			r.Entries = append(r.Entries, Entry{p.id, simTenant, u, stored})
		}
		_ = d.alloc.Handle(n, &r)
	}
}

func (d *demand) held() (sum int64) {
	for _, p := range d.pools {
		sum += p.held()
	}
	return sum
}

// Guards against a cap that can't be used where it is needed: nearly all demand falls on one pool, a different one every
// 4.5 s, and the queue before is empty then.
func TestDemandThatMovesIsFollowed(t *testing.T) {
	const (
		dwell   = 4500 * time.Millisecond
		warm    = time.Second
		least   = 0.9
		minutes = time.Minute
	)
	d := newDemand()
	d.waits = func(now time.Duration, pool int) int64 {
		if int(now/dwell)%demandPools == pool {
			return 5 * demandCap
		}
		return 0
	}
	used, ticks := int64(0), int64(0)
	for d.now < minutes {
		d.tick()
		if d.now >= warm {
			used += d.held()
			ticks++
		}
		if got := d.held(); got > demandCap {
			t.Fatalf("%d held at %v, cap %d", got, d.now, demandCap)
		}
	}
	share := float64(used) / float64(ticks) / demandCap
	starts := 0
	for _, p := range d.pools {
		starts += p.starts
	}
	t.Logf("%.3f of the cap used, %d grants with changes, %d bytes of records, %d starts", share, d.grants, d.bytes, starts)
	const bytesPerTask = 50 // far less than the records of its job take
	if d.bytes*10 > starts*bytesPerTask {
		t.Errorf("%d bytes of records for %d starts, want at most a tenth of %d each", d.bytes, starts, bytesPerTask)
	}
	if share < least {
		t.Errorf("%.3f of the cap used, want at least %v", share, least)
	}
}

// Guards against grants, and so records in the log, in a state that doesn't change.
func TestSteadyDemandNeedsNoGrants(t *testing.T) {
	d := newDemand()
	d.waits = func(_ time.Duration, pool int) int64 {
		if pool < 3 {
			return 5 * demandCap
		}
		return 0
	}
	for d.now < 10*time.Second {
		d.tick()
	}
	before := d.grants
	for d.now < 40*time.Second {
		d.tick()
	}
	if got := d.grants - before; got != 0 {
		t.Errorf("%d grants with changes in 30 s of steady demand, want none", got)
	}
}

// Guards against pools that stop when their allocator is lost.
func TestPoolsGoOnWithoutAllocator(t *testing.T) {
	d := newDemand()
	d.waits = func(time.Duration, int) int64 { return 3000 }
	for d.now < 3*time.Second {
		d.tick()
	}
	d.alloc = nil
	var before []int
	for _, p := range d.pools {
		before = append(before, p.starts)
	}
	for d.now < 8*time.Second {
		d.tick()
	}
	for n, p := range d.pools {
		if p.starts == before[n] {
			t.Errorf("pool %s started nothing in 5 s without an allocator", p.id)
		}
	}
	d.replaceAllocator()
	d.waits = func(_ time.Duration, pool int) int64 { return int64(pool/3) * demandCap }
	for d.now < 10*time.Second {
		d.tick()
	}
	if got := d.pools[3].held(); got < demandCap*9/10 {
		t.Errorf("%d held in the only pool with demand after the allocator was replaced, want 0.9 of %d", got, demandCap)
	}
}

// Guards against a pool whose task never starts because each of several pools waits for it with a part of the cap, and
// against a task above the cap that never starts although the tenant holds little.
func TestLargeTasksStart(t *testing.T) {
	for _, need := range []int64{demandCap * 3 / 4, demandCap * 2} {
		d := newDemand()
		d.waits = func(_ time.Duration, pool int) int64 {
			if p := d.pools[pool]; p.next != 0 && p.next < need {
				p.next = need
			}
			return need
		}
		for d.now < 20*time.Second {
			d.tick()
		}
		for _, p := range d.pools {
			if p.starts < 2 {
				t.Errorf("need %d: pool %s started %d tasks in 20 s, want at least 2", need, p.id, p.starts)
			}
		}
	}
}
