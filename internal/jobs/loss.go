package jobs

import (
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/blame"
)

// Targets of one rack, or of one zone, that are lost together have a cause in common, such as a loss of power. Their loss says
// nothing about a task that was new on one of them, unless its step was new on all of them and nowhere else.

const (
	// commonLossWindow is how far apart losses with a common cause are seen.
	commonLossWindow = 250 * time.Millisecond
	// minCommonLoss is the smallest number of targets whose loss at the same time is no coincidence: several tasks may crash
	// their targets at about the same time.
	minCommonLoss = 3
	// lossMemory is how long the runs under a loss are remembered: the losses of silent targets become known seconds apart.
	lossMemory = 5 * time.Second
)

// loss is what is known about the end of a target's last incarnation.
type loss struct {
	incarnation int64     // that has ended; 0 if none has
	at          time.Time // when the target was found to be lost
	suspects    []*run    // that could be the cause
	blamed      []blamedRun
}

// blamedRun is a run whose task has been blamed for the loss of its target.
type blamedRun struct {
	*run
	crash blame.Crash
}

// foundLost returns when it was found that a target is lost, if that is known for certain by now.
func (t *target) foundLost(now time.Time) time.Time {
	if t.unreachable {
		return t.unreachableSince
	}
	return now
}

// noteLoss notes that the target's incarnations before the given one have ended, as was found at a time.
func (t *target) noteLoss(at time.Time, incarnation int64, suspects []*run) {
	ended := int64(0)
	if t.reportedIncarnation < incarnation {
		ended = t.reportedIncarnation
	}
	for _, r := range t.orderedRuns {
		if r.precedes(incarnation) {
			ended = max(ended, r.incarnation)
		}
	}
	if ended <= t.loss.incarnation {
		return // known
	}
	t.loss = loss{incarnation: ended, at: at, suspects: suspects}
}

// lostAbout reports whether the target was lost, or became unreachable, at about the same time as another one.
func (t *target) lostAbout(at time.Time) bool {
	return t.loss.incarnation != 0 && near(t.loss.at, at) || t.unreachable && near(t.unreachableSince, at)
}

func near(a, b time.Time) bool { return a.Sub(b).Abs() <= commonLossWindow }

// lostTogether returns the targets of the rack, or else of the zone, of a lost target if all of them were lost with it, and
// nil if it was lost alone. Those that were unreachable long before don't count.
func (p *Pool) lostTogether(t *target) []*target {
	if t.loss.incarnation == 0 {
		return nil
	}
	if t.Rack != "" {
		if group := p.allLost(t, func(u *target) bool { return u.Rack == t.Rack && u.Zone == t.Zone }); group != nil {
			return group
		}
	}
	if t.Zone != "" {
		return p.allLost(t, func(u *target) bool { return u.Zone == t.Zone })
	}
	return nil
}

func (p *Pool) allLost(t *target, beside func(*target) bool) []*target {
	var group []*target
	for _, u := range p.sortedTargets() {
		switch {
		case !beside(u):
		case u.lostAbout(t.loss.at):
			group = append(group, u)
		case u.unreachable && u.unreachableSince.Before(t.loss.at):
		default:
			return nil
		}
	}
	if len(group) < minCommonLoss {
		return nil
	}
	return group
}

// explains reports whether the common loss of a group of targets explains the loss of one of them under a run.
func (p *Pool) explains(now time.Time, group []*target, r *run) bool {
	if group == nil {
		return false
	}
	onAll := !slices.ContainsFunc(group, func(u *target) bool { return !u.hadNew(r.step) })
	return !onAll || r.step.settledBeside(now, group)
}

// hadNew reports whether a task of the step was new on the target when it was lost.
func (t *target) hadNew(st *stepState) bool {
	isNew := func(r *run) bool { return r.step == st }
	return slices.ContainsFunc(t.loss.suspects, isNew) ||
		slices.ContainsFunc(t.orderedRuns, func(r *run) bool { return isNew(r) && r.state != runPlanned && !r.survived() })
}

// settledBeside reports whether a task of the step has been found harmless on a target that isn't in the group.
func (st *stepState) settledBeside(now time.Time, group []*target) bool {
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.settled(now) && !slices.Contains(group, r.target) {
			return true
		}
	}
	return false
}

// acquit takes the blame from the tasks whose targets were lost before it was known that the whole group is.
func (p *Pool) acquit(now time.Time, group []*target) (acquitted int) {
	for _, t := range group {
		t.loss.blamed = slices.DeleteFunc(t.loss.blamed, func(b blamedRun) bool {
			if b.job.finished() || b.task.done || !p.explains(now, group, b.run) {
				return false
			}
			b.task.crashes.Remove(b.crash)
			p.markTaskDirty(b.job, b.key.task)
			acquitted++
			return true
		})
	}
	p.replan = p.replan || acquitted > 0
	return acquitted
}
