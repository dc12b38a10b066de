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
		a = &stepAdvice{refused: map[work.TargetID]bool{}}
		p.advice[key] = a
	}
	if a.pending && now.Sub(a.askedAt) < adviceTimeout {
		return nil
	}
	if len(a.granted) > 0 && now.Add(adviceMargin).Before(a.validUntil) && !p.stale(a) {
		return a
	}
	ask := cs.targetsToAskAbout(a)
	if len(ask) == 0 {
		return nil
	}
	a.askedAt, a.pending = now, true
	a.incarnations = map[work.TargetID]int64{}
	for _, id := range ask {
		a.incarnations[id] = p.targets[id].reportedIncarnation
	}
	p.commands = append(p.commands, AdviceRequest{Job: j.id, Occurrence: occurrence, Step: step, Targets: ask})
	return nil
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
	a := p.advice[stepKey{r.Job, r.Occurrence, r.Step}]
	if a == nil {
		return
	}
	a.pending = false
	p.replan = true
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
