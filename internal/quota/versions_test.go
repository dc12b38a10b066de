package quota

import (
	"strconv"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// configure puts a version of the configuration in force at the allocator.
func (d *demand) configure(version int64, caps work.Resources, others ...Tenant) {
	var pools []Pool
	for n, p := range d.pools {
		pools = append(pools, Pool{p.id, n})
	}
	d.alloc.Configure(version, append([]Tenant{{simTenant, caps}}, others...), pools)
}

// otherTenantIn returns a tenant of a slot that is not the given one.
func otherTenantIn(s Slot, not work.TenantID) work.TenantID {
	for n := 0; ; n++ {
		if id := work.TenantID("other-" + strconv.Itoa(n)); SlotOf(id) == s && id != not {
			return id
		}
	}
}

// Guards against a tenant that waits in one pool, far below its cap, while new versions of the configuration that don't
// change its cap reach the owner of another pool late or not at all.
func TestVersionsWithTheSameCapDontDelayRaises(t *testing.T) {
	const (
		period = 330 * time.Millisecond
		until  = 4 * time.Second
	)
	for _, test := range []struct {
		name   string
		silent bool  // pool 3 doesn't answer
		lag    int64 // of its version
	}{{"lagging owner", false, 1}, {"silent owner", true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			d := newDemand()
			d.waits = func(_ time.Duration, pool int) int64 {
				if pool == 0 {
					return 5 * demandCap
				}
				return 0
			}
			for d.now < 2*time.Second {
				d.tick()
			}
			begin := d.now
			d.waits = func(_ time.Duration, pool int) int64 { // pool 0 has nothing to do any more
				if pool == 1 {
					return 5 * demandCap
				}
				return 0
			}
			d.version = func(pool int) int64 {
				v := 1 + int64((d.now-begin)/period)
				if pool == 3 {
					return max(1, v-test.lag)
				}
				return v
			}
			d.answers = func(pool int) bool { return !test.silent || pool != 3 }
			for d.now-begin < until {
				v := d.version(0)
				d.configure(v, work.Resources{CPU: demandCap}, Tenant{otherTenantIn(0, simTenant), work.Resources{CPU: work.Millicores(1000 * v)}})
				d.tick()
			}
			if got := d.pools[1].held(); got < demandCap/2 {
				t.Errorf("%d held in the only pool that waits, want at least half of %d", got, demandCap)
			}
		})
	}
}

// Guards against raises while a partition plans by a version without the tenant's cap, or may do so: what it holds then is in
// no report.
func TestRaisesAwaitTheSameCap(t *testing.T) {
	const caps = 1000
	other := otherTenantIn(0, simTenant)
	for _, test := range []struct {
		name     string
		versions []int64 // that the allocator has seen, with the caps below
		caps     []work.Millicores
		reported int64 // of the other partition
		silent   bool
		want     bool
		digest   []work.Millicores // caps of that version, of the tenant and another one; nil if they are unknown
	}{
		{"same version", []int64{3}, []work.Millicores{caps}, 3, false, true, nil},
		{"unchanged", []int64{3, 4}, []work.Millicores{caps, caps}, 3, false, true, nil},
		{"no cap before", []int64{3, 4}, []work.Millicores{0, caps}, 3, false, false, nil},
		{"no cap between", []int64{3, 4, 5}, []work.Millicores{caps, 0, caps}, 3, false, false, nil},
		{"unknown version", []int64{4}, []work.Millicores{caps}, 3, false, false, nil},
		{"newer version", []int64{3}, []work.Millicores{caps}, 4, false, false, nil},
		{"silent, all versions known", []int64{3, 4}, []work.Millicores{caps, caps}, 3, true, true, nil},
		{"silent, a version skipped", []int64{3, 5}, []work.Millicores{caps, caps}, 3, true, false, nil},
		{"no cap between, same caps", []int64{3, 4, 5}, []work.Millicores{caps, 0, caps}, 3, false, false, []work.Millicores{caps, 2 * caps}},
		{"skipped version, same caps", []int64{3, 5}, []work.Millicores{caps, caps}, 4, false, true, []work.Millicores{caps, 2 * caps}},
		{"skipped version, another cap", []int64{3, 5}, []work.Millicores{caps, caps}, 4, false, false, []work.Millicores{0, 2 * caps}},
		{"newer version, same caps", []int64{3}, []work.Millicores{caps}, 4, false, true, []work.Millicores{caps, 2 * caps}},
		{"newer version, another cap", []int64{3}, []work.Millicores{caps}, 4, false, false, []work.Millicores{0, 2 * caps}},
		{"newer version, another cap of another tenant", []int64{3}, []work.Millicores{caps}, 4, false, false, []work.Millicores{caps, caps}},
		{"newer version, same caps, silent", []int64{3}, []work.Millicores{caps}, 4, true, false, []work.Millicores{caps, 2 * caps}},
	} {
		a := &Allocator{Epoch: 1, Partitions: 2}
		a.Init()
		pools := []Pool{{"p0", 0}, {"p1", 1}}
		report := func(partition int, version int64) {
			g := a.Request(partition)
			r := Report{Round: g.Round, Stored: g.Number, Full: true, Version: version}
			if partition == 1 && test.digest != nil {
				r.Caps = CapsDigest(CapsDigest(0, other, work.Resources{CPU: test.digest[1]}), simTenant, work.Resources{CPU: test.digest[0]})
			}
			if partition == 0 {
				r.Entries = []Entry{{Pool: "p0", Tenant: simTenant, Usage: Usage{Next: work.Resources{CPU: 500}, Member: work.Resources{CPU: 500}, Waiting: work.Resources{CPU: 500}}}}
			}
			if err := a.Handle(partition, &r); err != nil {
				t.Fatal(err)
			}
		}
		newest := test.versions[len(test.versions)-1]
		for i, v := range test.versions {
			a.Configure(v, []Tenant{{simTenant, work.Resources{CPU: test.caps[i]}}, {other, work.Resources{CPU: 2 * caps}}}, pools)
		}
		report(1, test.reported)
		for test.silent && a.parts[1].live() {
			a.Request(1)
		}
		report(0, newest)
		a.Rebalance()
		l := Limit{}
		if c := a.tenant(simTenant).cells["p0"]; c != nil {
			l = c.limit()
		}
		if raised := l.Allowed != (work.Resources{}); raised != test.want {
			t.Errorf("%s: raised %v, want %v", test.name, raised, test.want)
		}
	}
}

// Guards against a tenant that starts nothing anywhere while the partition of a pool that waits for a task above the cap has
// no owner: the whole cap would be kept for that pool.
func TestPoolWithoutOwnerDoesNotKeepTheCap(t *testing.T) {
	d := newDemand()
	task := func(pool int, need int64) func(time.Duration, int) int64 {
		return func(_ time.Duration, n int) int64 {
			if n != pool || d.pools[n].starts > 0 {
				return 0
			}
			d.pools[n].next = need
			return need
		}
	}
	for d.waits = task(1, demandCap*3/10); d.pools[1].starts == 0; {
		d.tick()
	}
	d.pools[1].ends[0] = d.now + 2*time.Second
	d.waits = task(0, demandCap*2)
	for range 2 * demandPeriod / demandTick {
		d.tick()
	}
	if d.pools[0].starts > 0 {
		t.Fatal("the task above the cap has started, want it to wait for the other one to end")
	}
	d.unowned = func(pool int) bool { return pool == 0 }
	d.waits = func(_ time.Duration, pool int) int64 { return int64(min(pool, 1)) * demandCap }
	for begin := d.now; d.now-begin < 3*time.Second; {
		d.tick()
	}
	for _, p := range d.pools[2:] {
		if p.starts == 0 {
			t.Errorf("pool %s started nothing in 3 s", p.id)
		}
	}
}

// Guards against a tenant that waits, far below its cap, while an allocator is new and the partition of another pool has no
// owner yet: limits of idle pools could move.
func TestLimitsMoveWhileAPartitionIsNotKnown(t *testing.T) {
	d := newDemand()
	waits := func(pool int) func(time.Duration, int) int64 {
		return func(_ time.Duration, n int) int64 {
			if n != pool {
				return 0
			}
			return 5 * demandCap
		}
	}
	for d.waits = waits(0); d.now < 2*time.Second; {
		d.tick()
	}
	d.replaceAllocator()
	d.unowned = func(pool int) bool { return pool == 3 }
	d.waits = waits(1)
	for begin := d.now; d.now-begin < 3*time.Second; {
		d.tick()
		if got := d.held(); got > demandCap {
			t.Fatalf("%d held, cap %d", got, demandCap)
		}
	}
	if got := d.pools[1].held(); got < demandCap/2 {
		t.Errorf("%d held in the only pool that waits, want at least half of %d", got, demandCap)
	}
}
