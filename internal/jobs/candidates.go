package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// candidateSet is the set of usable targets in one round of planning, with the resources that the round has reserved.
type candidateSet struct {
	list    []place.Candidate // ordered by zone
	targets []*target         // the targets of list, by the same index
	zones   []zoneSpan
	counted []int // candidates whose SameStep is not 0
	// maxFree is the largest free amount of each resource, not necessarily on one target.
	maxFree work.Resources
	visited int // candidates that were visited to place gangs
}

// zoneSpan is the range of the candidates in one zone.
type zoneSpan struct {
	zone     ident.ZoneID
	from, to int
	free     work.Millicores // CPU of all its candidates together
}

func (cs *candidateSet) spanOf(zone ident.ZoneID) *zoneSpan {
	for i := range cs.zones {
		if cs.zones[i].zone == zone {
			return &cs.zones[i]
		}
	}
	return nil
}

// full reports whether no target has CPU or memory left, so that no further task needs to be tried.
func (cs *candidateSet) full() bool { return cs.maxFree.CPU <= 0 || cs.maxFree.Memory <= 0 }

func (cs *candidateSet) updateMaxFree() {
	cs.maxFree = work.Resources{}
	for i := range cs.list {
		free := &cs.list[i].Free
		cs.maxFree.CPU, cs.maxFree.Memory, cs.maxFree.GPU = max(cs.maxFree.CPU, free.CPU), max(cs.maxFree.Memory, free.Memory), max(cs.maxFree.GPU, free.GPU)
	}
}

func (p *Pool) newCandidateSet(now time.Time) *candidateSet {
	cs := &candidateSet{}
	for _, t := range p.sortedTargets() {
		t.candidate = -1
		if t.usable(now) && t.trial == nil {
			cs.targets = append(cs.targets, t)
		}
	}
	cs.list = make([]place.Candidate, 0, len(cs.targets))
	for i, t := range cs.targets {
		t.candidate = i
		cs.list = append(cs.list, place.Candidate{
			ID: t.ID, Free: t.Capacity.Minus(t.reserved), Capacity: t.Capacity, Rack: t.Rack, Zone: t.Zone, Labels: t.Labels,
			Suspect: t.health.Suspect(now), Busy: len(t.runs) > 0, Tasks: len(t.runs), MaxTasks: p.Bounds.TargetTasks, LatencySensitive: t.latencySensitiveRuns, BestEffort: t.bestEffortRuns, Pinned: t.serviceRuns > 0,
		})
		if n := len(cs.zones); n == 0 || cs.zones[n-1].zone != t.Zone {
			cs.zones = append(cs.zones, zoneSpan{zone: t.Zone, from: i})
		}
		z := &cs.zones[len(cs.zones)-1]
		z.to = i + 1
		z.free += max(cs.list[i].Free.CPU, 0)
	}
	cs.updateMaxFree()
	return cs
}

// exclude takes a candidate from the set of those that fit any task.
func (cs *candidateSet) exclude(k int) {
	c := &cs.list[k]
	if z := cs.spanOf(c.Zone); z != nil {
		z.free -= max(c.Free.CPU, 0)
	}
	c.Free = work.Resources{CPU: -1}
	cs.updateMaxFree()
}

// homeZone returns the preferred zone of all tasks of a job: the one where the job started if it has free CPU, or else
// the one with the most free CPU. A network partition of a zone then delays only the jobs that are placed in it. Service
// tasks have no preferred zone.
func (cs *candidateSet) homeZone(j *job, spec *work.Step) ident.ZoneID {
	if spec.Service {
		return ""
	}
	if z := cs.spanOf(j.zone); z != nil && j.zone != "" && z.free >= spec.Need.CPU {
		return j.zone
	}
	j.zone = ""
	most := work.Millicores(-1)
	for _, z := range cs.zones {
		if z.free > most {
			j.zone, most = z.zone, z.free
		}
	}
	return j.zone
}

// setSameStep sets how many tasks of the step each candidate runs.
func (cs *candidateSet) setSameStep(st *stepState) {
	for _, k := range cs.counted {
		cs.list[k].SameStep = 0
	}
	cs.counted = cs.counted[:0]
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.target.candidate >= 0 {
			cs.list[r.target.candidate].SameStep++
			cs.counted = append(cs.counted, r.target.candidate)
		}
	}
}

// wanted returns the properties of a task that determine its place.
func (cs *candidateSet) wanted(spec *work.Step, t *task, zone ident.ZoneID) place.Task {
	return place.Task{
		Need: reservation(spec), Label: spec.Label, Rack: spec.DataRack, MaxPerTarget: spec.MaxPerTarget,
		Service: spec.Service, BestEffort: spec.BestEffort, LatencySensitive: spec.LatencyObjective > 0, Avoid: t.avoidTarget, Zone: zone,
	}
}

// best returns the index of the best candidate for a task, or -1 if there is none.
func (cs *candidateSet) best(spec *work.Step, t *task, advice *stepAdvice, zone ident.ZoneID) int {
	want := cs.wanted(spec, t, zone)
	if advice.unrestricted {
		if k := cs.bestInZone(want); k >= 0 {
			return k
		}
		return place.Best(cs.list, want)
	}
	allowed := make([]place.Candidate, len(cs.list))
	copy(allowed, cs.list)
	for k := range allowed {
		if advice.ticket(allowed[k].ID) == "" {
			allowed[k].Free = work.Resources{CPU: -1} // no task fits
		}
	}
	return place.Best(allowed, want)
}

// bestInZone searches only the task's zone, which saves time in large pools. It returns -1 if no target in the zone fits,
// or if a search of all candidates could choose a target in another zone: because the best target in the zone is suspect
// or is the one that the task avoids, or because the task has preferences besides the zone.
func (cs *candidateSet) bestInZone(want place.Task) int {
	z := cs.spanOf(want.Zone)
	if z == nil || want.Zone == "" || want.Rack != "" || want.Service || want.BestEffort || want.LatencySensitive {
		return -1
	}
	k := place.Best(cs.list[z.from:z.to], want)
	if k < 0 || cs.list[z.from+k].Suspect || cs.list[z.from+k].ID == want.Avoid {
		return -1
	}
	return z.from + k
}

// reserve reserves the resources of one task on candidate k.
func (cs *candidateSet) reserve(k int, spec *work.Step) {
	c := &cs.list[k]
	before, need := c.Free, reservation(spec)
	c.Free = c.Free.Minus(need)
	if z := cs.spanOf(c.Zone); z != nil {
		z.free -= need.CPU
	}
	if before.CPU == cs.maxFree.CPU || before.Memory == cs.maxFree.Memory || before.GPU == cs.maxFree.GPU && need.GPU > 0 {
		cs.updateMaxFree()
	}
	c.SameStep++
	c.Tasks++
	cs.counted = append(cs.counted, k)
	c.Busy = true
	c.Pinned = c.Pinned || spec.Service
	if spec.BestEffort {
		c.BestEffort++
	} else if spec.LatencyObjective > 0 {
		c.LatencySensitive++
	}
}

// placeGang chooses a candidate for every member of a gang, all in one rack if
// the step asks for that and a rack has the resources. It returns nil if not
// all members fit.
func (cs *candidateSet) placeGang(spec *work.Step, st *stepState, advice *stepAdvice) []int {
	racks := []string{""}
	if spec.SameRack {
		racks = cs.racks(spec.DataRack)
	}
	before := append([]place.Candidate(nil), cs.list...)
	spans := append([]zoneSpan(nil), cs.zones...)
	restore := func() {
		copy(cs.list, before)
		copy(cs.zones, spans)
		cs.updateMaxFree()
	}
	for _, rack := range racks {
		inRack := *spec
		if rack != "" {
			inRack.DataRack = rack
			for k := range cs.list {
				if cs.list[k].Rack != rack {
					cs.list[k].Free = work.Resources{CPU: -1} // no task fits
				}
			}
		}
		chosen := make([]int, 0, len(st.tasks))
		for i := range st.tasks {
			cs.visited += len(cs.list)
			k := cs.best(&inRack, &st.tasks[i], advice, "")
			if k < 0 {
				break
			}
			cs.reserve(k, spec)
			chosen = append(chosen, k)
		}
		restore()
		if len(chosen) == len(st.tasks) {
			for _, k := range chosen {
				cs.reserve(k, spec)
			}
			return chosen
		}
	}
	return nil
}

// racks returns the racks to try: the one with the data first, and "", which stands for any rack, last.
func (cs *candidateSet) racks(first string) []string {
	seen := map[string]bool{"": true}
	var out []string
	add := func(r string) {
		if !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	add(first)
	for i := range cs.list {
		add(cs.list[i].Rack)
	}
	return append(out, "")
}
