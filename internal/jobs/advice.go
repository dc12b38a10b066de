package jobs

import (
	"sort"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// stepAdvice is the response of the advice service for one step: on which
// targets its tasks may run, with a ticket for each.
type stepAdvice struct {
	unrestricted bool // the queue needs no advice
	askedAt      time.Time
	pending      bool
	validUntil   time.Time
	granted      map[work.TargetID]string // ticket for each target
	incarnations map[work.TargetID]int64  // of the targets named in the last request
	refused      map[work.TargetID]bool   // named in a request and not granted, which is final
}

var unrestrictedAdvice = &stepAdvice{unrestricted: true}

const (
	// maxAdviceTargets is the largest number of targets in one request; the advice service takes some time for each.
	maxAdviceTargets = 30
	// adviceTimeout is the time after which a request is considered lost.
	adviceTimeout = 2 * time.Second
	// adviceMargin is the remaining validity that a ticket needs for the start command to arrive in time.
	adviceMargin = 200 * time.Millisecond
	// maxAdviceInFlight is the number of requests at the same time. The advice service handles the calls of one process one after
	// the other, and rejects them while 32 wait.
	maxAdviceInFlight = 24
	// maxAdvice is the number of steps for which advice is kept, at some KB each: one for each active job.
	maxAdvice = 4000
	// maxJobAdvice is the number of steps of one job among them. A short job may have thousands of steps that can start.
	maxJobAdvice = 64
)

func (a *stepAdvice) ticket(id work.TargetID) string {
	if a.unrestricted {
		return ""
	}
	return a.granted[id]
}

// adviceFor returns the advice for a step if it holds valid tickets; otherwise it requests some and returns nil.
func (p *Pool) adviceFor(now time.Time, j *job, occurrence, step int, cs *candidateSet) *stepAdvice {
	q := p.queues[j.queue]
	if q.Advice == nil {
		return unrestrictedAdvice
	}
	key := stepKey{j.id, occurrence, step}
	a := p.advice[key]
	if a == nil {
		if !p.mayAskForAdvice(now) || len(p.advice) >= maxAdvice || j.advised >= maxJobAdvice {
			return nil
		}
		a = &stepAdvice{refused: map[work.TargetID]bool{}}
		p.advice[key] = a
		j.advised++
	}
	if a.pending && now.Sub(a.askedAt) < adviceTimeout {
		return nil
	}
	if len(a.granted) > 0 && now.Add(adviceMargin).Before(a.validUntil) && !p.stale(a) {
		return a
	}
	if !p.mayAskForAdvice(now) {
		return nil
	}
	ask := cs.targetsToAskAbout(a)
	if len(ask) == 0 {
		return nil
	}
	p.adviceAsked = append(p.adviceAsked, now)
	a.askedAt, a.pending = now, true
	a.incarnations = map[work.TargetID]int64{}
	for _, id := range ask {
		a.incarnations[id] = p.targets[id].reportedIncarnation
	}
	p.commands = append(p.commands, AdviceRequest{Job: j.id, Occurrence: occurrence, Step: step, Targets: ask})
	return nil
}

// mayAskForAdvice reports whether a further request may be sent. The response to another one starts the next round of planning.
func (p *Pool) mayAskForAdvice(now time.Time) bool {
	for len(p.adviceAsked) > 0 && now.Sub(p.adviceAsked[0]) >= adviceTimeout {
		p.adviceAsked = p.adviceAsked[1:] // lost
	}
	return len(p.adviceAsked) < maxAdviceInFlight
}

// deleteAdvice forgets the advice for a step.
func (p *Pool) deleteAdvice(key stepKey) {
	if p.advice[key] == nil {
		return
	}
	delete(p.advice, key)
	if j := p.jobs[key.job]; j != nil {
		j.advised--
	}
}

// dropAdvice forgets the advice for steps that don't need it: those of finished jobs, and those without waiting tasks where a job
// or the pool has all the advice that it may.
func (p *Pool) dropAdvice() {
	for key := range p.advice {
		j := p.jobs[key.job]
		switch {
		case j == nil, j.finished():
		case (len(p.advice) >= maxAdvice || j.advised >= maxJobAdvice) && j.occurrences[key.occurrence].steps[key.step].waiting == 0:
		default:
			continue
		}
		p.deleteAdvice(key)
	}
}

// targetsToAskAbout returns the targets with the most free CPU that have not been refused for the step.
func (cs *candidateSet) targetsToAskAbout(a *stepAdvice) []work.TargetID {
	index := make([]int, 0, len(cs.list))
	for k := range cs.list {
		if !a.refused[cs.list[k].ID] {
			index = append(index, k)
		}
	}
	sort.SliceStable(index, func(i, k int) bool { return cs.list[index[i]].Free.CPU > cs.list[index[k]].Free.CPU })
	var ids []work.TargetID
	for _, k := range index[:min(len(index), maxAdviceTargets)] {
		ids = append(ids, cs.list[k].ID)
	}
	return ids
}

// stale reports whether all granted targets have restarted: a ticket is valid for one incarnation only.
func (p *Pool) stale(a *stepAdvice) bool {
	for id := range a.granted {
		if t := p.targets[id]; t != nil && t.reportedIncarnation == a.incarnations[id] {
			return false
		}
	}
	return true
}

// HandleAdvice handles the response of the advice service; granted is nil if there was none.
func (p *Pool) HandleAdvice(now time.Time, r AdviceRequest, granted map[work.TargetID]string, validity time.Duration) {
	if len(p.adviceAsked) > 0 {
		p.adviceAsked = p.adviceAsked[1:]
	}
	p.replan = true
	a := p.advice[stepKey{r.Job, r.Occurrence, r.Step}]
	if a == nil {
		return
	}
	a.pending = false
	if granted == nil {
		return
	}
	a.granted, a.validUntil = granted, a.askedAt.Add(validity)
	for _, id := range r.Targets {
		if granted[id] == "" {
			a.refused[id] = true
		}
	}
}
