package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// The world of these tests: targets with leases, fences and late orders, a
// store that keeps the newest record of each job, and owners that take over
// from each other. It advances in steps of a tenth of a second.
const (
	worldStep    = 100 * time.Millisecond
	worldLease   = 5 * time.Second
	worldConfirm = 4 * time.Second
	worldInherit = worldConfirm + worldLease + worldLease/25
	worldStop    = 400 * time.Millisecond
)

type worldRun struct {
	ends    time.Time
	fails   bool
	lasting bool
	stops   time.Time // when a stop takes effect; zero if none was ordered
	need    work.Resources
}

type worldTarget struct {
	id      work.TargetID
	machine work.MachineID
	born    int64
	up      bool
	cut     bool // neither orders nor answers pass
	fence   work.Fence
	lease   time.Time
	runs    map[runKey]*worldRun
	refused map[work.TaskID]work.Attempt // attempts up to here are refused
	ended   []work.RunEnd
	nextEnd int64
	room    work.Resources
	late    []lateOrder
}

// lateOrder is an order on its way; it arrives within twelve seconds or never.
type lateOrder struct {
	apply func()
	until time.Time
	born  int64 // life of the target that it was sent to
}

type worldOwner struct {
	pool    *Pool
	fence   work.Fence
	until   time.Time // when it stops giving orders; zero while it is the owner
	lapse   map[work.TargetID]time.Time
	heard   map[work.TargetID]bool
	born    map[work.TargetID]int64
	lapsed  map[work.TargetID]bool
	pending []*worldWrite
	// What waits while the owner lags: orders to be sent, answers and lists to be taken in.
	waiting []laggedEvent
	listing map[work.TargetID]bool // a list waits to be taken in
	revoked map[runKey]bool        // runs that were stopped, whose starts don't leave any more
}

type laggedEvent struct {
	due time.Time
	do  func()
}

type worldWrite struct {
	records []*Record
	flush   WriteSeq
	due     time.Time
}

type world struct {
	t       *rapid.T
	now     time.Time
	targets []*worldTarget
	owner   *worldOwner
	former  []*worldOwner
	store   map[work.JobID][]byte
	fence   work.Fence
	lossy   int // of a hundred answers of targets, how many are lost
	delays  int // of a hundred orders, how many are carried out seconds later
	lag     int // an owner's events wait for up to so many steps
	storeUp bool
	rand    func(n int) int

	done      map[work.TaskID]bool // an end done was acknowledged
	canceled  map[work.JobID]time.Time
	accepted  map[work.JobID]*work.Spec
	withdrawn map[work.JobID]bool
	failsOnce map[work.TaskID]int
	trace     []string
}

// note keeps the last events, which are printed when a check fails.
func (w *world) note(format string, args ...any) {
	const kept = 400
	if len(w.trace) == kept {
		w.trace = w.trace[1:]
	}
	w.trace = append(w.trace, w.now.Format("05.0 ")+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fatalf(format, args...)
}

func newWorld(t *rapid.T, seed uint64) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), store: map[work.JobID][]byte{}, storeUp: true,
		done: map[work.TaskID]bool{}, canceled: map[work.JobID]time.Time{}, accepted: map[work.JobID]*work.Spec{},
		withdrawn: map[work.JobID]bool{}, failsOnce: map[work.TaskID]int{},
	}
	state := seed | 1
	w.rand = func(n int) int { // xorshift: the sequence belongs to the seed
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return int(state % uint64(n))
	}
	for i := range 4 {
		w.targets = append(w.targets, &worldTarget{
			id: work.TargetID(fmt.Sprintf("t%d", i)), machine: work.MachineID(fmt.Sprintf("m%d", i)), born: 1, up: true,
			runs: map[runKey]*worldRun{}, refused: map[work.TaskID]work.Attempt{}, nextEnd: 1, room: work.Resources{CPU: 4000, Memory: 4000},
		})
	}
	w.takeOver()
	return w
}

func (w *world) takeOver() {
	w.fence++
	if w.owner != nil {
		w.owner.until = w.now.Add(worldConfirm)
		for _, x := range w.owner.pending { // fenced: what is in flight was stored before, or never will be
			if w.rand(2) == 0 {
				w.commit(x.records)
			}
		}
		w.owner.pending = nil
		w.former = append(w.former, w.owner)
	}
	p := NewPool("pool")
	p.Fence = w.fence
	p.Bounds = Bounds{StopTimeout: worldStop, RemoteCost: 1, Retention: time.Hour, InheritedLease: worldInherit, MaxLease: worldLease + worldLease/25}
	p.SetQueues([]work.Queue{{ID: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2, Objective: time.Minute}})
	fence := w.fence
	p.Events = func(e Event) {
		w.note("owner %d: %s %v %d %s %s", fence, e.Kind, e.Task, e.Attempt, e.Target, e.Detail)
	}
	w.owner = &worldOwner{
		pool: p, fence: w.fence, lapse: map[work.TargetID]time.Time{}, heard: map[work.TargetID]bool{},
		born: map[work.TargetID]int64{}, lapsed: map[work.TargetID]bool{}, listing: map[work.TargetID]bool{}, revoked: map[runKey]bool{},
	}
	ids := make([]string, 0, len(w.store))
	for id := range w.store {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	for _, id := range ids {
		r, err := DecodeRecord(w.store[work.JobID(id)])
		if err != nil {
			w.t.Fatalf("record of %s: %v", id, err)
		}
		p.Restore(w.now, r)
	}
	for _, t := range w.targets {
		w.owner.lapse[t.id] = w.now.Add(worldInherit)
		p.Register(w.now, w.registration(t))
	}
}

func (w *world) registration(t *worldTarget) work.Registration {
	return work.Registration{ID: t.id, Pool: "pool", Machine: t.machine, Capacity: t.room, Incarnation: t.born, Rack: "r"}
}

func (w *world) commit(records []*Record) {
	for _, r := range records {
		b, err := r.Encode()
		if err != nil {
			w.t.Fatalf("encode: %v", err)
		}
		w.store[r.ID] = b
	}
}

func (w *world) submit(id work.JobID, spec *work.Spec) {
	if w.owner.pool.Known(id) {
		return
	}
	a := w.owner.pool.Submit(w.now, id, work.Queue{ID: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2, Objective: time.Minute}, spec)
	if !a.Refused {
		w.accepted[id] = spec
	}
}

// step advances the world.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	for _, t := range w.targets {
		w.advance(t)
	}
	owners := append(slices.Clone(w.former), w.owner)
	for _, o := range owners {
		if o.until.IsZero() || w.now.Before(o.until) {
			w.act(o)
		}
	}
	w.check()
}

// advance lets a target work: late orders arrive, tasks end, the lease passes.
func (w *world) advance(t *worldTarget) {
	if !t.up {
		return
	}
	late := t.late
	t.late = nil
	for _, x := range late {
		// An order that reaches a new life before its owner does can't be
		// helped by anyone: that life knows no fence and no stop yet.
		if w.rand(20) == 0 && w.arrives(t, x) {
			x.apply()
		} else if w.now.Before(x.until) {
			t.late = append(t.late, x)
		}
	}
	for _, key := range t.keys() {
		r := t.runs[key]
		switch {
		case !r.stops.IsZero() && !w.now.Before(r.stops):
			t.end(key, work.EndStopped)
		case w.now.After(t.lease):
			t.end(key, work.EndLeaseExpired)
		case !r.lasting && !w.now.Before(r.ends):
			if r.fails {
				t.end(key, work.EndFailed)
			} else {
				t.end(key, work.EndDone)
			}
		}
	}
}

// arrives reports whether a late order may reach the present life of a target. Two traces of an owner that lags showed a
// task beside its late start in a next life, which began before the owner's stop had left: nobody can help that either, so
// that late orders are tried in a next life only where the owner doesn't lag.
func (w *world) arrives(t *worldTarget, x lateOrder) bool {
	if w.lag > 0 {
		return x.born == t.born
	}
	return t.fence > 0 || t.born == 1
}

func (t *worldTarget) keys() []runKey {
	var out []runKey
	for k := range t.runs {
		out = append(out, k)
	}
	slices.SortFunc(out, runKey.compare)
	return out
}

func (t *worldTarget) end(key runKey, kind work.EndKind) {
	delete(t.runs, key)
	t.refused[key.task] = max(t.refused[key.task], key.attempt)
	t.ended = append(t.ended, work.RunEnd{Seq: t.nextEnd, Task: key.task, Attempt: key.attempt, Kind: kind})
	t.nextEnd++
}

// act is one round of an owner: lists, planning, a write, orders.
func (w *world) act(o *worldOwner) {
	isOwner := o == w.owner
	w.catchUp(o)
	for _, t := range w.targets {
		if !o.listing[t.id] {
			w.hold(o, t)
		}
	}
	p := o.pool
	p.Tick(w.now)
	p.Plan(w.now)
	if isOwner {
		w.write(o)
	}
	for _, x := range p.TakeCommands() {
		switch x := x.(type) {
		case StartCommand:
			w.later(o, func() { w.start(o, x) })
		case StopCommand:
			o.revoked[runKey{x.Task, x.Attempt}] = true
			w.later(o, func() { w.stopOrder(o, x) })
		}
	}
}

// later does something of an owner at once, or after a while if it lags.
func (w *world) later(o *worldOwner, do func()) {
	if w.lag == 0 {
		do()
		return
	}
	o.waiting = append(o.waiting, laggedEvent{w.now.Add(time.Duration(w.rand(w.lag)) * worldStep), do})
}

// catchUp does what has waited for long enough; events overtake each other.
func (w *world) catchUp(o *worldOwner) {
	waiting := o.waiting
	o.waiting = nil
	for _, x := range waiting {
		if w.now.Before(x.due) {
			o.waiting = append(o.waiting, x)
		} else {
			x.do()
		}
	}
}

// write has one write in flight at a time; it takes a step, or longer while the store is away.
func (w *world) write(o *worldOwner) {
	if len(o.pending) == 0 {
		if records, flush := o.pool.BeginWrite(); len(records) > 0 {
			o.pending = append(o.pending, &worldWrite{records, flush, w.now.Add(worldStep)})
		}
		return
	}
	if x := o.pending[0]; w.storeUp && !w.now.Before(x.due) {
		w.commit(x.records)
		o.pending = nil
		o.pool.MarkDurable(w.now, x.flush)
	}
}

// hold lists a target and extends its lease, as an agent does.
func (w *world) hold(o *worldOwner, t *worldTarget) {
	fail := func() {
		o.heard[t.id] = false
		o.pool.MarkUnreachable(t.id)
		if w.now.After(o.lapse[t.id]) && !o.lapsed[t.id] {
			o.lapsed[t.id] = true
			o.pool.MarkLeaseExpired(w.now, t.id)
		}
	}
	extend := o.heard[t.id]
	if extend {
		o.lapse[t.id] = w.now.Add(worldLease + worldStep)
		o.lapsed[t.id] = false
	}
	if !t.up || t.cut || o.fence < t.fence {
		fail()
		return
	}
	t.fence = o.fence
	if extend {
		t.lease = w.now.Add(worldLease)
	}
	life, acked := o.pool.AckedSeq(t.id)
	if life == t.born && o.born[t.id] == t.born {
		for len(t.ended) > 0 && t.ended[0].Seq <= acked {
			if t.ended[0].Kind == work.EndDone {
				w.done[t.ended[0].Task] = true
			}
			t.ended = t.ended[1:]
		}
	}
	if w.rand(100) < w.lossy {
		fail()
		return
	}
	if o.born[t.id] != t.born {
		o.lapse[t.id] = w.now.Add(worldLease + worldStep)
	}
	o.born[t.id] = t.born
	o.heard[t.id] = true
	l := work.RunReport{Target: t.id, Incarnation: t.born, RequestedAt: w.now, Ended: slices.Clone(t.ended)}
	for _, key := range t.keys() {
		l.Running = append(l.Running, work.RunStatus{Task: key.task, Attempt: key.attempt, Percent: 50})
	}
	o.listing[t.id] = true
	w.later(o, func() {
		o.listing[t.id] = false
		o.pool.HandleList(w.now, l)
	})
}

// start delivers a start order, now or seconds later, with or without an answer.
func (w *world) start(o *worldOwner, x StartCommand) {
	t := w.target(x.Target)
	if o.born[t.id] != x.Incarnation || o.revoked[runKey{x.Task, x.Attempt}] {
		o.pool.HandleStartResult(w.now, t.id, x.Task, x.Attempt, StartWrongTarget) // not sent
		return
	}
	deadline := w.now.Add(worldLease)
	o.lapse[t.id] = deadline.Add(worldStep)
	o.lapsed[t.id] = false
	born := t.born
	apply := func() StartResult { return w.apply(o, t, born, x, deadline) }
	w.deliver(t, func() { apply() }, func(answered bool) {
		result := StartNoAnswer
		if answered {
			result = apply()
		}
		w.later(o, func() { o.pool.HandleStartResult(w.now, t.id, x.Task, x.Attempt, result) })
	})
}

// deliver decides what becomes of an order: lost, late, carried out without an answer, or answered.
func (w *world) deliver(t *worldTarget, apply func(), answer func(bool)) {
	switch {
	case !t.up || t.cut:
		answer(false)
	case w.rand(100) < w.delays:
		t.late = append(t.late, lateOrder{apply, w.now.Add(12 * time.Second), t.born})
		answer(false)
	case w.rand(100) < w.lossy:
		apply()
		answer(false)
	default:
		answer(true)
	}
}

// apply is the target's side of a start order, and checks what must hold when a task starts.
func (w *world) apply(o *worldOwner, t *worldTarget, born int64, x StartCommand, deadline time.Time) StartResult {
	key := runKey{x.Task, x.Attempt}
	switch {
	case o.fence < t.fence:
		return StartFenced
	case t.runs[key] != nil:
		return StartOK
	case x.Attempt <= t.refused[x.Task]:
		return StartStaleAttempt
	case born == t.born && w.now.After(deadline): // another life's clock starts anew
		return StartDeadlinePassed
	}
	t.fence = o.fence
	t.lease = maxTime(t.lease, deadline)
	if born != t.born {
		t.lease = w.now.Add(worldLease)
	}
	w.checkStart(t, x)
	spec := w.accepted[x.Task.Job]
	if spec == nil {
		return StartInvalid
	}
	st := &spec.Steps[x.Task.Step]
	fails := w.failsOnce[x.Task] > 0
	if fails {
		w.failsOnce[x.Task]--
	}
	w.note("%s (life %d) starts %v %d, order of %d", t.id, t.born, key.task, key.attempt, o.fence)
	t.runs[key] = &worldRun{ends: w.now.Add(st.Estimate), fails: fails, lasting: st.Service, need: held(st)}
	return StartOK
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) stopOrder(o *worldOwner, x StopCommand) {
	t := w.target(x.Target)
	apply := func() {
		if o.fence < t.fence {
			return
		}
		t.fence = o.fence
		t.refused[x.Task] = max(t.refused[x.Task], x.Attempt)
		if r := t.runs[runKey{x.Task, x.Attempt}]; r != nil && r.stops.IsZero() {
			r.stops = w.now.Add(worldStop - worldStep)
		}
	}
	w.deliver(t, apply, func(answered bool) {
		if answered {
			apply()
		}
		acked := answered && o.fence >= t.fence
		w.later(o, func() { o.pool.HandleStopResult(w.now, t.id, x.Task, x.Attempt, acked) })
	})
}

func (w *world) target(id work.TargetID) *worldTarget {
	for _, t := range w.targets {
		if t.id == id {
			return t
		}
	}
	w.t.Fatalf("no target %q", id)
	return nil
}

// checkStart verifies what must hold at the start of a task.
func (w *world) checkStart(t *worldTarget, x StartCommand) {
	id := x.Task
	spec := w.accepted[id.Job]
	if spec == nil || w.withdrawn[id.Job] {
		w.fail("%v starts, and its job was not accepted", id)
	}
	if w.done[id] {
		w.fail("%v starts as %d on %s (life %d) after its end was acknowledged", id, x.Attempt, t.id, t.born)
	}
	if at, ok := w.canceled[id.Job]; ok && w.now.Sub(at) > worldLease+2*time.Second {
		w.fail("%v starts %v after its job was canceled", id, w.now.Sub(at))
	}
	used := held(&spec.Steps[id.Step])
	for _, r := range t.runs {
		used = used.Plus(r.need)
	}
	if !used.Fits(t.room) {
		w.fail("%v starts on %s and brings it to %+v, room is %+v", id, t.id, used, t.room)
	}
	for _, other := range w.targets {
		if !other.up {
			continue
		}
		for key := range other.runs {
			if key.task == id && (other != t || key.attempt != x.Attempt) {
				w.fail("%v starts as %d on %s while %d runs on %s", id, x.Attempt, t.id, key.attempt, other.id)
			}
		}
	}
}

// check verifies what must hold at any time.
func (w *world) check() {
	for id, b := range w.store {
		if w.withdrawn[id] && len(b) > 0 {
			w.fail("job %s was withdrawn and is stored", id)
		}
	}
}

func (w *world) fault(n int) {
	t := w.targets[w.rand(len(w.targets))]
	w.note("fault %d, target %s", n, t.id)
	switch n {
	case 0: // the target crashes and comes back under its id
		if t.up {
			t.up, t.runs, t.ended = false, map[runKey]*worldRun{}, nil
		}
	case 1:
		if !t.up {
			t.up, t.born, t.fence, t.nextEnd = true, t.born+1, 0, 1
			t.refused, t.lease = map[work.TaskID]work.Attempt{}, time.Time{}
			w.owner.pool.Register(w.now, w.registration(t))
		}
	case 2:
		t.cut = !t.cut
	case 3:
		w.takeOver()
	case 4:
		w.lossy = w.rand(30)
	case 5:
		w.delays = w.rand(30)
	case 6:
		w.storeUp = !w.storeUp
	case 7:
		for _, id := range w.jobIDs() {
			if w.rand(4) == 0 {
				if _, known := w.owner.pool.Cancel(w.now, id); known {
					if _, ok := w.canceled[id]; !ok {
						w.canceled[id] = w.now.Add(time.Hour) // until it is known to be durable
					}
				}
			}
		}
	}
}

func (w *world) jobIDs() []work.JobID {
	var ids []work.JobID
	for id := range w.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// calm ends all faults and reports whether everything accepted is completed or over within the time.
func (w *world) calm(d time.Duration) {
	w.lossy, w.delays, w.storeUp = 0, 0, true
	for _, t := range w.targets {
		t.cut = false
		if !t.up {
			t.up, t.born, t.fence, t.nextEnd, t.lease = true, t.born+1, 0, 1, time.Time{}
			t.refused = map[work.TaskID]work.Attempt{}
			w.owner.pool.Register(w.now, w.registration(t))
		}
	}
	for range d / worldStep {
		w.step()
	}
	for _, id := range w.jobIDs() {
		if _, stored := w.store[id]; !stored {
			continue // its owner was lost before the client was answered
		}
		state, known := w.owner.pool.State(id, w.owner.pool.durable)
		if !known {
			w.t.Fatalf("job %s is stored and not known", id)
		}
		if w.accepted[id].HasServiceStep() {
			w.checkAtWork(id, state)
		} else if state != work.Completed && state != work.Failed && state != work.Canceled {
			w.t.Fatalf("job %s is %s after %v without faults", id, state, d)
		}
	}
}

func (w *world) checkAtWork(id work.JobID, state work.JobState) {
	if state == work.Canceled {
		return
	}
	n := 0
	for _, t := range w.targets {
		for key := range t.runs {
			if key.task.Job == id {
				n++
			}
		}
	}
	if want := w.accepted[id].Steps[0].Count; n != want {
		w.t.Fatalf("job %s has %d tasks at work, want %d", id, n, want)
	}
}

// TestRandomFaults plays random schedules of crashes, cuts, takeovers with a
// former owner that still acts, lost and late orders, outages of the store and
// cancellations. It guards against two runs of one task, overfull targets,
// starts out of turn, and accepted jobs that are lost.
func TestRandomFaults(t *testing.T) { randomFaults(t, 0) }

// The same with an owner that is overloaded: its orders leave late, and answers and lists wait for up to a second until it
// takes them in (LIMIT, umurimo-hatch-large trouble-2 and scale-1, while owners were overloaded).
func TestRandomFaultsOfALaggingOwner(t *testing.T) { randomFaults(t, 10) }

func randomFaults(t *testing.T, lag int) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		w.lag = lag
		for i := range 12 {
			id := work.JobID(fmt.Sprintf("%016x", i+1))
			spec := &work.Spec{Steps: []work.Step{
				{Count: 3, Need: work.Resources{CPU: 900, Memory: 500}, Estimate: 700 * time.Millisecond},
				{Count: 2, Need: work.Resources{CPU: 1800, Memory: 900}, Estimate: 1200 * time.Millisecond, DependsOn: []int{0}},
			}}
			if i%5 == 4 {
				spec = &work.Spec{Steps: []work.Step{{Count: 3, Need: work.Resources{CPU: 500, Memory: 300}, Service: true, MaxPerTarget: 1, MaxUnavailable: 1}}}
			}
			w.failsOnce[work.TaskID{Job: id, Index: 1}] = w.rand(3)
			w.submit(id, spec)
			for range rapid.IntRange(1, 15).Draw(t, "steps") {
				w.step()
			}
			w.fault(rapid.IntRange(0, 9).Draw(t, "fault"))
		}
		w.calm(90 * time.Second)
	})
}
