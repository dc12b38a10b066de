package place

import (
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Candidate is a target that may be given a task.
type Candidate struct {
	ID         work.TargetID
	Free       work.Resources
	Capacity   work.Resources
	Rack       string
	Zone       ident.ZoneID
	Labels     []string
	SameStep   int  // tasks of the same step that it runs
	Services   int  // lasting tasks that it runs
	BestEffort int  // tasks that fill on it
	Draining   bool // due to be taken out of the pool soon
	Suspect    bool // to be given one task at a time
	Busy       bool // runs something
}

// Task is what has to be placed.
type Task struct {
	Need             work.Resources // room that it holds
	Label            string
	Rack             string // that holds its data, or that its gang runs on
	RackOnly         bool   // other racks will not do
	MaxPerTarget     int
	Service          bool
	BestEffort       bool
	LatencySensitive bool // has a response time objective of its own
	Avoid            work.TargetID
	Zone             ident.ZoneID // of the job's other tasks; empty if any will do
}

// Weights of the parts of a score; only their order of size matters. Each is
// larger than the sum of those after it can become.
const (
	avoidCost   = 1000 // the target on which the task failed last
	leavingCost = 100  // the task would have to move
	remoteCost  = 40   // work away from the data takes a multiple of the time
	spreadCost  = 30   // for each task of the same step, where tasks last
	disturbCost = 20   // for each pair of a task that fills and one that serves
	zoneCost    = 15   // a zone that is cut off or lost delays each job that has a task there
	restCost    = 10   // for the share of the target that stays free
)

// Best returns the index of the best candidate, or -1 if none can take the task.
func Best(candidates []Candidate, t Task) int {
	best, bestScore := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !Feasible(c, t) {
			continue
		}
		if s := score(c, t); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Feasible reports whether the candidate may be given the task at all.
func Feasible(c *Candidate, t Task) bool {
	switch {
	case !t.Need.Fits(c.Free):
		return false
	case t.Label != "" && !slices.Contains(c.Labels, t.Label):
		return false
	case t.MaxPerTarget > 0 && c.SameStep >= t.MaxPerTarget:
		return false
	case t.RackOnly && c.Rack != t.Rack:
		return false
	case c.Suspect && c.Busy:
		return false
	}
	return true
}

func score(c *Candidate, t Task) float64 {
	s := 0.0
	if c.ID == t.Avoid {
		s += avoidCost
	}
	if c.Suspect {
		s += avoidCost / 2
	}
	if c.Draining {
		s += leavingCost
	}
	if t.Rack != "" && c.Rack != t.Rack {
		s += remoteCost
	}
	if t.Zone != "" && c.Zone != t.Zone {
		s += zoneCost
	}
	if t.Service {
		s += spreadCost * float64(c.SameStep)
	}
	if t.BestEffort {
		s += disturbCost * float64(c.Services)
	}
	if t.LatencySensitive {
		s += disturbCost * float64(c.BestEffort)
	}
	rest := share(c.Free.CPU-t.Need.CPU, c.Capacity.CPU) + share(work.Millicores(c.Free.Memory-t.Need.Memory), work.Millicores(c.Capacity.Memory))
	return s + restCost*rest/2
}

func share(part, whole work.Millicores) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
