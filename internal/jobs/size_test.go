package jobs

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// heapInUse returns the bytes of the heap that a collection leaves.
func heapInUse() ident.Bytes {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return ident.Bytes(m.HeapAlloc)
}

// largeSpecs make specifications that take much memory. Like decoded ones, they share nothing.
var largeSpecs = map[string]func() *work.Spec{
	"dependencies": func() *work.Spec {
		spec := &work.Spec{}
		for i := range 256 {
			st := work.Step{Count: 1}
			for d := range i {
				st.DependsOn = append(st.DependsOn, d)
			}
			spec.Steps = append(spec.Steps, st)
		}
		return spec
	},
	"strings": func() *work.Spec {
		return &work.Spec{Steps: []work.Step{{Count: 1, Label: strings.Repeat("x", 240_000)}}}
	},
	"tasks":       func() *work.Spec { return &work.Spec{Steps: []work.Step{{Count: 10_000}}} },
	"occurrences": func() *work.Spec { return &work.Spec{Steps: []work.Step{{Count: 1}}, Repeat: 10_000} },
	"small": func() *work.Spec {
		return &work.Spec{Payload: strings.Repeat("x", 100), Steps: []work.Step{{Count: 8}, {Count: 8, DependsOn: []int{0}}}}
	},
}

// Guards against an owner whose memory is used up by runs: of tasks that need nothing, any number fits on a target.
func TestRunsAreBounded(t *testing.T) {
	const targets, targetTasks = 4, 50
	for _, step := range []work.Step{{Count: 2000}, {Count: 2000, BestEffort: true, Need: work.Resources{CPU: 100}}} {
		for _, limit := range []ident.Bytes{0, 2 * 120 * runSize} { // the second leaves 120 runs
			h := newHarness(t, targets)
			h.pool.Bounds.TargetTasks, h.pool.Space.Limit = targetTasks, limit
			h.pool.Restore(h.now, &Record{ID: "0000000000000001", Queue: testQueue, Pool: "pool", Spec: work.Spec{Steps: []work.Step{step}}, Accepted: h.now})
			h.pool.Plan(h.now)
			got, want := h.pool.Space.Used(space.Runs), targets*targetTasks*runSize
			if limit > 0 {
				want = 120 * runSize
			}
			if got != want {
				t.Errorf("space of runs with a limit of %d: got %d, want %d", limit, got, want)
			}
		}
	}
}

// Guards against a tenant whose jobs take all the space of a pool, and against a single large job of a tenant that is refused.
func TestTenantsLeaveSpace(t *testing.T) {
	p, now := NewPool("pool"), time.Unix(1000, 0)
	p.Space.Limit = 1 << 20
	submit := func(tenant work.TenantID, i, tasks int) bool {
		spec := &work.Spec{Tenant: tenant, Steps: []work.Step{{Count: tasks}}}
		return !p.Submit(now, work.JobID(fmt.Sprintf("%s%015x", tenant, i)), testQueue, spec).Refused
	}
	n := 0
	for n < 4000 && submit("a", n, 10) {
		n++
	}
	if got, want := p.useBy("a").space, p.Space.Limit/tenantParts; got > want || n == 4000 {
		t.Errorf("space of a tenant: got %d bytes of %d jobs, want at most %d", got, n, want)
	}
	if !submit("b", 0, 10) {
		t.Error("a job of another tenant: got a refusal, want it admitted")
	}
	if !submit("c", 0, 10_000) {
		t.Error("the only large job: got a refusal, want it admitted")
	}
	for id := range p.jobs {
		p.Cancel(now, id)
	}
	_, seq := p.BeginWrite()
	p.MarkDurable(now, seq)
	p.Expire(now.Add(time.Hour))
	if got := *p.useBy("a"); got != (tenantUse{}) {
		t.Errorf("use by a tenant whose jobs are gone: got %+v, want none", got)
	}
}

// Guards against jobs that take more memory than is counted, in each of their states, and against space that stays counted
// once they are gone.
func TestSizes(t *testing.T) {
	for name, newSpec := range largeSpecs {
		t.Run(name, func(t *testing.T) {
			p, now := NewPool("cut"), time.Unix(1000, 0)
			p.Bounds.Retention = time.Minute
			counted := func() (n ident.Bytes) {
				for _, u := range []space.Use{space.Transient, space.Resident, space.Finished, space.Runs} {
					n += p.Space.Used(u)
				}
				return n
			}
			before := heapInUse()
			check := func(state string) {
				t.Helper()
				const margin = 1 << 20 // for the rest of the test process
				if got, want := heapInUse()-before, counted()+margin; got > want {
					t.Errorf("%s: heap in use: got %d bytes, want at most %d", state, got, want)
				}
			}
			write := func() {
				_, seq := p.BeginWrite()
				p.MarkDurable(now, seq)
			}
			for i := range 16 << 20 / jobFootprint(newSpec()) {
				id := work.JobID(fmt.Sprintf("%016x", i))
				if p.Submit(now, id, work.Queue{ID: "q", Pool: "cut"}, newSpec()).Refused {
					t.Fatal("refused without a limit")
				}
				for _, o := range p.jobs[id].occurrences {
					for s := range o.steps {
						for k := range o.steps[s].tasks {
							o.steps[s].tasks[k].attempt = 1 // the system gives memory once it is written to
						}
					}
				}
			}
			write()
			check("waiting")
			for id := range p.jobs {
				p.Cancel(now, id)
			}
			write()
			check("canceled")
			p.Expire(now.Add(maxCommandDelay + time.Second))
			check("without tasks")
			p.Expire(now.Add(2 * time.Minute))
			if got := counted(); got != 0 {
				t.Errorf("space of expired jobs: got %d bytes, want 0", got)
			}
		})
	}
}
