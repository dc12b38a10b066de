package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// benchFleet is an allocator and its partitions. Some of the tenants wait in a pool of their own.
type benchFleet struct {
	alloc   *Allocator
	ledgers []Allowances
	pools   []Pool
	tenants []Tenant
	waiting int
	round   int
	peer    int // bytes of requests and reports
	log     int // bytes of records
	changes int
}

func newBenchFleet(partitions, pools, tenants, waiting int) *benchFleet {
	f := &benchFleet{alloc: &Allocator{Epoch: 1, Partitions: partitions}, ledgers: make([]Allowances, partitions), waiting: waiting}
	for n := range pools {
		f.pools = append(f.pools, Pool{ident.PoolID(fmt.Sprintf("pool-%03d", n)), n % partitions})
	}
	for n := 0; len(f.tenants) < tenants/Slots; n++ {
		if id := work.TenantID(fmt.Sprintf("tenant-%04d", n)); SlotOf(id) == 0 {
			f.tenants = append(f.tenants, Tenant{id, work.Resources{CPU: 200_000, Memory: 400_000}})
		}
	}
	f.alloc.Init()
	f.alloc.Configure(1, f.tenants, f.pools)
	return f
}

// usage returns what a tenant holds and waits for: some tenants wait, in a pool that changes every 30 rounds.
func (f *benchFleet) usage(tenant, pool int, limit Limit) Usage {
	active := (tenant*7+f.round/30)%len(f.pools) == pool
	if tenant >= f.waiting || !active {
		return Usage{}
	}
	need := work.Resources{CPU: 2000, Memory: 4000}
	return Usage{Held: limit.Allowed, Waiting: need.Times(150), Next: need, Member: need}
}

func encoded(b *testing.B, v any) int {
	b.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// exchange sends a request to each partition. The bytes are counted if measure is set.
func (f *benchFleet) exchange(b *testing.B, measure bool) {
	b.Helper()
	for n := range f.ledgers {
		g := f.alloc.Request(n)
		l := &f.ledgers[n]
		l.Accept(&g)
		if w, _ := l.BeginWrite(); w != nil {
			l.MarkDurable(w)
			for _, r := range w.Records {
				f.log += len(r.Key) + len(r.Value)
			}
		}
		r := Report{Slot: g.Slot, Round: g.Round, Stored: l.Stored(0), Full: g.Full, Version: 1}
		for at := n; at < len(f.pools); at += len(f.ledgers) {
			p := f.pools[at]
			for i, t := range f.tenants {
				stored := l.Of(p.ID)[t.ID]
				u := f.usage(i, at, stored)
				if g.Reports(t.ID, stored, stored, &u, t.Cap) {
					r.Entries = append(r.Entries, Entry{p.ID, t.ID, u, stored})
				}
			}
		}
		if measure {
			f.peer += encoded(b, g) + encoded(b, r)
		}
		if err := f.alloc.Handle(n, &r); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRound measures a round of one of the four allocators: the time of its decisions, the bytes of its requests and their
// reports, and the bytes of the records that its grants need.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ partitions, pools, tenants, waiting int }{
		{12, 4, 20, 0}, {12, 4, 20, 5}, {12, 246, 120, 0}, {12, 246, 120, 10}, {12, 246, 120, 30},
	} {
		b.Run(fmt.Sprintf("pools=%d/tenants=%d/waiting=%d", size.pools, size.tenants, size.waiting), func(b *testing.B) {
			f := newBenchFleet(size.partitions, size.pools, size.tenants, size.waiting)
			for range 20 {
				f.exchange(b, false)
				f.alloc.Rebalance()
			}
			f.log = 0
			b.ReportAllocs()
			decisions := time.Duration(0)
			for b.Loop() {
				f.round++
				f.exchange(b, true)
				begin := time.Now()
				changed := f.alloc.Rebalance()
				decisions += time.Since(begin)
				if changed {
					raised, lowered := f.alloc.Changed()
					f.changes += raised + lowered
					f.exchange(b, true)
				}
			}
			b.ReportMetric(float64(decisions.Nanoseconds())/float64(f.round), "decision_ns/round")
			b.ReportMetric(float64(f.peer)/float64(f.round), "peer_bytes/round")
			b.ReportMetric(float64(f.log)/float64(f.round), "log_bytes/round")
			b.ReportMetric(float64(f.changes)/float64(f.round), "changes/round")
		})
	}
}
