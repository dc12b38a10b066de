package jobs

import (
	"sort"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// tickets are the targets that may run a step, as advised.
type tickets struct {
	any     bool // the queue needs no advice
	asked   time.Time
	pending bool
	until   time.Time
	granted map[work.TargetID]string
	lives   map[work.TargetID]int64
	refused map[work.TargetID]bool // asked about and not granted; that doesn't change
}

var anyTarget = &tickets{any: true}

const (
	// adviceTargets bounds one call; the service takes a while for each target named.
	adviceTargets = 30
	// adviceTimeout is when a call is taken as lost.
	adviceTimeout = 2 * time.Second
	// adviceMargin is left of a ticket's validity for the start to arrive.
	adviceMargin = 200 * time.Millisecond
)

func (t *tickets) of(id work.TargetID) string {
	if t.any {
		return ""
	}
	return t.granted[id]
}

// ticketsFor returns the valid tickets of a step, or nil after asking for them.
func (p *Pool) ticketsFor(now time.Time, j *job, occurrence, step int, f *floor) *tickets {
	q := p.queues[j.queue]
	if q.Advice == nil {
		return anyTarget
	}
	key := stepKey{j.id, occurrence, step}
	t := p.advice[key]
	if t == nil {
		t = &tickets{refused: map[work.TargetID]bool{}}
		p.advice[key] = t
	}
	if t.pending && now.Sub(t.asked) < adviceTimeout {
		return nil
	}
	if len(t.granted) > 0 && now.Add(adviceMargin).Before(t.until) && !p.stale(t) {
		return t
	}
	ask := f.askAbout(t)
	if len(ask) == 0 {
		return nil
	}
	t.asked, t.pending = now, true
	t.lives = map[work.TargetID]int64{}
	for _, id := range ask {
		t.lives[id] = p.targets[id].life
	}
	p.orders = append(p.orders, AdviceRequest{Job: j.id, Occurrence: occurrence, Step: step, Targets: ask})
	return nil
}

// askAbout names the targets with the most free room that have not been refused for the step.
func (f *floor) askAbout(t *tickets) []work.TargetID {
	index := make([]int, 0, len(f.list))
	for k := range f.list {
		if !t.refused[f.list[k].ID] {
			index = append(index, k)
		}
	}
	sort.SliceStable(index, func(a, b int) bool { return f.list[index[a]].Free.CPU > f.list[index[b]].Free.CPU })
	var ids []work.TargetID
	for _, k := range index[:min(len(index), adviceTargets)] {
		ids = append(ids, f.list[k].ID)
	}
	return ids
}

// stale reports whether a granted target has begun another life, for which the ticket doesn't hold.
func (p *Pool) stale(t *tickets) bool {
	for id := range t.granted {
		if x := p.targets[id]; x != nil && x.life == t.lives[id] {
			return false
		}
	}
	return true
}

// HandleAdvice takes the answer of the advice service; granted is nil if there was none.
func (p *Pool) HandleAdvice(now time.Time, o AdviceRequest, granted map[work.TargetID]string, validity time.Duration) {
	t := p.advice[stepKey{o.Job, o.Occurrence, o.Step}]
	if t == nil {
		return
	}
	t.pending = false
	p.replan = true
	if granted == nil {
		return
	}
	t.granted, t.until = granted, t.asked.Add(validity)
	for _, id := range o.Targets {
		if granted[id] == "" {
			t.refused[id] = true
		}
	}
}
