package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// floor is the view of the pool's targets that one round of planning fills up.
type floor struct {
	list    []place.Candidate // zone by zone
	targets []*target
	zones   []zoneSpan
	counted []int // candidates whose SameStep isn't 0
	// most is the largest free amount of each resource, though not all on one target.
	most work.Resources
}

// zoneSpan is the part of the candidates that lie in one zone.
type zoneSpan struct {
	zone     ident.ZoneID
	from, to int
	free     work.Millicores
}

func (f *floor) span(zone ident.ZoneID) *zoneSpan {
	for i := range f.zones {
		if f.zones[i].zone == zone {
			return &f.zones[i]
		}
	}
	return nil
}

// full reports whether no target has processor left, so that no further task needs to be tried.
func (f *floor) full() bool { return f.most.CPU <= 0 || f.most.Memory <= 0 }

func (f *floor) measure() {
	f.most = work.Resources{}
	for i := range f.list {
		free := &f.list[i].Free
		f.most.CPU, f.most.Memory, f.most.GPU = max(f.most.CPU, free.CPU), max(f.most.Memory, free.Memory), max(f.most.GPU, free.GPU)
	}
}

func (p *Pool) candidates(now time.Time) *floor {
	f := &floor{}
	for _, t := range p.sorted() {
		t.index = -1
		if t.usable(now) {
			f.targets = append(f.targets, t)
		}
	}
	f.list = make([]place.Candidate, 0, len(f.targets))
	for i, t := range f.targets {
		t.index = i
		f.list = append(f.list, place.Candidate{
			ID: t.ID, Free: t.Capacity.Minus(t.used), Capacity: t.Capacity, Rack: t.Rack, Zone: t.Zone, Labels: t.Labels,
			Suspect: t.verdict.Suspect(now), Busy: len(t.runs) > 0, Services: t.serving, BestEffort: t.filling,
		})
		if n := len(f.zones); n == 0 || f.zones[n-1].zone != t.Zone {
			f.zones = append(f.zones, zoneSpan{zone: t.Zone, from: i})
		}
		z := &f.zones[len(f.zones)-1]
		z.to = i + 1
		z.free += max(f.list[i].Free.CPU, 0)
	}
	f.measure()
	return f
}

// homeZone returns the zone in which all tasks of a job are best placed: the one where it began, or else the one
// with the most room. A zone that is cut off then delays only the jobs that lie in it. Lasting tasks have none.
func (f *floor) homeZone(j *job, spec *work.Step) ident.ZoneID {
	if spec.Service {
		return ""
	}
	if z := f.span(j.zone); z != nil && j.zone != "" && z.free >= spec.Need.CPU {
		return j.zone
	}
	j.zone = ""
	most := work.Millicores(-1)
	for _, z := range f.zones {
		if z.free > most {
			j.zone, most = z.zone, z.free
		}
	}
	return j.zone
}

// countStep sets how many tasks of the step each candidate runs.
func (f *floor) countStep(st *stepState) {
	for _, k := range f.counted {
		f.list[k].SameStep = 0
	}
	f.counted = f.counted[:0]
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.target.index >= 0 {
			f.list[r.target.index].SameStep++
			f.counted = append(f.counted, r.target.index)
		}
	}
}

func (f *floor) best(spec *work.Step, t *task, tickets *tickets, zone ident.ZoneID) int {
	want := place.Task{
		Need: held(spec), Label: spec.Label, Rack: spec.DataRack, MaxPerTarget: spec.MaxPerTarget,
		Service: spec.Service, BestEffort: spec.BestEffort, LatencySensitive: spec.LatencyObjective > 0, Avoid: t.avoid, Zone: zone,
	}
	if tickets.any {
		if k := f.bestAtHome(want); k >= 0 {
			return k
		}
		return place.Best(f.list, want)
	}
	allowed := make([]place.Candidate, len(f.list))
	copy(allowed, f.list)
	for k := range allowed {
		if tickets.of(allowed[k].ID) == "" {
			allowed[k].Free = work.Resources{CPU: -1}
		}
	}
	return place.Best(allowed, want)
}

// bestAtHome looks in the task's zone only, where this gives the same as a look at all candidates: nothing but a fault of
// the best target there, or a wish of the task, outweighs the zone. It returns -1 where it may not.
func (f *floor) bestAtHome(want place.Task) int {
	z := f.span(want.Zone)
	if z == nil || want.Zone == "" || want.Rack != "" || want.Service || want.BestEffort || want.LatencySensitive {
		return -1
	}
	k := place.Best(f.list[z.from:z.to], want)
	if k < 0 || f.list[z.from+k].Suspect || f.list[z.from+k].ID == want.Avoid {
		return -1
	}
	return z.from + k
}

func (f *floor) take(k int, spec *work.Step) {
	c := &f.list[k]
	before, need := c.Free, held(spec)
	c.Free = c.Free.Minus(need)
	if z := f.span(c.Zone); z != nil {
		z.free -= need.CPU
	}
	if before.CPU == f.most.CPU || before.Memory == f.most.Memory || before.GPU == f.most.GPU && need.GPU > 0 {
		f.measure()
	}
	c.SameStep++
	f.counted = append(f.counted, k)
	c.Busy = true
	if spec.BestEffort {
		c.BestEffort++
	} else if spec.Service {
		c.Services++
	}
}

// gang chooses a target for every member, all in one rack if the step asks for
// that and a rack has room; nil if not all fit.
func (f *floor) gang(spec *work.Step, st *stepState, tickets *tickets) []int {
	racks := []string{""}
	if spec.SameRack {
		racks = f.racks(spec.DataRack)
	}
	before := append([]place.Candidate(nil), f.list...)
	spans := append([]zoneSpan(nil), f.zones...)
	for _, rack := range racks {
		pinned := *spec
		if rack != "" {
			pinned.DataRack = rack
		}
		chosen := make([]int, 0, len(st.tasks))
		for i := range st.tasks {
			k := f.bestInRack(&pinned, &st.tasks[i], tickets, rack)
			if k < 0 {
				break
			}
			f.take(k, spec)
			chosen = append(chosen, k)
		}
		if len(chosen) == len(st.tasks) {
			return chosen
		}
		copy(f.list, before)
		copy(f.zones, spans)
		f.measure()
	}
	return nil
}

func (f *floor) bestInRack(spec *work.Step, t *task, tickets *tickets, rack string) int {
	if rack == "" {
		return f.best(spec, t, tickets, "")
	}
	view := append([]place.Candidate(nil), f.list...)
	for k := range view {
		if view[k].Rack != rack {
			view[k].Free = work.Resources{CPU: -1}
		}
	}
	saved := f.list
	f.list = view
	defer func() { f.list = saved }()
	return f.best(spec, t, tickets, "")
}

// racks lists the racks to try, the one with the data first and no particular one last.
func (f *floor) racks(first string) []string {
	seen := map[string]bool{"": true}
	var out []string
	add := func(r string) {
		if !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	add(first)
	for i := range f.list {
		add(f.list[i].Rack)
	}
	return append(out, "")
}
