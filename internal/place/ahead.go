package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Never is the remaining time of a run that ends only when it is stopped.
const Never = time.Duration(math.MaxInt64)

// RunEnd is the expected end of a run on a target.
type RunEnd struct {
	Holds work.Resources
	After time.Duration // expected remaining time; [Never] for a service task
}

// Policy bounds what reservations may cost.
type Policy struct {
	// MaxShare is the share of the candidates that may be reserved at once.
	MaxShare float64
	// Horizon is how long before it is due a reservation is made at most.
	Horizon time.Duration
	// Grace is how much later than it was due the place may become free; a reservation that will take longer is dropped.
	Grace time.Duration
	// MaxDelay is how long reservations may keep a task from a place whose holder comes after it in the order of the jobs.
	MaxDelay time.Duration
	// MaxRefusal is how long reservations may keep any task from a place.
	MaxRefusal time.Duration
}

// Reservation keeps a target for waiting tasks of one step, its holder.
type Reservation[K comparable] struct {
	Target work.TargetID
	Holder K
	Count  int            // tasks
	Need   work.Resources // of all Count tasks together
	Since  time.Time
	Due    time.Time // when enough is expected to be free

	index        int            // in the candidates of this round
	beside       work.Resources // free for tasks that outlast Due
	reached      bool           // the holder was planned in this round
	blockedUntil time.Time      // expected end of the last task that would have taken the place
}

// Gained estimates the waiting time that the reservation has saved its holder, which starts now: without it, a task that was
// refused the target would run there until its expected end.
func (r *Reservation[K]) Gained(now time.Time) time.Duration { return max(0, r.blockedUntil.Sub(now)) }

// EndReason tells why a reservation ended before its holder started on the target.
type EndReason string

// The reasons to end a reservation.
const (
	EndOverdue  EndReason = "not free in time"
	EndTarget   EndReason = "the target takes no new tasks"
	EndUnneeded EndReason = "no task needs it"
)

// Ended is a reservation that has ended.
type Ended[K comparable] struct {
	*Reservation[K]
	Reason EndReason
}

// Book holds the reservations of one pool. It is not safe for concurrent use.
type Book[K comparable] struct {
	Policy Policy
	list   []*Reservation[K] // in the order in which they were made
	next   int               // the candidate at which the next search begins
	hidden []hiddenFree
	// refusedSince holds the steps with a task that was first refused a place because of a reservation, and when.
	refusedSince map[K]time.Time
	// In the current round:
	now        time.Time
	candidates []Candidate
	ends       func(index int, within time.Duration) []RunEnd
}

// hiddenFree is what a candidate's free resources are reduced by while the tasks of one step are placed.
type hiddenFree struct {
	index  int
	amount work.Resources
}

// Len returns the number of reservations, each of one target.
func (b *Book[K]) Len() int { return len(b.list) }

// All returns the reservations in the order in which they were made. The caller must not change them.
func (b *Book[K]) All() []*Reservation[K] { return b.list }

// Begin begins a round of planning, and ends the reservations that have proved wrong. The function ends returns, in any order,
// which runs of a candidate are expected to end within a time; its result is used until the next call.
func (b *Book[K]) Begin(now time.Time, candidates []Candidate, indexOf func(work.TargetID) int, ends func(index int, within time.Duration) []RunEnd) []Ended[K] {
	b.now, b.candidates, b.ends = now, candidates, ends
	var ended []Ended[K]
	b.list = slices.DeleteFunc(b.list, func(r *Reservation[K]) bool {
		r.reached, r.index = false, indexOf(r.Target)
		switch {
		case r.index < 0:
			ended = append(ended, Ended[K]{r, EndTarget})
		case b.late(r):
			ended = append(ended, Ended[K]{r, EndOverdue})
		default:
			return false
		}
		return true
	})
	return ended
}

// late reports whether the place of a reservation will not be free within the grace, and updates what is free beside it. The
// expected ends change: a task that runs on after its expected end is one of the few long ones, and tasks to which the
// reservation yields have taken what became free.
func (b *Book[K]) late(r *Reservation[K]) bool {
	left := r.Due.Sub(b.now)
	limit := left + b.Policy.Grace
	atDue := b.candidates[r.index].Free
	atLimit := atDue
	for _, e := range b.ends(r.index, limit) {
		atLimit = atLimit.Plus(e.Holds)
		if e.After <= left {
			atDue = atDue.Plus(e.Holds)
		}
	}
	r.beside = atDue.Minus(r.Need).AtLeastZero()
	return limit < 0 || !r.Need.Fits(atLimit)
}

// Release ends the reservations that keep says are not needed any more.
func (b *Book[K]) Release(keep func(K) bool) []Ended[K] {
	for step := range b.refusedSince {
		if !keep(step) {
			delete(b.refusedSince, step)
		}
	}
	var ended []Ended[K]
	b.list = slices.DeleteFunc(b.list, func(r *Reservation[K]) bool {
		if keep(r.Holder) {
			return false
		}
		ended = append(ended, Ended[K]{r, EndUnneeded})
		return true
	})
	return ended
}

// Trim ends reservations of a holder, the last ones first, until they are for at most n tasks.
func (b *Book[K]) Trim(holder K, n int) []Ended[K] {
	var ended []Ended[K]
	excess := b.Reserved(holder) - n
	for i := len(b.list) - 1; i >= 0 && excess > 0; i-- {
		if r := b.list[i]; r.Holder == holder && r.Count <= excess {
			excess -= r.Count
			ended = append(ended, Ended[K]{r, EndUnneeded})
			b.list = slices.Delete(b.list, i, i+1)
		}
	}
	return ended
}

// Reserved returns for how many tasks of a step places are reserved.
func (b *Book[K]) Reserved(holder K) int {
	n := 0
	for _, r := range b.list {
		if r.Holder == holder {
			n += r.Count
		}
	}
	return n
}

// Reach notes that the holder is planned now: tasks that are planned later in this round come after it. It reports whether it
// holds a reservation.
func (b *Book[K]) Reach(holder K) bool {
	holds := false
	for _, r := range b.list {
		if r.Holder == holder {
			r.reached, holds = true, true
		}
	}
	return holds
}

// Hide reduces the free resources of the candidates by what a step must not take: targets reserved for other steps, except
// for what is free beside the reservation, or for tasks that are expected to end before it is due. If yield is true,
// reservations to which the step needs not yield any more don't count. Call Show when the step is planned.
func (b *Book[K]) Hide(step K, expected time.Duration, yield bool) {
	ends, refused := b.now.Add(expected), b.refusedFor(step)
	for _, r := range b.list {
		if r.Holder == step || yield && b.exempt(r, refused) || expected > 0 && !ends.After(r.Due) {
			continue
		}
		free := &b.candidates[r.index].Free
		amount := free.Minus(r.beside).AtLeastZero()
		*free = free.Minus(amount)
		b.hidden = append(b.hidden, hiddenFree{r.index, amount})
	}
}

// exempt reports whether a task that has been refused for a time may take the place of a reservation.
func (b *Book[K]) exempt(r *Reservation[K], refused time.Duration) bool {
	return refused >= b.Policy.MaxRefusal || !r.reached && refused >= b.Policy.MaxDelay
}

// refusedFor returns for how long a step has been refused a place because of reservations.
func (b *Book[K]) refusedFor(step K) time.Duration {
	if since, refused := b.refusedSince[step]; refused {
		return b.now.Sub(since)
	}
	return 0
}

// Show ends the effect of Hide.
func (b *Book[K]) Show() {
	for _, h := range b.hidden {
		free := &b.candidates[h.index].Free
		*free = free.Plus(h.amount)
	}
	b.hidden = b.hidden[:0]
}

// Exempt reports whether a task of a step may take a place that is reserved for another one.
func (b *Book[K]) Exempt(step K, need work.Resources) bool {
	refused := b.refusedFor(step)
	return slices.ContainsFunc(b.list, func(r *Reservation[K]) bool {
		return r.Holder != step && b.exempt(r, refused) && need.Fits(b.candidates[r.index].Free)
	})
}

// Refused notes that a task was not placed, if it would have been placed but for a reservation.
func (b *Book[K]) Refused(step K, t Task, expected time.Duration, allowed func(work.TargetID) bool) {
	for _, r := range b.list {
		if r.Holder != step && allowed(r.Target) && Feasible(&b.candidates[r.index], t) {
			r.blockedUntil = b.now.Add(expected)
			if _, refused := b.refusedSince[step]; !refused {
				if b.refusedSince == nil {
					b.refusedSince = map[K]time.Time{}
				}
				b.refusedSince[step] = b.now
			}
			return
		}
	}
}

// Placed notes that a task is placed on a target. It returns the reservation that the task has used; nil if there is none.
func (b *Book[K]) Placed(step K, target work.TargetID, need work.Resources) *Reservation[K] {
	for i, r := range b.list {
		if r.Target != target {
			continue
		}
		if r.Holder != step {
			r.beside = r.beside.Minus(need).AtLeastZero()
			return nil
		}
		r.Count--
		r.Need = r.Need.Minus(need)
		if r.Count == 0 {
			b.list = slices.Delete(b.list, i, i+1)
		}
		return r
	}
	return nil
}

// Request asks for places for the waiting tasks of a step.
type Request[K comparable] struct {
	Holder K
	Task   Task // the properties that its tasks share
	Count  int
	// Gang makes the reservation for all tasks or none; SameRack keeps them in one rack if possible.
	Gang, SameRack bool
	// Allowed reports whether a target may run the tasks.
	Allowed func(work.TargetID) bool
}

// option is a place for one more task on a candidate.
type option struct {
	index int
	cost  float64
	due   time.Duration
}

// Reserve reserves targets for a step: of those that place.Best would prefer, the ones on which enough is expected to end
// soonest. It returns the new reservations.
func (b *Book[K]) Reserve(q Request[K]) []*Reservation[K] {
	quota := int(b.Policy.MaxShare*float64(len(b.candidates))) - len(b.list)
	if quota <= 0 || q.Count <= 0 {
		return nil
	}
	options := b.options(&q)
	if !q.Gang {
		return b.take(&q, options, quota)
	}
	if q.SameRack {
		if inRack := b.soonestRack(options, q.Count); inRack != nil {
			options = inRack
		}
	}
	if !enough(options, q.Count, quota) {
		return nil
	}
	return b.take(&q, options, quota)
}

// maxExamined is how many candidates one search for places examines, except for a gang. It bounds the cost of planning in
// large pools; the next search begins with the other candidates.
const maxExamined = 32

// options returns the places that are expected to be free within the horizon, the best first.
func (b *Book[K]) options(q *Request[K]) []option {
	var out []option
	examined, from := 0, b.next
	for i := range b.candidates {
		if examined == maxExamined && !q.Gang {
			break
		}
		k := (from + i) % len(b.candidates)
		b.next = k + 1
		c := &b.candidates[k]
		if c.Suspect || c.ID == q.Task.Avoid || !q.Task.Need.Fits(c.Capacity) || b.isReserved(c.ID) || !q.Allowed(c.ID) {
			continue
		}
		limit := q.Count
		if q.Task.MaxPerTarget > 0 {
			limit = min(limit, q.Task.MaxPerTarget-c.SameStep)
		}
		if !c.hasLabel(q.Task.Label) || limit <= 0 {
			continue
		}
		examined++
		free, ends, due := c.Free, b.ends(k, b.Policy.Horizon), time.Duration(0)
		most := free
		for i := range ends {
			most = most.Plus(ends[i].Holds)
		}
		if !q.Task.Need.Fits(most) {
			continue
		}
		cost := preference(c, q.Task)
		slices.SortFunc(ends, func(x, y RunEnd) int { return cmp.Compare(x.After, y.After) })
		for n := 1; n <= limit; n++ {
			need := q.Task.Need.Times(n)
			for len(ends) > 0 && !need.Fits(free) {
				free, due, ends = free.Plus(ends[0].Holds), max(due, ends[0].After), ends[1:]
			}
			if !need.Fits(free) {
				break
			}
			out = append(out, option{k, cost, due})
		}
	}
	slices.SortStableFunc(out, func(x, y option) int { return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.due, y.due)) })
	return out
}

func (b *Book[K]) isReserved(id work.TargetID) bool {
	return slices.ContainsFunc(b.list, func(r *Reservation[K]) bool { return r.Target == id })
}

// soonestRack returns the options in the rack in which n tasks fit soonest; nil if there is none.
func (b *Book[K]) soonestRack(options []option, n int) []option {
	byRack := map[string][]option{}
	var best []option
	for _, o := range options { // the order of options decides ties
		rack := b.candidates[o.index].Rack
		byRack[rack] = append(byRack[rack], o)
		if inRack := byRack[rack]; len(inRack) == n && (best == nil || latest(inRack) < latest(best)) {
			best = inRack
		}
	}
	return best
}

func latest(options []option) time.Duration {
	due := time.Duration(0)
	for _, o := range options {
		due = max(due, o.due)
	}
	return due
}

// enough reports whether n of the options are on at most quota targets, in the order in which take uses them.
func enough(options []option, n, quota int) bool {
	targets := map[int]bool{}
	for _, o := range options {
		if n == 0 {
			break
		}
		if targets[o.index] || len(targets) < quota {
			targets[o.index] = true
			n--
		}
	}
	return n == 0
}

// take makes reservations of the first options on at most quota targets.
func (b *Book[K]) take(q *Request[K], options []option, quota int) []*Reservation[K] {
	var made []*Reservation[K]
	byIndex := map[int]*Reservation[K]{}
	left := q.Count
	for _, o := range options {
		if left == 0 {
			break
		}
		r := byIndex[o.index]
		if r == nil {
			if len(made) == quota {
				continue
			}
			r = &Reservation[K]{Target: b.candidates[o.index].ID, Holder: q.Holder, Since: b.now, index: o.index, reached: true}
			byIndex[o.index] = r
			made = append(made, r)
		}
		r.Count++
		r.Need = r.Need.Plus(q.Task.Need)
		r.Due = b.now.Add(o.due)
		left--
	}
	for _, r := range made {
		b.late(r) // sets what is free beside it
	}
	b.list = append(b.list, made...)
	return made
}

// preference is the part of the score that doesn't depend on what is free.
func preference(c *Candidate, t Task) float64 {
	whole := Candidate{ID: c.ID, Rack: c.Rack, Zone: c.Zone, Draining: c.Draining, SameStep: c.SameStep, Pinned: c.Pinned, LatencySensitive: c.LatencySensitive, BestEffort: c.BestEffort}
	return score(&whole, t)
}
