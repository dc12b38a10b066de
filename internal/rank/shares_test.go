package rank

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The methods of heap.Interface, for the reference.

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(heapItem)) }

func (h *jobHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// plainSort is Sort as it was before jobs had tenants, the reference for pools without tenants.
func plainSort(jobs []Job, cores float64) []Position {
	own := make([]Class, len(jobs))
	for i := range jobs {
		own[i] = jobs[i].class()
	}
	planned := newPlan(jobs, own, cores)
	planned.plainFitOnTime()
	planned.plainFitLate()
	if lost := planned.count(ClassExpired); lost > count(own, ClassExpired) {
		rescuing := newPlan(jobs, own, cores)
		rescuing.plainFitTogether()
		rescued := lost - rescuing.count(ClassExpired)
		delayed := planned.count(ClassOnTime) - rescuing.count(ClassOnTime)
		if rescued > 0 && delayed <= maxDelayedPerRescue*rescued {
			planned = rescuing
		}
	}
	return planned.order()
}

// plainFitOnTime postpones jobs of ClassOnTime until the rest of them can be completed
// in time. It goes through the jobs by deadline, and whenever their total CPU time
// exceeds what the cores provide until the deadline, it postpones the largest job
// so far that has not started.
func (p *plan) plainFitOnTime() {
	if p.cores <= 0 {
		return
	}
	var candidates jobHeap
	total := time.Duration(0)
	for _, i := range p.byTimeLeft(ClassOnTime) {
		total += p.jobs[i].CPUTime
		if !p.jobs[i].Started {
			p.pushByCPUTime(&candidates, i)
		}
		for len(candidates) > 0 && p.exceeds(total, p.jobs[i].timeLeft(ClassOnTime)) {
			total -= p.downgradeLargest(&candidates, ClassLate)
		}
	}
}

// plainFitLate gives up late jobs in the same way until the rest of them can be completed, behind all jobs on time, while they
// are of use.
func (p *plan) plainFitLate() {
	if p.cores <= 0 {
		return
	}
	var candidates jobHeap
	total := time.Duration(0)
	for i := range p.jobs {
		if p.class[i] == ClassOnTime {
			total += p.jobs[i].CPUTime
		}
	}
	for _, i := range p.byTimeLeft(ClassLate) {
		total += p.jobs[i].CPUTime
		p.pushByCPUTime(&candidates, i)
		for len(candidates) > 0 && p.exceeds(total, p.jobs[i].timeLeft(ClassLate)) {
			total -= p.downgradeLargest(&candidates, ClassExpired)
		}
	}
}

// plainFitTogether goes through the jobs of both classes by the time that is left. It postpones jobs on time also where a late
// job could not be completed otherwise, and gives up a late job only where no job is left to postpone.
func (p *plan) plainFitTogether() {
	p.mixed = true
	if p.cores <= 0 {
		return
	}
	var pending jobHeap // by the time that is left
	for _, c := range []Class{ClassOnTime, ClassLate} {
		for _, i := range p.byTimeLeft(c) {
			heap.Push(&pending, heapItem{i, p.jobs[i].timeLeft(c)})
		}
	}
	var onTime, late jobHeap
	total := time.Duration(0)
	for len(pending) > 0 {
		next := heap.Pop(&pending).(heapItem)
		job := &p.jobs[next.index]
		total += job.CPUTime
		if p.class[next.index] == ClassLate {
			p.pushByCPUTime(&late, next.index)
		} else if !job.Started {
			p.pushByCPUTime(&onTime, next.index)
		}
		for len(onTime)+len(late) > 0 && p.exceeds(total, next.key) {
			if len(onTime) == 0 {
				total -= p.downgradeLargest(&late, ClassExpired)
				continue
			}
			postponed := onTime[0].index
			total -= p.downgradeLargest(&onTime, ClassLate)
			heap.Push(&pending, heapItem{postponed, p.jobs[postponed].timeLeft(ClassLate)})
		}
	}
}

// pushByCPUTime pushes a job onto a heap that has the one with the most CPU time on top.
func (p *plan) pushByCPUTime(h *jobHeap, index int) {
	heap.Push(h, heapItem{index, -p.jobs[index].CPUTime})
}

// downgradeLargest removes the job with the most CPU time from a heap, moves it to class c, and returns its CPU time.
func (p *plan) downgradeLargest(h *jobHeap, c Class) time.Duration {
	largest := heap.Pop(h).(heapItem).index
	p.class[largest] = c
	return p.jobs[largest].CPUTime
}

// randomJobs returns jobs of a burst of several times the capacity of the cores, of the given number of tenants.
func randomJobs(rng *rand.Rand, n, tenants int, cores float64) []Job {
	jobs := make([]Job, n)
	for i := range jobs {
		objective := time.Duration(1+rng.IntN(3)) * time.Second
		work := time.Duration(rng.ExpFloat64() * 6 * cores * float64(time.Second) / float64(n))
		tenant := rng.IntN(tenants)
		jobs[i] = Job{
			Service: rng.IntN(40) == 0, Priority: rng.IntN(2), Waited: time.Duration(rng.Float64() * 2 * float64(objective)), Objective: objective,
			Remaining: time.Duration(rng.Float64() * float64(objective) / 2), Started: rng.IntN(4) == 0, CPUTime: work.Truncate(10 * time.Millisecond),
			Tenant: tenant, Weight: 1 / float64(tenant+1),
		}
	}
	return jobs
}

// Guards against another order where there are no tenants, or all jobs are of one: on random jobs, with equal CPU times and
// deadlines among them, Sort returns what it did before jobs had tenants.
func TestOneTenantHasTheOrderOfNone(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for round := range 2000 {
		cores := float64(rng.IntN(4)) * 50 // none at all in some rounds
		jobs := randomJobs(rng, 1+rng.IntN(120), 1, 100)
		if round%2 == 0 {
			for i := range jobs {
				jobs[i].Weight = 0
			}
		}
		if got, want := Sort(jobs, cores), plainSort(jobs, cores); !slices.Equal(got, want) {
			t.Fatalf("round %d: order %v, want %v", round, got, want)
		}
	}
}

// Guards against a heap of tenants that loses its order: on random jobs, the tenant that a job is taken from is the one
// that a search of all tenants finds.
func TestTakesFromTenantFurthestOverShare(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		tenants := 1 + rng.IntN(12)
		jobs := randomJobs(rng, 100, tenants, 100)
		s := newShares(jobs)
		work, left := make([]time.Duration, tenants), make([][]int, tenants)
		for i := range jobs {
			tenant := jobs[i].Tenant
			s.addWork(i)
			work[tenant] += jobs[i].CPUTime
			if !jobs[i].Started {
				s.addCandidate(i, ClassOnTime)
				left[tenant] = append(left[tenant], i)
			}
			if rng.IntN(3) == 0 || s.empty() {
				continue
			}
			furthest := -1
			for k := range tenants {
				if len(left[k]) > 0 && (furthest < 0 || float64(work[k])*float64(k+1) > float64(work[furthest])*float64(furthest+1)) {
					furthest = k
				}
			}
			got, class := s.take()
			largest := slices.MaxFunc(left[furthest], func(a, b int) int { return int(jobs[a].CPUTime - jobs[b].CPUTime) })
			if jobs[got].Tenant != furthest || jobs[got].CPUTime != jobs[largest].CPUTime || class != ClassLate {
				t.Fatalf("took job %d of tenant %d, want %d of tenant %d", got, jobs[got].Tenant, largest, furthest)
			}
			work[furthest] -= jobs[got].CPUTime
			left[furthest] = slices.DeleteFunc(left[furthest], func(i int) bool { return i == got })
		}
	}
}

// Guards against capacity that a tenant takes from jobs of others that could be in time: a tenant with many jobs beside
// tenants within their shares is the only one whose jobs are postponed and given up, whatever their sizes.
func TestTenantOverItsShareIsPostponed(t *testing.T) {
	var jobs []Job
	for i := range 60 {
		j := Job{Objective: 3 * time.Second, Remaining: time.Second, CPUTime: 10 * time.Second, Tenant: 0, Weight: 1}
		if i%4 == 0 { // larger, with a longer objective
			j.Objective, j.CPUTime, j.Tenant = 4*time.Second, 15*time.Second, 1+i%3
		}
		jobs = append(jobs, j)
	}
	behind := 0
	for _, p := range Sort(jobs, 150) {
		tenant := jobs[p.Index].Tenant
		if p.Class != ClassOnTime {
			behind++
			if tenant != 0 {
				t.Errorf("job %d of tenant %d has class %d, want it on time", p.Index, tenant, p.Class)
			}
		} else if behind > 0 {
			t.Errorf("job %d of tenant %d is on time and behind %d late jobs", p.Index, tenant, behind)
		}
	}
	if behind == 0 {
		t.Error("no job is postponed, want some of tenant 0")
	}
}

// Guards against a tenant with a small weight whose only job counts as more than its share: beside a tenant with many jobs,
// the job goes first although its deadline is later.
func TestOnlyJobOfSmallTenantGoesFirst(t *testing.T) {
	jobs := []Job{{Objective: 5 * time.Second, Remaining: time.Second, CPUTime: 20 * time.Second, Tenant: 1, Weight: 0.01}}
	for range 30 {
		jobs = append(jobs, Job{Objective: 3 * time.Second, Remaining: time.Second, CPUTime: 10 * time.Second, Weight: 1})
	}
	if got := Sort(jobs, 150)[0]; got.Index != 0 || got.Class != ClassOnTime {
		t.Errorf("first is job %d of class %d, want the only job of its tenant on time", got.Index, got.Class)
	}
}

// BenchmarkSort measures the order of 4,000 jobs in a burst of several times the capacity.
func BenchmarkSort(b *testing.B) {
	for _, tenants := range []int{1, 20, 120} {
		jobs := randomJobs(rand.New(rand.NewPCG(1, 2)), 4000, tenants, 2000)
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Sort(jobs, 2000)
			}
		})
		if tenants == 1 {
			b.Run("plain", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					plainSort(jobs, 2000)
				}
			})
		}
	}
}
