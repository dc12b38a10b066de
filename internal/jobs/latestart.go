package jobs

import (
	"slices"
	"time"
)

// unansweredStart is an unanswered start command whose run the current
// incarnation of the target will refuse. The next incarnation would not know
// that it has to refuse it.
type unansweredStart struct {
	key   runKey
	until time.Time
}

// maxCommandDelay is how long a command may be in flight; the platform specifies up to 12 s.
const maxCommandDelay = 13 * time.Second

// noteUnansweredStart notes the start command of a run that is about to be detached, and forgets those that can't arrive any more.
func (t *target) noteUnansweredStart(r *run) {
	t.forgetUnansweredStarts(r.conclusiveSince)
	t.unansweredStarts = append(t.unansweredStarts, unansweredStart{r.key, r.conclusiveSince.Add(maxCommandDelay)})
}

// forgetUnansweredStarts forgets the start commands that can't arrive any more.
func (t *target) forgetUnansweredStarts(now time.Time) {
	t.unansweredStarts = slices.DeleteFunc(t.unansweredStarts, func(s unansweredStart) bool { return s.until.Before(now) })
}

// stopUnansweredStarts stops, in a new incarnation, the runs whose unanswered
// start commands may still arrive, so that the incarnation refuses them.
func (p *Pool) stopUnansweredStarts(now time.Time, t *target, incarnation int64) {
	starts := t.unansweredStarts
	t.unansweredStarts = nil
	for _, start := range starts {
		if now.After(start.until) || t.runs[start.key] != nil {
			continue
		}
		r := &run{key: start.key, incarnation: incarnation, state: runRunning}
		if j := p.jobs[start.key.task.Job]; j != nil {
			if tk, st := j.findTask(start.key.task); tk != nil {
				r.job, r.spec = j, &j.spec.Steps[start.key.task.Step]
				if !j.finished() && !tk.done && tk.run == nil {
					r.task, r.step = tk, st // the task gets a new run only after the stop; otherwise both could run at once
				}
			}
		}
		p.attach(r, t)
		p.stop(now, r, "the target has restarted while a start command was in flight")
		t.unansweredStarts = append(t.unansweredStarts, start) // the next incarnation needs the stop as well
	}
}
