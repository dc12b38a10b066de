package rank

import (
	"cmp"
	"slices"
	"time"
)

// plan assigns each job the class that it can reach beside the others.
type plan struct {
	jobs  []Job
	class []Class
	cores float64
	mixed bool   // late jobs go among those on time, by the time that is left
	over  []bool // by tenant; nil if none is over its share
}

func newPlan(jobs []Job, own []Class, cores float64) *plan {
	return &plan{jobs: jobs, class: slices.Clone(own), cores: cores}
}

func count(classes []Class, c Class) int {
	n := 0
	for _, x := range classes {
		if x == c {
			n++
		}
	}
	return n
}

func (p *plan) count(c Class) int { return count(p.class, c) }

// exceeds reports whether work of the given CPU time can't be completed within left.
func (p *plan) exceeds(work, left time.Duration) bool {
	return float64(work) > usableShare*p.cores*float64(left)
}

// byTimeLeft returns the jobs of a class, those with the least time left first.
func (p *plan) byTimeLeft(c Class) []int {
	var out []int
	for i := range p.jobs {
		if p.class[i] == c {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(p.jobs[a].timeLeft(c), p.jobs[b].timeLeft(c)) })
	return out
}

// fitOnTime postpones jobs of ClassOnTime until the rest of them can be completed
// in time. It goes through the jobs by deadline, and whenever their total CPU time
// exceeds what the cores provide until the deadline, it postpones the largest job
// so far that has not started, of the tenant that is furthest over its share.
func (p *plan) fitOnTime() {
	if p.cores <= 0 {
		return
	}
	candidates := newShares(p.jobs)
	total := time.Duration(0)
	for _, i := range p.byTimeLeft(ClassOnTime) {
		total += p.jobs[i].CPUTime
		candidates.addWork(i)
		if !p.jobs[i].Started {
			candidates.addCandidate(i, ClassOnTime)
		}
		for !candidates.empty() && p.exceeds(total, p.jobs[i].timeLeft(ClassOnTime)) {
			total -= p.jobs[p.downgrade(candidates)].CPUTime
		}
	}
}

// fitLate gives up late jobs in the same way until the rest of them can be completed, behind all jobs on time, while they
// are of use. The jobs on time count toward their tenants' shares.
func (p *plan) fitLate() {
	if p.cores <= 0 {
		return
	}
	candidates := newShares(p.jobs)
	total := time.Duration(0)
	for i := range p.jobs {
		if p.class[i] == ClassOnTime {
			total += p.jobs[i].CPUTime
			candidates.addWork(i)
		}
	}
	for _, i := range p.byTimeLeft(ClassLate) {
		total += p.jobs[i].CPUTime
		candidates.addWork(i)
		candidates.addCandidate(i, ClassLate)
		for !candidates.empty() && p.exceeds(total, p.jobs[i].timeLeft(ClassLate)) {
			total -= p.jobs[p.downgrade(candidates)].CPUTime
		}
	}
}

// fitTogether goes through the jobs of both classes by the time that is left. It postpones jobs on time also where a late
// job could not be completed otherwise, and gives up a late job only where its tenant, which is the one furthest over its
// share, has no job left to postpone.
func (p *plan) fitTogether() {
	p.mixed = true
	if p.cores <= 0 {
		return
	}
	var pending jobHeap // by the time that is left
	for _, c := range []Class{ClassOnTime, ClassLate} {
		for _, i := range p.byTimeLeft(c) {
			pending.push(heapItem{i, p.jobs[i].timeLeft(c)})
		}
	}
	candidates := newShares(p.jobs)
	total := time.Duration(0)
	for len(pending) > 0 {
		next := pending.pop()
		job := &p.jobs[next.index]
		total += job.CPUTime
		candidates.addWork(next.index)
		if p.class[next.index] == ClassLate || !job.Started {
			candidates.addCandidate(next.index, p.class[next.index])
		}
		for !candidates.empty() && p.exceeds(total, next.key) {
			index := p.downgrade(candidates)
			total -= p.jobs[index].CPUTime
			if p.class[index] == ClassLate {
				pending.push(heapItem{index, p.jobs[index].timeLeft(ClassLate)})
			}
		}
	}
}

// downgrade moves a job from the candidates to the next class and returns its index.
func (p *plan) downgrade(candidates *shares) int {
	index, c := candidates.take()
	p.class[index] = c
	return index
}

// order returns the jobs in the order in which they get resources.
func (p *plan) order() []Position {
	out := make([]Position, len(p.jobs))
	for i := range out {
		out[i] = Position{Index: i, Class: p.class[i]}
	}
	slices.SortStableFunc(out, func(a, b Position) int {
		return cmp.Or(cmp.Compare(p.group(a.Class), p.group(b.Class)), p.compare(a, b))
	})
	return out
}

// group returns the class whose jobs are sorted together with those of c.
func (p *plan) group(c Class) Class {
	if p.mixed && c == ClassLate {
		return ClassOnTime
	}
	return c
}

// compare orders two jobs of one group.
func (p *plan) compare(x, y Position) int {
	a, b := &p.jobs[x.Index], &p.jobs[y.Index]
	byPriority := cmp.Compare(a.Priority, b.Priority)
	switch x.Class {
	case ClassService:
		return cmp.Or(byPriority, cmp.Compare(b.Waited, a.Waited))
	case ClassExpired:
		return cmp.Or(byPriority, cmp.Compare(a.CPUTime, b.CPUTime))
	default:
		return cmp.Or(byPriority, p.compareShares(a, b), cmp.Compare(a.slack(x.Class), b.slack(y.Class)))
	}
}

// compareShares puts the jobs of tenants within their shares first.
func (p *plan) compareShares(a, b *Job) int {
	switch {
	case p.over == nil || p.over[a.Tenant] == p.over[b.Tenant]:
		return 0
	case p.over[b.Tenant]:
		return -1
	default:
		return 1
	}
}

// jobHeap is a heap of jobs with the one that has the lowest key on top. It works like container/heap, without the
// allocation of each item that an interface needs.
type jobHeap []heapItem

type heapItem struct {
	index int
	key   time.Duration
}

func (h *jobHeap) push(x heapItem) {
	*h = append(*h, x)
	items := *h
	for i := len(items) - 1; i > 0; {
		parent := (i - 1) / 2
		if items[i].key >= items[parent].key {
			return
		}
		items[i], items[parent] = items[parent], items[i]
		i = parent
	}
}

func (h *jobHeap) pop() heapItem {
	items := *h
	last := len(items) - 1
	items[0], items[last] = items[last], items[0]
	top := items[last]
	items = items[:last]
	*h = items
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(items) {
			return top
		}
		if child+1 < len(items) && items[child+1].key < items[child].key {
			child++
		}
		if items[child].key >= items[i].key {
			return top
		}
		items[i], items[child] = items[child], items[i]
		i = child
	}
}
