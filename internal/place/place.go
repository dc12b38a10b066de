package place

import (
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Candidate is a target that may get a task.
type Candidate struct {
	ID               work.TargetID
	Free             work.Resources
	Capacity         work.Resources
	Rack             string
	Zone             ident.ZoneID
	Labels           []string
	SameStep         int  // tasks of the step that it already runs
	Tasks            int  // tasks that it runs
	MaxTasks         int  // that it may run; 0 sets no limit
	LatencySensitive int  // latency-sensitive tasks that it runs
	BestEffort       int  // best-effort tasks that it runs
	Pinned           bool // runs a service task, so that its VM can't be lent to another pool
	Draining         bool // will leave the pool soon
	Suspect          bool // gets one task at a time
	Busy             bool // runs at least one task
}

// Task holds the properties of a task that determine its place.
type Task struct {
	Need             work.Resources // reserved on the target
	Label            string
	Rack             string // that holds its data or runs its gang; empty if any will do
	MaxPerTarget     int
	Service          bool
	BestEffort       bool
	LatencySensitive bool          // has an objective for the response times to its own users
	Avoid            work.TargetID // target on which it last failed or made too little progress
	Zone             ident.ZoneID  // preferred zone; empty if any will do
}

// The weights of a score; the lowest score wins. Their order of size matters more
// than their values. Weights that are counted for each task add up.
const (
	avoidCost        = 1000 // the target that the task should avoid
	drainingCost     = 100  // the task would have to move soon
	remoteCost       = 40   // a task away from its data takes several times as long
	spreadCost       = 30   // for each service task of the same step
	pinCost          = 25   // a service task on a target without any keeps one more VM in the pool
	interferenceCost = 20   // for each pair of a best-effort and a latency-sensitive task
	zoneCost         = 15   // the loss or isolation of a zone delays each job that has a task there
	leftoverCost     = 10   // for the share of the target that stays free
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

// Feasible reports whether the candidate can take the task at all.
func Feasible(c *Candidate, t Task) bool {
	switch {
	case !t.Need.Fits(c.Free):
		return false
	case c.MaxTasks > 0 && c.Tasks >= c.MaxTasks:
		return false
	case !c.hasLabel(t.Label):
		return false
	case t.MaxPerTarget > 0 && c.SameStep >= t.MaxPerTarget:
		return false
	case c.Suspect && c.Busy:
		return false
	}
	return true
}

// hasLabel reports whether the candidate has a label. It has the empty label of tasks that need none.
func (c *Candidate) hasLabel(label string) bool {
	return label == "" || slices.Contains(c.Labels, label)
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
		s += drainingCost
	}
	if t.Rack != "" && c.Rack != t.Rack {
		s += remoteCost
	}
	if t.Zone != "" && c.Zone != t.Zone {
		s += zoneCost
	}
	if t.Service {
		s += spreadCost * float64(c.SameStep)
		if !c.Pinned {
			s += pinCost
		}
	}
	if t.BestEffort {
		s += interferenceCost * float64(c.LatencySensitive)
	}
	if t.LatencySensitive {
		s += interferenceCost * float64(c.BestEffort)
	}
	leftover := share(c.Free.CPU-t.Need.CPU, c.Capacity.CPU) + share(work.Millicores(c.Free.Memory-t.Need.Memory), work.Millicores(c.Capacity.Memory))
	return s + leftoverCost*leftover/2
}

func share(part, whole work.Millicores) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
