package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Timing of the requests to one target.
const (
	// busyWait is how long a target with tasks may hold back its list; it bounds how old the knowledge of progress is.
	busyWait = time.Second
	// idleWait is the longest wait that targets accept.
	idleWait = 2 * time.Second
	// holdMargin is added to the wait for the way there and back, and for a slow target.
	holdMargin = 700 * time.Millisecond
	// probeTimeout bounds requests to a target that did not answer before.
	probeTimeout = 500 * time.Millisecond
	// probePause is the time between two of them.
	probePause = 200 * time.Millisecond
	// orderTimeout bounds a start, stop or pace: targets answer in some milliseconds, and the
	// list, which is read next, shows an order that did arrive.
	orderTimeout = 300 * time.Millisecond
	// ackWait is how long the next request waits for ends to become durable.
	ackWait = 400 * time.Millisecond
	// refreshMargin is added to the time that a stop takes at most.
	refreshMargin = 20 * time.Millisecond
	// lagLimit is by how much a request may outlast its timeout; beyond it this process is overloaded or was
	// paused, and an answer may wait unread.
	lagLimit = 100 * time.Millisecond
	// ordersAtOnce is the number of orders in flight to one target.
	ordersAtOnce = 4
)

// Handler receives what an agent learns. Its methods are called from the agent's goroutines.
type Handler interface {
	// RunsReported takes a list and returns up to which end the target may forget, and whether ends wait to become durable.
	RunsReported(l work.RunReport) (acked int64, pending bool)
	// Unreachable notes that the target did not answer.
	Unreachable(id work.TargetID)
	// LeaseExpired notes that whatever the target ran has surely ended.
	LeaseExpired(id work.TargetID)
	// StartAnswered, StopAnswered and PaceAnswered take the answers to orders.
	StartAnswered(o jobs.StartCommand, result jobs.StartResult)
	StopAnswered(o jobs.StopCommand, acked bool)
	PaceAnswered(o jobs.PaceCommand, acked bool)
	// Fenced notes that the target has seen a later owner.
	Fenced()
	// Permit allows orders as long as the ownership counts as confirmed.
	Permit() permit.Permit
}

// Agent serves one target. Set its exported fields before Run.
type Agent struct {
	ID     work.TargetID
	Client Client
	Fence  work.Fence
	Lease  time.Duration // given with each request
	// StopTimeout is how long a stopped run takes at most to end.
	StopTimeout time.Duration
	Handler     Handler
	Clock       clock.Clock
	Logger      hclog.Logger
	// FormerLeasesEnd is when the leases that a former owner gave have surely passed.
	FormerLeasesEnd time.Time

	mu         sync.Mutex
	lease      lease
	born       int64
	lapsed     bool // LeaseExpired was reported and nothing was given since
	lagged     bool // the last request failed late, so that its failure says nothing of the target
	acked      int64
	ackWake    chan struct{}
	slots      chan struct{}
	ctx        context.Context
	refreshDue time.Time
	queued     map[runKey]*queuedStart // starts that have not left yet
}

type runKey struct {
	task    work.TaskID
	attempt work.Attempt
}

// queuedStart is a start that waits for a slot.
type queuedStart struct{ revoked bool }

// New returns an agent for the target; it works until ctx is done.
func New(ctx context.Context, id work.TargetID) *Agent {
	return &Agent{ctx: ctx, ID: id, ackWake: make(chan struct{}, 1), slots: make(chan struct{}, ordersAtOnce), queued: map[runKey]*queuedStart{}}
}

// Acknowledge allows the target to forget its ends up to seq of its life born. Ends are numbered anew in each life.
func (a *Agent) Acknowledge(born, seq int64) {
	a.mu.Lock()
	if born != a.born {
		a.mu.Unlock()
		return
	}
	changed := seq != a.acked
	a.acked = seq
	a.mu.Unlock()
	if changed {
		select {
		case a.ackWake <- struct{}{}:
		default:
		}
	}
}

// Run keeps the target's lease and list.
func (a *Agent) Run() {
	defer a.Client.Close()
	panics.RestartOnPanic(a.ctx, a.Clock, a.Logger, "agent of a target", a.run)
}

func (a *Agent) run() {
	ctx := a.ctx
	answered, busy := false, true
	for ctx.Err() == nil {
		if !a.Handler.Permit().Valid() {
			a.checkLapse()
			_ = clock.Sleep(ctx, a.Clock, probePause) // the loop checks the context
			continue
		}
		ok, nowBusy, pending := a.hold(ctx, answered, busy)
		if ctx.Err() != nil {
			return
		}
		if !ok {
			if answered {
				a.Logger.Info("target lost", "target", a.ID)
			}
			again := answered // a single answer may be lost: ask once more at once
			answered = false
			a.Handler.Unreachable(a.ID)
			a.checkLapse()
			if !again {
				_ = clock.Sleep(ctx, a.Clock, probePause) // the loop checks the context
			}
			continue
		}
		if !answered {
			a.Logger.Info("target heard", "target", a.ID, "born", a.born)
		}
		answered, busy = true, nowBusy
		if pending {
			a.awaitAck(ctx)
		}
	}
}

// hold sends one request. It extends the lease only if the last one was answered.
func (a *Agent) hold(ctx context.Context, answered, busy bool) (ok, nowBusy, pending bool) {
	call := HoldRequest{Fence: a.Fence}
	timeout := probeTimeout
	now := a.Clock.Now()
	a.mu.Lock()
	call.Acked = a.acked
	if answered && a.lease.known() {
		call.Deadline = a.lease.extend(now, a.Lease)
		a.lapsed = false
		call.Wait = idleWait
		if busy {
			call.Wait = busyWait
		}
		timeout = call.Wait + holdMargin
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(permit.With(ctx, a.Handler.Permit()), timeout)
	defer cancel()
	answer, err := a.Client.Hold(ctx, call)
	if errors.Is(err, ErrFenced) {
		a.Handler.Fenced()
	}
	if err != nil {
		a.noteLag(a.Clock.Now().Sub(now) - timeout)
		a.Logger.Debug("list request failed", "target", a.ID, "error", err)
		return false, false, false
	}
	a.mu.Lock()
	if a.born != answer.Report.Incarnation {
		a.lease.reset()
		a.acked = 0
	}
	a.lease.heard(answer.Clock, a.Clock.Now())
	if a.born != answer.Report.Incarnation {
		a.born = answer.Report.Incarnation
		a.lease.inherit(a.Lease)
	}
	a.mu.Unlock()
	answer.Report.RequestedAt = now
	acked, pending := a.Handler.RunsReported(answer.Report)
	a.mu.Lock()
	a.acked = max(a.acked, acked)
	a.mu.Unlock()
	return true, len(answer.Report.Running) > 0, pending
}

// awaitAck waits until ends may be acknowledged; until then the target would answer at once.
func (a *Agent) awaitAck(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, ackWait)
	defer cancel()
	select {
	case <-a.ackWake:
	case <-wait.Done():
	}
}

// noteLag notes by how much a failed request outlasted its timeout.
func (a *Agent) noteLag(by time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lagged := by > lagLimit; lagged != a.lagged {
		a.lagged = lagged
		a.Logger.Info("lag of this process has changed: while it lags, leases don't lapse", "target", a.ID, "lags", lagged, "by", by)
	}
}

// checkLapse reports once that the lease of a silent target has passed. A
// process that lags can't tell silence from an answer that it hasn't read, which may list an end.
func (a *Agent) checkLapse() {
	a.mu.Lock()
	until := a.lease.lapsed()
	if a.FormerLeasesEnd.After(until) && a.born == 0 {
		until = a.FormerLeasesEnd
	}
	due := !a.lapsed && !a.lagged && a.Clock.Now().After(until)
	a.lapsed = a.lapsed || due
	a.mu.Unlock()
	if due {
		a.Logger.Info("lease has passed", "target", a.ID)
		a.Handler.LeaseExpired(a.ID)
	}
}

// refreshAfter reads the list once more after d, besides the long poll, since
// what becomes of an order is to be known soon.
func (a *Agent) refreshAfter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := a.Clock.Now().Add(d)
	if a.refreshDue.After(a.Clock.Now()) && !a.refreshDue.Before(due) && !a.refreshDue.After(due.Add(refreshMargin)) {
		return // one is about to be read
	}
	a.refreshDue = due
	a.Clock.AfterFunc(d, func() { panics.Catch(a.Logger, "list of a target", a.refresh) })
}

func (a *Agent) refresh() {
	allowed := a.Handler.Permit()
	if a.ctx.Err() != nil || !allowed.Valid() {
		return
	}
	ctx, cancel := context.WithTimeout(permit.With(a.ctx, allowed), probeTimeout)
	defer cancel()
	sent := a.Clock.Now()
	a.mu.Lock()
	call := HoldRequest{Fence: a.Fence, Acked: a.acked}
	born := a.born
	a.mu.Unlock()
	answer, err := a.Client.Hold(ctx, call)
	if err != nil || answer.Report.Incarnation != born {
		return // the long poll will tell
	}
	answer.Report.RequestedAt = sent
	a.Handler.RunsReported(answer.Report)
}

// Send carries out an order in the background. A stop revokes a start of the same run that has not left yet.
func (a *Agent) Send(ctx context.Context, o jobs.Command) {
	a.mu.Lock()
	switch o := o.(type) {
	case jobs.StartCommand:
		a.queued[runKey{o.Task, o.Attempt}] = &queuedStart{}
	case jobs.StopCommand:
		if start := a.queued[runKey{o.Task, o.Attempt}]; start != nil {
			start.revoked = true
		}
	}
	a.mu.Unlock()
	go func() {
		select {
		case a.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-a.slots }()
		if panics.Catch(a.Logger, "order to a target", func() { a.send(ctx, o) }) {
			return
		}
		if start, ok := o.(jobs.StartCommand); ok {
			a.Handler.StartAnswered(start, jobs.StartNoResponse)
		}
	}()
}

func (a *Agent) send(ctx context.Context, o jobs.Command) {
	allowed := a.Handler.Permit()
	ctx, cancel := context.WithTimeout(permit.With(ctx, allowed), orderTimeout)
	defer cancel()
	switch o := o.(type) {
	case jobs.StartCommand:
		key := runKey{o.Task, o.Attempt}
		a.mu.Lock()
		start := a.queued[key]
		delete(a.queued, key)
		if !allowed.Valid() {
			a.mu.Unlock()
			a.Handler.StartAnswered(o, jobs.StartDeadlinePassed) // not sent
			return
		}
		if a.born != o.Incarnation || start != nil && start.revoked { // the target has restarted, or the run was stopped, while the order waited here
			a.mu.Unlock()
			a.Handler.StartAnswered(o, jobs.StartWrongTarget) // not sent
			return
		}
		deadline := a.lease.extend(a.Clock.Now(), a.Lease)
		a.lapsed = false
		a.mu.Unlock()
		result, at := a.Client.Start(ctx, StartRequest{Order: o, Fence: a.Fence, Deadline: deadline})
		a.mu.Lock()
		a.lease.heard(at, a.Clock.Now())
		a.mu.Unlock()
		if result == jobs.StartFenced {
			a.Handler.Fenced()
		}
		a.Handler.StartAnswered(o, result)
		if result == jobs.StartNoResponse {
			a.refreshAfter(0)
		}
	case jobs.StopCommand:
		err := a.Client.Stop(ctx, o, a.Fence)
		if errors.Is(err, ErrFenced) {
			a.Handler.Fenced()
		}
		if err != nil {
			a.Logger.Debug("stop failed", "target", a.ID, "task", o.Task, "error", err)
		}
		a.Handler.StopAnswered(o, err == nil)
		if err == nil {
			a.refreshAfter(a.StopTimeout + refreshMargin)
		}
	case jobs.PaceCommand:
		err := a.Client.Pace(ctx, o, a.Fence)
		if err != nil {
			a.Logger.Debug("pace failed", "target", a.ID, "task", o.Task, "error", err)
		}
		a.Handler.PaceAnswered(o, err == nil)
	}
}
