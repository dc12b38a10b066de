package rank

import (
	"cmp"
	"slices"
	"time"
)

const (
	// safeShare is the fraction of the cores that completes all planned work although tasks take up to 1.9 times as long as
	// estimated.
	safeShare = usableShare / 1.9
	// minWeight stands in for a weight of 0, so that ratios remain comparable.
	minWeight = 1e-9
)

// shares holds the jobs that may be downgraded, by tenant, and the work that is planned for each tenant.
type shares struct {
	jobs    []Job
	tenants []tenantShare
	// order is a heap of the tenants with candidates; the one that is furthest over its share is on top.
	order []int
}

// tenantShare is the planned work of one tenant and its jobs that may be downgraded.
type tenantShare struct {
	work         time.Duration
	weight       float64
	ratio        float64 // of work to weight
	position     int     // in shares.order, plus 1; 0 if it has no candidates
	onTime, late jobHeap // the job with the most CPU time is on top
}

// tenants returns the number of tenants by the largest index.
func tenants(jobs []Job) int {
	n := 1
	for i := range jobs {
		n = max(n, jobs[i].Tenant+1)
	}
	return n
}

func newShares(jobs []Job) *shares {
	s := &shares{jobs: jobs, tenants: make([]tenantShare, tenants(jobs))}
	for i := range jobs {
		s.tenants[jobs[i].Tenant].weight = max(jobs[i].Weight, minWeight)
	}
	return s
}

// empty reports whether no job is left that may be downgraded.
func (s *shares) empty() bool { return len(s.order) == 0 }

// addWork counts the work of a job as planned for its tenant.
func (s *shares) addWork(index int) { s.change(s.jobs[index].Tenant, s.jobs[index].CPUTime) }

// addCandidate makes a job of class c one that may be downgraded.
func (s *shares) addCandidate(index int, c Class) {
	job := &s.jobs[index]
	t := &s.tenants[job.Tenant]
	if c == ClassOnTime {
		t.onTime.push(heapItem{index, -job.CPUTime})
	} else {
		t.late.push(heapItem{index, -job.CPUTime})
	}
	if t.position == 0 {
		s.order = append(s.order, job.Tenant)
		t.position = len(s.order)
		s.up(len(s.order) - 1)
	}
}

// take removes and returns the largest job of the tenant that is furthest over its share, one on time if it has any, and
// the class that this job gets.
func (s *shares) take() (index int, c Class) {
	tenant := s.order[0]
	t := &s.tenants[tenant]
	candidates, c := &t.onTime, ClassLate
	if len(t.onTime) == 0 {
		candidates, c = &t.late, ClassExpired
	}
	index = candidates.pop().index
	s.change(tenant, -s.jobs[index].CPUTime)
	if len(t.onTime)+len(t.late) == 0 {
		last := len(s.order) - 1
		at := t.position - 1
		s.swap(at, last)
		s.order, t.position = s.order[:last], 0
		if at < last {
			s.fix(at)
		}
	}
	return index, c
}

func (s *shares) change(tenant int, work time.Duration) {
	t := &s.tenants[tenant]
	t.work += work
	t.ratio = float64(t.work) / t.weight
	if t.position > 0 {
		s.fix(t.position - 1)
	}
}

// The heap is written out, since a change of a tenant's work moves the tenant, and does so for each job.

func (s *shares) before(i, j int) bool {
	a, b := s.order[i], s.order[j]
	x, y := s.tenants[a].ratio, s.tenants[b].ratio
	return x > y || x == y && a < b
}

func (s *shares) swap(i, j int) {
	s.order[i], s.order[j] = s.order[j], s.order[i]
	s.tenants[s.order[i]].position, s.tenants[s.order[j]].position = i+1, j+1
}

func (s *shares) fix(i int) { s.down(s.up(i)) }

// up moves an entry toward the top and returns where it ends.
func (s *shares) up(i int) int {
	for i > 0 && s.before(i, (i-1)/2) {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

func (s *shares) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.order) {
			return
		}
		if child+1 < len(s.order) && s.before(child+1, child) {
			child++
		}
		if !s.before(child, i) {
			return
		}
		s.swap(i, child)
		i = child
	}
}

// findOver returns which tenants are over their shares while the cores may not complete all jobs in time; nil if none is.
//
// A plan for all usable cores leaves no room for estimates that are too low: near
// the limit all jobs are completed shortly after their objectives, those of
// tenants within their shares as well. So it is found out for fewer cores, and the
// jobs of the tenants that are over their shares go behind. The largest job of a
// tenant doesn't count, since of a tenant with a small weight a single job may be
// more than its share.
func findOver(jobs []Job, own []Class, cores float64) []bool {
	n := tenants(jobs)
	if n == 1 || cores <= 0 {
		return nil
	}
	due := make([]heapItem, 0, len(jobs))
	largest := make([]time.Duration, n)
	candidates := newShares(jobs)
	for i := range jobs {
		if own[i] == ClassOnTime || own[i] == ClassLate {
			due = append(due, heapItem{i, jobs[i].timeLeft(own[i])})
			candidates.addWork(i)
			largest[jobs[i].Tenant] = max(largest[jobs[i].Tenant], jobs[i].CPUTime)
		}
	}
	for tenant, work := range largest {
		candidates.change(tenant, -work)
	}
	slices.SortFunc(due, func(a, b heapItem) int { return cmp.Compare(a.key, b.key) })
	total := time.Duration(0)
	var over []bool
	for _, d := range due {
		total += jobs[d.index].CPUTime
		candidates.addCandidate(d.index, ClassOnTime)
		for !candidates.empty() && float64(total) > safeShare*cores*float64(d.key) {
			index, _ := candidates.take()
			total -= jobs[index].CPUTime
			if over == nil {
				over = make([]bool, n)
			}
			over[jobs[index].Tenant] = true
		}
	}
	return over
}
