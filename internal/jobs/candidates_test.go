package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against a search of one zone that chooses another target than a search of all, and against totals of free
// resources that drift from those of the targets. Both save time in pools of hundreds of targets.
func TestZoneSearchMatchesFullSearch(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(1_700_000_000, 0)
	for round := range 200 {
		p := NewPool("pool")
		for i := range 1 + random.IntN(40) {
			id := work.TargetID(fmt.Sprintf("t%02d", i))
			p.Register(now, work.Registration{
				ID: id, Pool: "pool", Zone: ident.ZoneID(fmt.Sprintf("z%d", random.IntN(4))), Incarnation: 1, Capacity: work.Resources{CPU: 16000, Memory: 65536},
			})
			p.HandleRunReport(now, work.RunReport{Target: id, Incarnation: 1, RequestedAt: now})
			p.targets[id].reserved = work.Resources{CPU: work.Millicores(random.IntN(17000)), Memory: work.Mebibytes(random.IntN(65536))}
			if random.IntN(5) == 0 {
				p.targets[id].health.TaskStalled(now)
			}
		}
		cs := p.newCandidateSet(now)
		j := &job{}
		spec := &work.Step{Count: 1, Need: work.Resources{CPU: work.Millicores(1 + random.IntN(4000)), Memory: work.Mebibytes(random.IntN(9000))}}
		for range 30 {
			task := &task{avoidTarget: work.TargetID(fmt.Sprintf("t%02d", random.IntN(40)))}
			zone := cs.homeZone(j, spec)
			want := place.Best(cs.list, place.Task{Need: reservation(spec), Avoid: task.avoidTarget, Zone: zone})
			got := cs.best(spec, task, &stepAdvice{unrestricted: true}, zone)
			if got != want {
				t.Fatalf("round %d (seed %d): candidate %d, want %d", round, seed, got, want)
			}
			if got < 0 {
				break
			}
			cs.reserve(got, spec)
			for _, z := range cs.zones {
				sum, most := work.Millicores(0), work.Millicores(0)
				for i := range cs.list {
					if cs.list[i].Zone == z.zone {
						sum += max(cs.list[i].Free.CPU, 0)
					}
					most = max(most, cs.list[i].Free.CPU)
				}
				if z.free != sum || cs.maxFree.CPU != most {
					t.Fatalf("round %d (seed %d): zone %s has %d free, most %d, want %d and %d", round, seed, z.zone, z.free, cs.maxFree.CPU, sum, most)
				}
			}
		}
	}
}
