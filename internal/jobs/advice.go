package jobs

import (
	"slices"
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
	// adviceValidityParts is the part of a ticket's validity that a call may take. Validity counts from when the call is sent, and
	// the service may be handling another one then.
	adviceValidityParts = 4
	// adviceMargin is the remaining validity that a ticket needs for the start command to arrive in time.
	adviceMargin = 200 * time.Millisecond
	// adviceInFlight is the number of requests at the same time that is always allowed: one that the service handles and one that
	// it handles next. A request that is sent later names the steps and targets that matter then.
	adviceInFlight = 2
	// maxAdviceInFlight and adviceAhead bound further requests, for a service that handles each in less time than a round of
	// planning takes.
	maxAdviceInFlight = 24
	adviceAhead       = 100 * time.Millisecond
	// maxAdvice is the number of steps for which advice is kept, at some KB each: one for each active job.
	maxAdvice = 4000
	// maxJobAdvice is the number of steps of one job among them. A short job may have thousands of steps that can start.
	maxJobAdvice = 64
)

// Advice is the response of the advice service to a request.
type Advice struct {
	Granted     map[work.TargetID]string // ticket for each target that may run the step; nil if there was no response
	Validity    time.Duration            // of the tickets
	IssuedAfter time.Time                // when the call was sent that has this response
}

// adviceWant is a step that needs advice in a round of planning.
type adviceWant struct {
	key     stepKey
	job     *job
	askedAt time.Time // zero if the service has not been asked yet
	taken   bool
}

func (a *stepAdvice) ticket(id work.TargetID) string {
	if a.unrestricted {
		return ""
	}
	return a.granted[id]
}

// usableAdvice reports whether the advice holds valid tickets.
func (p *Pool) usableAdvice(now time.Time, a *stepAdvice) bool {
	return !a.pending && len(a.granted) > 0 && now.Add(adviceMargin).Before(a.validUntil) && !p.stale(a)
}

// adviceFor returns the advice for a step if it holds valid tickets. Otherwise it returns nil, and the step is one of those for
// which [Pool.requestAdvice] may request some.
func (p *Pool) adviceFor(now time.Time, j *job, occurrence, step int) *stepAdvice {
	if p.queues[j.queue].Advice == nil {
		return unrestrictedAdvice
	}
	want := adviceWant{key: stepKey{j.id, occurrence, step}, job: j}
	if a := p.advice[want.key]; a != nil {
		if p.usableAdvice(now, a) {
			return a
		}
		if a.pending {
			return nil
		}
		want.askedAt = a.askedAt
	}
	if p.mayAskForAdvice() {
		p.adviceWanted = append(p.adviceWanted, want)
	}
	return nil
}

// requestAdvice requests advice for steps that [Pool.adviceFor] has noted in this round of planning, as far as further requests are
// allowed. By turns it chooses the step that is first in the order of planning, and the one whose last request is the longest
// ago. Steps whose tickets expire again and again, because no target has room, would otherwise keep out those behind them.
func (p *Pool) requestAdvice(now time.Time, cs *candidateSet) {
	ranked := p.adviceWanted
	if len(ranked) == 0 {
		return
	}
	defer func() {
		clear(ranked) // jobs that end are not kept in memory
		p.adviceWanted = ranked[:0]
	}()
	oldest := make([]*adviceWant, len(ranked))
	for i := range ranked {
		oldest[i] = &ranked[i]
	}
	slices.SortStableFunc(oldest, func(a, b *adviceWant) int { return a.askedAt.Compare(b.askedAt) })
	for first, next := 0, 0; first < len(ranked) && next < len(oldest) && p.mayAskForAdvice(); {
		var want *adviceWant
		if p.adviceByAge {
			want = oldest[next]
			next++
		} else {
			want = &ranked[first]
			first++
		}
		if !want.taken {
			want.taken = true
			if p.request(now, want, cs) {
				p.adviceByAge = !p.adviceByAge
			}
		}
	}
}

// request requests advice for a step, unless that is done already, the pool or the job has all that it may, or each target has been
// refused.
func (p *Pool) request(now time.Time, want *adviceWant, cs *candidateSet) bool {
	a, config := p.advice[want.key], p.queues[want.job.queue].Advice
	isNew := a == nil
	switch {
	case isNew && (len(p.advice) >= maxAdvice || want.job.advised >= maxJobAdvice):
		return false
	case isNew:
		a = &stepAdvice{refused: map[work.TargetID]bool{}}
	case a.pending:
		return false
	}
	ask := cs.targetsToAskAbout(a, namedTargets(config))
	if len(ask) == 0 {
		return false
	}
	if isNew {
		p.advice[want.key] = a
		want.job.advised++
	}
	a.askedAt, a.pending = now, true
	a.incarnations = map[work.TargetID]int64{}
	for _, id := range ask {
		a.incarnations[id] = p.targets[id].reportedIncarnation
	}
	r := AdviceRequest{Job: want.job.id, Occurrence: want.key.occurrence, Step: want.key.step, Targets: ask, Duration: config.CallTime(len(ask))}
	p.adviceRequests++
	p.adviceDuration += r.Duration
	p.commands = append(p.commands, r)
	return true
}

// namedTargets returns how many targets a request may name.
func namedTargets(config *work.AdviceConfig) int {
	if config.TimePerTarget <= 0 {
		return maxAdviceTargets
	}
	n := (config.TicketValidity/adviceValidityParts - config.DecisionTime) / config.TimePerTarget
	return int(min(max(n, 1), maxAdviceTargets))
}

// mayAskForAdvice reports whether a further request may be sent. The response to another one starts the next round of planning.
func (p *Pool) mayAskForAdvice() bool {
	return p.adviceRequests < adviceInFlight || p.adviceRequests < maxAdviceInFlight && p.adviceDuration < adviceAhead
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

// targetsToAskAbout returns at most limit targets that have not been refused for the step, those with the most free CPU.
func (cs *candidateSet) targetsToAskAbout(a *stepAdvice, limit int) []work.TargetID {
	index := make([]int, 0, len(cs.list))
	for k := range cs.list {
		if !a.refused[cs.list[k].ID] {
			index = append(index, k)
		}
	}
	sort.SliceStable(index, func(i, k int) bool { return cs.list[index[i]].Free.CPU > cs.list[index[k]].Free.CPU })
	var ids []work.TargetID
	for _, k := range index[:min(len(index), limit)] {
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

// HandleAdvice handles the response of the advice service. Call it once for each request, also if there was no response.
func (p *Pool) HandleAdvice(r AdviceRequest, response Advice) {
	p.adviceRequests--
	p.adviceDuration -= r.Duration
	p.replan = true
	a := p.advice[stepKey{r.Job, r.Occurrence, r.Step}]
	if a == nil {
		return
	}
	a.pending = false
	if response.Granted == nil {
		return
	}
	a.granted, a.validUntil = response.Granted, response.IssuedAfter.Add(response.Validity)
	for _, id := range r.Targets {
		if response.Granted[id] == "" {
			a.refused[id] = true
		}
	}
}
