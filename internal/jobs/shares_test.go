package jobs

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/rank"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// sharedLoad is a load of several tenants on one pool.
type sharedLoad struct {
	targets   int     // of 32 cores each
	tenants   int     // their weights are skewed by Zipf's law with exponent 1.2
	usual     float64 // ratio of the usual load of all tenants to the capacity; each tenant's is in proportion to its weight
	heavy     int     // tenant with another load than its usual one
	factor    float64 // by which that load differs; 1 for the usual load
	idle      bool    // the other tenants send nothing
	large     float64 // fraction of the jobs that are large
	weighted  bool    // the configuration has the tenants
	seed      uint64
	length    time.Duration // of the load
	heavyFrom time.Duration // from then on the heavy tenant has another load
	// wholeBacklog counts the tenant's whole backlog as ahead of a new job.
	wholeBacklog bool
}

// tally counts the jobs of one tenant by what became of them.
type tally struct{ sent, accepted, inTime, inUse, largeAccepted, largeInUse, largeInTime int }

func (a *tally) plus(b tally) {
	a.sent += b.sent
	a.accepted += b.accepted
	a.inTime += b.inTime
	a.inUse += b.inUse
	a.largeAccepted += b.largeAccepted
	a.largeInUse += b.largeInUse
	a.largeInTime += b.largeInTime
}

// sharedResult is what became of the jobs of a load.
type sharedResult struct {
	tenants []tally
	busy    float64 // fraction of the capacity in use while the load lasts, from its second second on
}

// of returns the sum over the tenants for which include returns true.
func (r *sharedResult) of(include func(tenant int) bool) (sum tally) {
	for i, t := range r.tenants {
		if include(i) {
			sum.plus(t)
		}
	}
	return sum
}

// sharedSubmission is one job of a load. Its client comes back after refusals.
type sharedSubmission struct {
	at     time.Time // of the next try
	tries  int
	id     work.JobID
	tenant int
	large  bool
	spec   *work.Spec
	error  float64 // ratio of actual to estimated run times
}

// clientRetries holds when a client that is refused comes back, counted from its first try; it waits 3 s in all.
var clientRetries = []time.Duration{1000 * time.Millisecond, 1800 * time.Millisecond, 2200 * time.Millisecond, 2600 * time.Millisecond}

func tenantName(i int) work.TenantID { return work.TenantID(fmt.Sprintf("tenant-%02d", i)) }

func zipfWeight(i int) float64 { return math.Pow(float64(i+1), -1.2) }

// submissions returns the jobs of a load. Those of each tenant don't depend on the other tenants.
func (l *sharedLoad) submissions(start time.Time) []*sharedSubmission {
	var out []*sharedSubmission
	sum := 0.0
	for i := range l.tenants {
		sum += zipfWeight(i)
	}
	for i := range l.tenants {
		for pass := range 2 { // the usual load, and what the heavy tenant sends beyond it
			if pass == 1 && (i != l.heavy || l.factor <= 1) || i != l.heavy && l.idle {
				continue
			}
			rng := rand.New(rand.NewPCG(l.seed, uint64(2*i+pass)))
			cores := l.usual * float64(l.targets) * 32 * zipfWeight(i) / sum
			at := time.Duration(0)
			if pass == 1 {
				cores *= l.factor - 1
				at = l.heavyFrom
			}
			const smallWork, largeWork = 1.6 * 8 * 0.82 * 3.75, 2 * 8 * 1.4 * 8.15 // mean CPU time in seconds
			mean := ((1-l.large)*smallWork + l.large*largeWork) / cores
			for {
				at += time.Duration(rng.ExpFloat64() * mean * float64(time.Second))
				if at >= l.length {
					break
				}
				s := &sharedSubmission{at: start.Add(at), tenant: i, large: rng.Float64() < l.large, error: 0.1 + 1.8*rng.Float64()}
				step := work.Step{Count: 8, Need: work.Resources{CPU: work.Millicores(1500 + rng.IntN(4500)), Memory: 100}, Estimate: time.Duration(640+rng.IntN(360)) * time.Millisecond}
				steps := 1
				if rng.Float64() < 0.6 {
					steps = 2
				}
				if s.large {
					step.Need.CPU, step.Estimate, steps = work.Millicores(3300+rng.IntN(9700)), time.Duration(1100+rng.IntN(600))*time.Millisecond, 2
				}
				s.spec = &work.Spec{Tenant: tenantName(i), Steps: []work.Step{step}}
				if steps == 2 {
					step.DependsOn = []int{0}
					s.spec.Steps = append(s.spec.Steps, step)
				}
				out = append(out, s)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *sharedSubmission) int { return a.at.Compare(b.at) })
	for i, s := range out {
		s.id = work.JobID(fmt.Sprintf("%016x", i+1))
	}
	return out
}

// playedRun is a run on a target of a play.
type playedRun struct {
	status work.RunStatus
	ends   time.Time
	cpu    work.Millicores
}

// sharedPlay lets the pool decide about a load, with targets that carry out all commands at once.
type sharedPlay struct {
	pool    *Pool
	now     time.Time
	runs    map[work.TargetID][]playedRun
	seq     map[work.TargetID]int64
	errors  map[work.JobID]float64
	targets []work.TargetID
}

func (s *sharedPlay) report(id work.TargetID) {
	r := work.RunReport{Target: id, Incarnation: 1, RequestedAt: s.now}
	kept := s.runs[id][:0]
	for _, run := range s.runs[id] {
		if run.ends.After(s.now) {
			kept = append(kept, run)
			r.Running = append(r.Running, run.status)
			continue
		}
		s.seq[id]++
		r.Ended = append(r.Ended, work.RunEnd{Seq: s.seq[id], Task: run.status.Task, Attempt: run.status.Attempt, Kind: work.EndDone})
	}
	s.runs[id] = kept
	s.pool.HandleRunReport(s.now, r)
}

// step plans and carries out the commands.
func (s *sharedPlay) step() {
	s.pool.Plan(s.now)
	if changes, write := s.pool.BeginWrite(); len(changes) > 0 {
		s.pool.MarkDurable(s.now, write)
	}
	for _, cmd := range s.pool.TakeCommands() {
		start, ok := cmd.(StartCommand)
		if !ok {
			continue
		}
		j := s.pool.jobs[start.Task.Job]
		spec := &j.spec.Steps[start.Task.Step]
		s.pool.HandleStartResult(s.now, start.Target, start.Task, start.Attempt, StartOK)
		s.runs[start.Target] = append(s.runs[start.Target], playedRun{
			status: work.RunStatus{Task: start.Task, Attempt: start.Attempt},
			ends:   s.now.Add(time.Duration(s.errors[start.Task.Job] * float64(spec.Estimate))), cpu: spec.Need.CPU,
		})
	}
}

func playShared(l sharedLoad) sharedResult {
	const tick = 20 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	s := &sharedPlay{pool: NewPool("pool"), now: start, runs: map[work.TargetID][]playedRun{}, seq: map[work.TargetID]int64{}, errors: map[work.JobID]float64{}}
	s.pool.SetQueues([]work.Queue{testQueue})
	s.pool.shares.wholeBacklog = l.wholeBacklog
	s.pool.Bounds = Bounds{RemoteCost: 1, Retention: 2 * time.Second}
	if l.weighted {
		var tenants []work.Tenant
		for i := range l.tenants {
			tenants = append(tenants, work.Tenant{ID: tenantName(i), Weight: zipfWeight(i)})
		}
		s.pool.SetTenants(1, tenants)
	}
	for i := range l.targets {
		id := work.TargetID(fmt.Sprintf("t%02d", i))
		s.targets = append(s.targets, id)
		s.pool.Register(s.now, work.Registration{ID: id, Pool: "pool", VM: work.VMID("m-" + id), Incarnation: 1, Rack: "r", Capacity: work.Resources{CPU: 32000, Memory: 1 << 20}})
		s.report(id)
	}
	result := sharedResult{tenants: make([]tally, l.tenants)}
	waiting := l.submissions(start)
	byID := map[work.JobID]*sharedSubmission{}
	for _, sub := range waiting {
		byID[sub.id], s.errors[sub.id] = sub, sub.error
		if !l.weighted {
			sub.spec.Tenant = "" // jobs of a tenant that isn't configured don't start, since it may have a cap
		}
		result.tenants[sub.tenant].sent++
	}
	s.pool.Events = func(e Event) {
		if e.Kind != EventCompleted {
			return
		}
		sub := byID[e.Job]
		t := &result.tenants[sub.tenant]
		if e.Delay <= e.Objective {
			t.inTime++
			if sub.large {
				t.largeInTime++
			}
		}
		if e.Delay <= 3*e.Objective {
			t.inUse++
			if sub.large {
				t.largeInUse++
			}
		}
	}
	busy, samples := 0.0, 0
	for ; s.now.Sub(start) < l.length+10*time.Second; s.now = s.now.Add(tick) {
		s.pool.Report(s.now, Directives{})
		for len(waiting) > 0 && !waiting[0].at.After(s.now) {
			sub := waiting[0]
			waiting = waiting[1:]
			if !s.pool.Submit(s.now, sub.id, testQueue, sub.spec).Refused {
				result.tenants[sub.tenant].accepted++
				if sub.large {
					result.tenants[sub.tenant].largeAccepted++
				}
			} else if sub.tries < len(clientRetries) {
				first := sub.at
				if sub.tries > 0 {
					first = sub.at.Add(-clientRetries[sub.tries-1])
				}
				sub.at = first.Add(clientRetries[sub.tries])
				sub.tries++
				at, _ := slices.BinarySearchFunc(waiting, sub, func(a, b *sharedSubmission) int { return cmp.Or(a.at.Compare(b.at), -1) })
				waiting = slices.Insert(waiting, at, sub)
			}
		}
		inUse := work.Millicores(0)
		for _, id := range s.targets {
			s.report(id)
		}
		s.step()
		for _, id := range s.targets {
			for _, run := range s.runs[id] {
				inUse += run.cpu
			}
		}
		if at := s.now.Sub(start); at >= time.Second && at < l.length {
			busy += float64(inUse) / float64(l.targets*32000)
			samples++
		}
	}
	result.busy = busy / float64(samples)
	return result
}

// playSeeds plays a load with several seeds, in short mode only the first, and returns the sums over them.
func playSeeds(l sharedLoad, seeds ...uint64) (sum sharedResult) {
	if testing.Short() {
		seeds = seeds[:1] // the race detector makes a play ten times as long
	}
	return playAllSeeds(l, seeds...)
}

func playAllSeeds(l sharedLoad, seeds ...uint64) (sum sharedResult) {
	sum.tenants = make([]tally, l.tenants)
	for _, l.seed = range seeds {
		r := playShared(l)
		for i := range r.tenants {
			sum.tenants[i].plus(r.tenants[i])
		}
		sum.busy += r.busy / float64(len(seeds))
	}
	return sum
}

// Guards against jobs that are refused or late because of another tenant's load. Load: 20 tenants with weights by Zipf's
// law, exponent 1.2, use 0.6 of a pool of 56 targets; then one of them sends seven times its usual load, so that all together
// send up to twice the capacity. The run times that clients estimate are off by up to 0.9. The others' jobs in time may fall
// by a twentieth. Without weights they fall by more, which shows that the load is one that the weights answer.
func TestHeavyTenantDelaysNoOthers(t *testing.T) {
	for _, heavy := range []int{0, 1} {
		for _, large := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("heavy=%d/large=%.1f", heavy, large), func(t *testing.T) {
				t.Parallel()
				l := sharedLoad{targets: 56, tenants: 20, usual: 0.6, heavy: heavy, factor: 1, length: 12 * time.Second, heavyFrom: 2 * time.Second, large: large, weighted: true}
				seeds := []uint64{11, 12, 13, 14}
				others := func(tenant int) bool { return tenant != heavy }
				usual := playSeeds(l, seeds...)
				l.factor = 7
				weighted := playSeeds(l, seeds...)
				l.weighted = false
				unweighted := playSeeds(l, seeds...)
				base, got, without := usual.of(others), weighted.of(others), unweighted.of(others)
				t.Logf("others' jobs in time: %d of %d at usual load, %d at seven times one tenant's, %d without weights; in use %.3f", base.inTime, base.sent, got.inTime, without.inTime, weighted.busy)
				if got.inTime < base.inTime*95/100 {
					t.Errorf("%d jobs of the others in time beside a heavy tenant, want 95%% of %d", got.inTime, base.inTime)
				}
				if without.inTime >= base.inTime*95/100 || without.inTime == 0 {
					t.Errorf("%d of %d jobs of the others in time without weights, want a load that makes more of them late, but not all", without.inTime, base.inTime)
				}
				if weighted.busy < unweighted.busy-0.02 {
					t.Errorf("%.3f of the capacity in use, want %.3f as without weights", weighted.busy, unweighted.busy)
				}
			})
		}
	}
}

// Guards against the same beside many small tenants, of which a single job is more than the share. Load: 120 tenants use 0.8
// of the pool, a fifth of the jobs are large, and the largest tenant sends seven times its usual load. Listed in KNOWN-RED.txt.
func TestHeavyTenantDelaysNoneOfMany(t *testing.T) {
	t.Parallel()
	l := sharedLoad{targets: 56, tenants: 120, usual: 0.8, heavy: 0, factor: 1, length: 12 * time.Second, heavyFrom: 2 * time.Second, large: 0.2, weighted: true}
	others := func(tenant int) bool { return tenant != l.heavy }
	usual := playSeeds(l, 11, 12, 13, 14)
	l.factor = 7
	weighted := playSeeds(l, 11, 12, 13, 14)
	base, got := usual.of(others), weighted.of(others)
	if got.inTime < base.inTime*95/100 {
		t.Errorf("%d jobs of the others in time beside a heavy tenant, %d of them large, want 95%% of %d, %d of them large", got.inTime, got.largeInTime, base.inTime, base.largeInTime)
	}
}

// Guards against capacity that is kept for tenants without work. Load: one tenant sends seven times its usual load, several
// times what its weight would give it, while the others send nothing. It gets as much of the pool as without weights.
func TestIdleSharesAreUsed(t *testing.T) {
	l := sharedLoad{targets: 28, tenants: 20, usual: 0.8, heavy: 0, factor: 7, idle: true, length: 8 * time.Second, large: 0.2, weighted: true}
	got := playSeeds(l, 21, 22)
	l.weighted = false
	want := playSeeds(l, 21, 22)
	t.Logf("in use %.3f, without weights %.3f; in time %d and %d", got.busy, want.busy, got.tenants[0].inTime, want.tenants[0].inTime)
	if got.busy < 0.9 || got.busy < want.busy-0.02 {
		t.Errorf("%.3f of the capacity in use by the only tenant with work, want 0.9 and %.3f as without weights", got.busy, want.busy)
	}
	if got.tenants[0].inTime < want.tenants[0].inTime {
		t.Errorf("%d jobs in time, want %d as without weights", got.tenants[0].inTime, want.tenants[0].inTime)
	}
}

// Guards against small jobs that are refused for the large ones that rank postpones for them. Load: one tenant sends seven
// times its usual load for 4.5 s, as long as a queue's peak, or 8 s, with a fifth or half of the jobs large. Counting only the
// work that goes before a job, more jobs are in time than if its tenant's whole backlog counted, and fewer accepted large jobs
// more are lost than jobs are gained.
func TestSmallJobsDoNotWaitForLargeOnes(t *testing.T) {
	all := func(int) bool { return true }
	for _, length := range []time.Duration{4500 * time.Millisecond, 8 * time.Second} {
		for _, large := range []float64{0.2, 0.5} {
			t.Run(fmt.Sprintf("%v/large=%.1f", length, large), func(t *testing.T) {
				t.Parallel()
				l := sharedLoad{targets: 56, tenants: 20, usual: 0.8, heavy: 0, factor: 7, length: length, large: large, weighted: true}
				seeds := []uint64{31, 32, 33} // also in short mode, since a single one shows no difference
				ahead := playAllSeeds(l, seeds...)
				l.wholeBacklog = true
				whole := playAllSeeds(l, seeds...)
				got, base := ahead.of(all), whole.of(all)
				gained := got.inTime - base.inTime
				lost := (got.largeAccepted - got.largeInUse) - (base.largeAccepted - base.largeInUse)
				t.Logf("jobs in time %d, by the whole backlog %d; large ones lost %d and %d", got.inTime, base.inTime, got.largeAccepted-got.largeInUse, base.largeAccepted-base.largeInUse)
				if gained <= 0 || lost >= gained {
					t.Errorf("%d more jobs in time and %d more accepted large ones lost, want more of the former", gained, lost)
				}
			})
		}
	}
}

// Guards against weights that take effect where the configuration has no tenants, as for jobs that are stored with one.
func TestWithoutTenantsNothingIsShared(t *testing.T) {
	h := newHarness(t, 1)
	for i, tenant := range []work.TenantID{"", "a"} {
		h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016x", i)), testQueue, &work.Spec{Tenant: tenant, Steps: []work.Step{smallStep}})
	}
	if got := h.pool.load(h.now, "a", admit.Demand{}).Tenant; got != nil {
		t.Errorf("load of the tenant %+v, want none", got)
	}
	views := make([]rank.Job, len(h.pool.active))
	h.pool.setRankTenants(views)
	if views[0] != views[1] {
		t.Errorf("views %+v differ by tenant, want them alike", views)
	}
}

// Guards against jobs of the public queue, or of a tenant that is not configured, that have no share, and against shares of
// tenants that have no work.
func TestShareOfTenantsWithWork(t *testing.T) {
	for _, test := range []struct {
		tenant work.TenantID // that submits
		with   []work.TenantID
		want   float64
	}{
		{"a", nil, 1},
		{"a", []work.TenantID{"b"}, 0.75},
		{"b", []work.TenantID{"a", "b"}, 0.25},
		{"", []work.TenantID{"a", "b"}, 1.0 / 3}, // the mean weight is 2
		{"unknown", []work.TenantID{"b"}, 2.0 / 3},
		{"zero", []work.TenantID{"a"}, 0},
	} {
		h := newHarness(t, 1)
		h.pool.SetTenants(1, []work.Tenant{{ID: "a", Weight: 3}, {ID: "b", Weight: 1}, {ID: "idle", Weight: 4}, {ID: "zero"}})
		for i, tenant := range test.with {
			h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016x", i)), testQueue, &work.Spec{Tenant: tenant, Steps: []work.Step{smallStep}})
		}
		if got := h.pool.load(h.now, test.tenant, admit.Demand{}).Tenant.Share; math.Abs(got-test.want) > 1e-9 {
			t.Errorf("share of %q beside %q is %v, want %v", test.tenant, test.with, got, test.want)
		}
	}
}

// Guards against removed tenants that go on counting in the mean weight, so that two owners of the same configuration decide
// differently, and against jobs without a share once all tenants are removed.
func TestRemovedTenantsDontCountInMeanWeight(t *testing.T) {
	h := newHarness(t, 1)
	for i, test := range []struct {
		tenants []work.Tenant
		want    float64
	}{
		{[]work.Tenant{{ID: "a", Weight: 2}, {ID: "b", Weight: 10}}, 6},
		{[]work.Tenant{{ID: "a", Weight: 2}}, 2},
		{nil, 2},
	} {
		h.pool.SetTenants(int64(i+1), test.tenants)
		if got := h.pool.weight(""); got != test.want {
			t.Errorf("tenants %v: jobs without a tenant have the weight %v, want %v", test.tenants, got, test.want)
		}
		if got := h.pool.weight("b"); got != 10 {
			t.Errorf("tenants %v: the weight of b is %v, want its last one, 10", test.tenants, got)
		}
	}
}

// Guards against a refusal whose cause can't be told from the log.
func TestRefusedEventNamesLimit(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.SetTenants(1, []work.Tenant{{ID: "a", Weight: 3}, {ID: "b", Weight: 1}})
	h.pool.Report(h.now, Directives{})
	step := work.Step{Count: 16, Need: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}
	var last Event
	h.pool.Events = func(e Event) { last = e }
	submit := func(i int) {
		h.pool.Submit(h.now, work.JobID(fmt.Sprintf("%016x", i)), testQueue, &work.Spec{Tenant: "a", Steps: []work.Step{step}})
	}
	n := 0
	for ; n < 20 && last.Kind != EventRefused; n++ {
		submit(n)
	}
	backlog := time.Duration(n-1) * 16 * time.Second
	if last.Kind != EventRefused || last.Tenant != "a" || last.Limit != admit.LimitShare || last.Backlog != backlog || last.Share != 1 {
		t.Errorf("event %+v, want a refusal by the share of tenant a, 1, with a backlog of %v", last, backlog)
	}
	h = newHarness(t, 1)
	tenants := []work.Tenant{{ID: "a", Weight: 3, Cap: work.Resources{CPU: 4000}}, {ID: "b", Weight: 1}}
	h.pool.SetTenants(1, tenants)
	h.pool.Report(h.now, Directives{})
	h.pool.Events = func(e Event) { last = e }
	last = Event{}
	for n = 0; n < 20 && last.Kind != EventRefused; n++ {
		submit(n)
	}
	if last.Kind != EventRefused || last.Limit != admit.LimitCap {
		t.Errorf("event %+v, want a refusal by the cap", last)
	}
}
