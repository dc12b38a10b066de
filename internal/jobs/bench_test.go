package jobs

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// newLoadedPool returns a pool whose targets are full and whose other jobs wait.
func newLoadedPool(b *testing.B, targets, jobs int) (*Pool, time.Time) {
	b.Helper()
	now := time.Unix(1_700_000_000, 0)
	p := NewPool("pool")
	p.SetQueues([]work.Queue{testQueue})
	for i := range targets {
		id := work.TargetID(fmt.Sprintf("t%d", i))
		p.Register(now, work.Registration{ID: id, Pool: "pool", Incarnation: 1, Capacity: work.Resources{CPU: 16000, Memory: 65536}, Rack: "r"})
		p.HandleRunReport(now, work.RunReport{Target: id, Incarnation: 1, RequestedAt: now})
	}
	for i := range jobs {
		id := work.JobID(fmt.Sprintf("%016x", i))
		p.Restore(now, &Record{ID: id, Queue: testQueue, Pool: "pool", Accepted: now, Spec: work.Spec{Payload: "p", Steps: []work.Step{
			{Count: 8, Need: work.Resources{CPU: 1500, Memory: 1800}, Estimate: time.Second},
			{Count: 8, Need: work.Resources{CPU: 1500, Memory: 1800}, Estimate: time.Second, DependsOn: []int{0}},
		}}})
	}
	p.Plan(now)
	return p, now
}

// BenchmarkPlan measures a round of planning in which no task fits.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{10, 100}, {80, 100}, {80, 800}, {131, 300}} {
		b.Run(fmt.Sprintf("targets=%d/jobs=%d", size[0], size[1]), func(b *testing.B) {
			p, now := newLoadedPool(b, size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				p.replan = true
				p.Plan(now)
			}
		})
	}
}

// BenchmarkPlanLookAhead measures a round of planning in which large tasks wait that fit no target, with and without
// reservations.
func BenchmarkPlanLookAhead(b *testing.B) {
	for _, size := range [][2]int{{80, 100}, {80, 800}, {131, 300}} {
		for _, lookAhead := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/jobs=%d/look_ahead=%v", size[0], size[1], lookAhead), func(b *testing.B) {
				p, now := newLoadedPool(b, size[0], size[1])
				p.Bounds.LookAhead = lookAhead
				for i := range 20 {
					id := work.JobID(fmt.Sprintf("%015xf", i))
					p.Restore(now, &Record{ID: id, Queue: work.Queue{ID: "large", Pool: "pool", MaxAttempts: 2, SlackFactor: 2.2, Objective: time.Hour}, Pool: "pool", Accepted: now, Spec: work.Spec{Payload: "p", Steps: []work.Step{
						{Count: 8, Need: work.Resources{CPU: 10000, Memory: 12000}, Estimate: 1700 * time.Millisecond},
					}}})
				}
				for _, t := range p.targets { // two thirds of the runs are expected to end within 250 ms
					for i, r := range t.orderedRuns {
						r.startedAt = now.Add(-1500 * time.Millisecond)
						if i%3 == 0 {
							r.startedAt = now
						}
					}
				}
				b.ReportAllocs()
				round := 0
				for b.Loop() {
					if round++; lookAhead && round%5 == 0 { // targets are chosen in each fifth round: one takes 10 ms, choicePause is 50 ms
						p.ahead = newLookAhead(defaultPolicy)
					}
					p.replan = true
					p.Plan(now)
				}
				if lookAhead {
					b.ReportMetric(float64(p.ahead.book.Len()), "reserved")
				}
			})
		}
	}
}

// BenchmarkTakeover measures the time to decode and restore one job's record, and the memory that the job occupies.
func BenchmarkTakeover(b *testing.B) {
	p, now := newLoadedPool(b, 80, 100)
	changes, _ := p.BeginWrite()
	data, err := changes[0].Record.Encode()
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	next := NewPool("pool")
	n := 0
	for b.Loop() {
		r, err := DecodeRecord(data)
		if err != nil {
			b.Fatal(err)
		}
		r.ID = work.JobID(fmt.Sprintf("%016x", n))
		next.Restore(now, r)
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(len(data)), "record_bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap_bytes/job")
	runtime.KeepAlive(next)
}

// BenchmarkSubmitLoad measures what admission adds up for each submission, with 4,000 jobs in the pool.
func BenchmarkSubmitLoad(b *testing.B) {
	for _, tenants := range []int{0, 120} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			p, now := newLoadedPool(b, 10, 0)
			var configured []work.Tenant
			for i := range tenants {
				configured = append(configured, work.Tenant{ID: tenantName(i), Weight: zipfWeight(i)})
			}
			p.SetTenants(1, configured)
			for i := range 4000 {
				spec := work.Spec{Tenant: tenantName(i % 120), Steps: []work.Step{smallStep, smallStep}}
				p.Restore(now, &Record{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: testQueue, Pool: "pool", Accepted: now, Spec: spec})
			}
			b.ReportAllocs()
			for b.Loop() {
				p.load(now, tenantName(0), admit.Demand{CPUTime: time.Second})
			}
		})
	}
}
