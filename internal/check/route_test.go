package check

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/route"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against a check that has another notion of matching than the daemons: a route without a finding that gets no
// request for a job, or a route that is reported as one that never matches and gets some.
func TestRoutesAgreeWithTable(t *testing.T) {
	const seeds, id = 2000, "0123456789abcdef"
	hosts := []string{"a", "A", "b", "a:80", "[::1]"}
	prefixes := []string{"/x/", "/x", "/X/", "/x/y/", "x/", "/", ""}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		c := &work.Config{Version: 1}
		for i := range 1 + random.IntN(6) {
			c.Routes = append(c.Routes, work.Route{
				Host: hosts[random.IntN(len(hosts))], Prefix: prefixes[random.IntN(len(prefixes))], Queue: work.Queue{ID: work.QueueID(fmt.Sprint(i))},
			})
		}
		never := map[int]bool{}
		for _, f := range Config(c) {
			if f.Code == RouteShadowed || f.Code == RouteUnreachable {
				never[f.Place.Index] = true
			}
		}
		table := route.New(c)
		reached := map[work.QueueID]bool{}
		for _, host := range hosts {
			for _, prefix := range prefixes {
				for _, path := range []string{prefix + id, "/" + prefix + id} {
					if queue, rest, found := table.Find(host, path); path[0] == '/' && found && rest == id {
						reached[queue.ID] = true
					}
				}
			}
		}
		for i, r := range c.Routes {
			if got, want := reached[r.Queue.ID], !never[i]; got != want {
				t.Fatalf("seed %d, routes %+v: requests reach route %d: %v, want %v by the findings", seed, c.Routes, i, got, want)
			}
		}
	}
}
