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

// Guards against a search of one zone that chooses another target than a search of all, and against sums of free room
// that drift from the targets' (both are kept to save work in pools of hundreds of targets).
func TestSearchOfOneZoneIsExact(t *testing.T) {
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
			p.HandleList(now, work.RunReport{Target: id, Incarnation: 1, RequestedAt: now})
			p.targets[id].used = work.Resources{CPU: work.Millicores(random.IntN(17000)), Memory: work.Mebibytes(random.IntN(65536))}
			if random.IntN(5) == 0 {
				p.targets[id].verdict.TaskStalled(now)
			}
		}
		f := p.candidates(now)
		j := &job{}
		spec := &work.Step{Count: 1, Need: work.Resources{CPU: work.Millicores(1 + random.IntN(4000)), Memory: work.Mebibytes(random.IntN(9000))}}
		for range 30 {
			task := &task{avoid: work.TargetID(fmt.Sprintf("t%02d", random.IntN(40)))}
			zone := f.homeZone(j, spec)
			want := place.Best(f.list, place.Task{Need: held(spec), Avoid: task.avoid, Zone: zone})
			got := f.best(spec, task, &tickets{any: true}, zone)
			if got != want {
				t.Fatalf("round %d (seed %d): candidate %d, want %d", round, seed, got, want)
			}
			if got < 0 {
				break
			}
			f.take(got, spec)
			for _, z := range f.zones {
				sum, most := work.Millicores(0), work.Millicores(0)
				for i := range f.list {
					if f.list[i].Zone == z.zone {
						sum += max(f.list[i].Free.CPU, 0)
					}
					most = max(most, f.list[i].Free.CPU)
				}
				if z.free != sum || f.most.CPU != most {
					t.Fatalf("round %d (seed %d): zone %s has %d free, most %d, want %d and %d", round, seed, z.zone, z.free, f.most.CPU, sum, most)
				}
			}
		}
	}
}
