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

// Timing and number of the requests to one target.
const (
	// busyWait is how long a target with running tasks may delay its run report; it bounds the age of the known progress.
	busyWait = time.Second
	// idleWait is the same for a target without tasks; targets accept no longer one.
	idleWait = 2 * time.Second
	// holdMargin is added to the wait, for the round trip and a slow target.
	holdMargin = 700 * time.Millisecond
	// probeTimeout bounds a request to a target that did not answer the previous one.
	probeTimeout = 500 * time.Millisecond
	// probePause is the time between two such requests.
	probePause = 200 * time.Millisecond
	// commandTimeout bounds a start, stop or pace command. Targets answer within milliseconds, and
	// the next run report shows whether a command without a response arrived.
	commandTimeout = 300 * time.Millisecond
	// ackWait is how long the next request waits until reported ends of runs are durable.
	ackWait = 400 * time.Millisecond
	// refreshMargin is added to the longest time that a stop takes.
	refreshMargin = 20 * time.Millisecond
	// maxLag is by how much a request may exceed its timeout. If it takes longer, this process is overloaded or
	// was suspended, and the response may have arrived without being read.
	maxLag = 100 * time.Millisecond
	// maxCommandsInFlight is the number of commands that are sent to one target at the same time.
	maxCommandsInFlight = 4
)

// Handler receives what an agent learns about its target. Its methods are called from the agent's goroutines.
type Handler interface {
	// RunsReported processes a run report. It returns the number of the last end that the target may forget, and
	// whether reported ends are not durable yet.
	RunsReported(report work.RunReport) (acked int64, pending bool)
	// Unreachable is called when the target did not answer.
	Unreachable(id work.TargetID)
	// LeaseExpired is called when all runs on the target must have ended because its lease has expired.
	LeaseExpired(id work.TargetID)
	// StartAnswered, StopAnswered and PaceAnswered receive the results of commands.
	StartAnswered(cmd jobs.StartCommand, result jobs.StartResult)
	StopAnswered(cmd jobs.StopCommand, acked bool)
	PaceAnswered(cmd jobs.PaceCommand, acked bool)
	// Fenced is called when the target has seen a later owner of its pool.
	Fenced()
	// Permit returns a permit that is valid as long as the ownership of the pool counts as confirmed.
	Permit() permit.Permit
}

// Agent controls one target for the owner of its pool. Set its exported fields before Run.
type Agent struct {
	ID     work.TargetID
	Client Client
	Fence  work.Fence
	Lease  time.Duration // length of the lease that a request gives
	// StopTimeout is the longest time that a run takes to end after a stop command.
	StopTimeout time.Duration
	Handler     Handler
	Clock       clock.Clock
	Logger      hclog.Logger
	// PreviousLeasesEnd is the time by which leases given by a previous owner have expired.
	PreviousLeasesEnd time.Time

	mu             sync.Mutex
	lease          lease
	incarnation    int64         // of the target, from its last run report; 0 before the first
	ended          int64         // incarnation that is known to have ended, although no report of a later one has been handled
	expiryReported bool          // LeaseExpired was called, and no lease was given since
	lagging        bool          // the last failed request exceeded its timeout by more than maxLag, so it says nothing about the target
	acked          int64         // the target may forget the ends of runs up to this number
	ackChanged     chan struct{} // receives when acked has changed
	withheld       bool          // requests may not extend the lease
	released       chan struct{} // receives when withheld becomes false
	queue          []queuedCommand
	senders        int // goroutines that send commands of the queue, at most maxCommandsInFlight
	ctx            context.Context
	endHold        context.CancelFunc      // ends the long poll in progress; nil before the first
	nextRefresh    time.Time               // when the last scheduled refresh runs
	queuedStarts   map[runKey]*queuedStart // starts that have not been sent yet
}

// runKey identifies a run on the target.
type runKey struct {
	task    work.TaskID
	attempt work.Attempt
}

// queuedStart is a start command that waits to be sent.
type queuedStart struct{ canceled bool }

// queuedCommand is a command that waits until another one has been answered.
type queuedCommand struct {
	ctx context.Context //nolint:containedctx // it ends when the command is no longer to be sent
	cmd jobs.Command
}

// New returns an agent for the target. The agent works until ctx is done.
func New(ctx context.Context, id work.TargetID) *Agent {
	return &Agent{ctx: ctx, ID: id, ackChanged: make(chan struct{}, 1), released: make(chan struct{}, 1), queuedStarts: map[runKey]*queuedStart{}}
}

// Acknowledge allows the target to forget the ends of runs up to seq. It has no effect if the target now runs as another
// incarnation, which numbers its ends anew.
func (a *Agent) Acknowledge(incarnation, seq int64) {
	a.mu.Lock()
	if incarnation != a.incarnation {
		a.mu.Unlock()
		return
	}
	changed := seq != a.acked
	a.acked = seq
	a.mu.Unlock()
	if changed {
		select {
		case a.ackChanged <- struct{}{}:
		default:
		}
	}
}

// WithholdExtensions keeps requests from extending the target's lease until AllowExtensions is called.
func (a *Agent) WithholdExtensions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withheld = true
}

// AllowExtensions lets requests extend the target's lease again.
func (a *Agent) AllowExtensions() {
	a.mu.Lock()
	changed := a.withheld
	a.withheld = false
	a.mu.Unlock()
	if changed {
		select {
		case a.released <- struct{}{}:
		default:
		}
	}
}

// Run extends the target's lease and reads its run reports until the context of New is done.
func (a *Agent) Run() {
	defer a.Client.Close()
	panics.RestartOnPanic(a.ctx, a.Clock, a.Logger, "agent of a target", a.run)
}

func (a *Agent) run() {
	ctx := a.ctx
	answered, busy := false, true
	for ctx.Err() == nil {
		if !a.Handler.Permit().Valid() {
			a.checkExpiry()
			_ = clock.Sleep(ctx, a.Clock, probePause) // the loop checks the context
			continue
		}
		ok, nowBusy, pending := a.hold(ctx, answered, busy)
		if ctx.Err() != nil {
			return
		}
		if !ok {
			if answered {
				a.Logger.Info("target does not answer", "target", a.ID)
			}
			retryNow := answered // a single response may be lost
			answered = false
			a.Handler.Unreachable(a.ID)
			a.checkExpiry()
			if !retryNow {
				_ = clock.Sleep(ctx, a.Clock, probePause) // the loop checks the context
			}
			continue
		}
		if !answered {
			a.Logger.Info("target answers", "target", a.ID, "born", a.incarnation)
		}
		answered, busy = true, nowBusy
		if pending {
			a.awaitAck(ctx)
		}
		a.awaitRelease(ctx)
	}
}

// hold sends one long poll. It extends the lease and acknowledges ends only if the previous request was answered: otherwise
// the target may have restarted, and the number of the last end may be that of one that has not been read. It does neither,
// and doesn't wait for the end of a run, if extensions are withheld.
func (a *Agent) hold(ctx context.Context, answered, busy bool) (ok, nowBusy, pending bool) {
	call := HoldRequest{Fence: a.Fence}
	timeout := probeTimeout
	allowed := a.Handler.Permit()
	now := a.Clock.Now()
	a.mu.Lock()
	if answered && !a.withheld && a.lease.clockKnown() && a.incarnation != a.ended {
		call.Acked = a.acked
		call.Deadline = a.lease.extend(now, a.Lease)
		a.expiryReported = false
		call.Wait = idleWait
		if busy {
			call.Wait = busyWait
		}
		timeout = call.Wait + holdMargin
	}
	ctx, cancel := context.WithTimeout(permit.With(ctx, allowed), timeout)
	defer cancel()
	a.endHold = cancel
	a.mu.Unlock()
	response, err := a.Client.Hold(ctx, call)
	if errors.Is(err, ErrFenced) {
		a.Handler.Fenced()
	}
	if err != nil {
		a.updateLag(a.Clock.Now().Sub(now) - timeout)
		a.Logger.Debug("run report request failed", "target", a.ID, "error", err)
		return false, false, false
	}
	a.mu.Lock()
	if a.incarnation != response.Report.Incarnation {
		a.lease.reset()
		a.acked = 0
	}
	a.lease.readClock(response.Clock, a.Clock.Now())
	if a.incarnation != response.Report.Incarnation {
		a.incarnation = response.Report.Incarnation
		a.lease.assumeEarlier(a.Lease)
	}
	a.mu.Unlock()
	response.Report.RequestedAt = now
	acked, pending := a.Handler.RunsReported(response.Report)
	a.mu.Lock()
	a.acked = max(a.acked, acked)
	a.mu.Unlock()
	return true, len(response.Report.Running) > 0, pending
}

// awaitAck waits until more ends may be acknowledged. Until then the target would answer a long poll at once.
func (a *Agent) awaitAck(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, ackWait)
	defer cancel()
	select {
	case <-a.ackChanged:
	case <-wait.Done():
	}
}

// awaitRelease waits until the lease may be extended, but not for longer than probePause: the target is asked meanwhile.
func (a *Agent) awaitRelease(ctx context.Context) {
	a.mu.Lock()
	withheld := a.withheld
	a.mu.Unlock()
	if !withheld {
		return
	}
	a.Logger.Info("lease is not extended yet: a stored end of it is being cleared", "target", a.ID)
	wait, cancel := context.WithTimeout(ctx, probePause)
	defer cancel()
	select {
	case <-a.released:
	case <-wait.Done():
	}
}

// updateLag records whether a failed request exceeded its timeout by more than maxLag.
func (a *Agent) updateLag(excess time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lagging := excess > maxLag; lagging != a.lagging {
		a.lagging = lagging
		a.Logger.Info("lag of this process has changed; leases are not treated as expired while it lags", "target", a.ID, "lags", lagging, "by", excess)
	}
}

// checkExpiry calls LeaseExpired once when the lease of an unreachable target has expired. It does not while this process
// lags: the target may have responded, with ends in its report, without the response being read.
func (a *Agent) checkExpiry() {
	a.mu.Lock()
	until := a.lease.expiresBy()
	if a.PreviousLeasesEnd.After(until) && a.incarnation == 0 {
		until = a.PreviousLeasesEnd
	}
	due := !a.expiryReported && !a.lagging && a.Clock.Now().After(until)
	a.expiryReported = a.expiryReported || due
	a.mu.Unlock()
	if due {
		a.Logger.Info("lease has expired", "target", a.ID)
		a.Handler.LeaseExpired(a.ID)
	}
}

// refreshAfter schedules a request for a run report after d, besides the long poll, so that the effect of a command is
// known soon.
func (a *Agent) refreshAfter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := a.Clock.Now().Add(d)
	if a.nextRefresh.After(a.Clock.Now()) && !a.nextRefresh.Before(due) && !a.nextRefresh.After(due.Add(refreshMargin)) {
		return // a request at about this time is scheduled already
	}
	a.nextRefresh = due
	a.Clock.AfterFunc(d, func() { panics.Catch(a.Logger, "list of a target", a.refresh) })
}

// Probe requests a run report soon, besides the long poll, if the target has answered before.
func (a *Agent) Probe() { a.refreshAfter(0) }

// refresh requests a run report without extending the lease or acknowledging ends.
func (a *Agent) refresh() {
	allowed := a.Handler.Permit()
	if a.ctx.Err() != nil || !allowed.Valid() {
		return
	}
	ctx, cancel := context.WithTimeout(permit.With(a.ctx, allowed), probeTimeout)
	defer cancel()
	sent := a.Clock.Now()
	a.mu.Lock()
	incarnation := a.incarnation
	a.mu.Unlock()
	if incarnation == 0 {
		return // the first request is in progress
	}
	response, err := a.Client.Hold(ctx, HoldRequest{Fence: a.Fence})
	if err != nil {
		return // the long poll handles it
	}
	if response.Report.Incarnation != incarnation {
		a.repeatHold(incarnation)
		return
	}
	response.Report.RequestedAt = sent
	a.Handler.RunsReported(response.Report)
}

// repeatHold ends the long poll that was sent to an incarnation of the target which is known to have ended. It may never be
// answered, and the next one, which acknowledges nothing, reads the report of the new incarnation.
func (a *Agent) repeatHold(ended int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == ended && a.endHold != nil {
		a.ended = ended
		a.endHold()
	}
}

// Send executes a command in the background. A stop cancels a start of the same run that has not been sent yet.
func (a *Agent) Send(ctx context.Context, cmd jobs.Command) {
	a.mu.Lock()
	switch cmd := cmd.(type) {
	case jobs.StartCommand:
		a.queuedStarts[runKey{cmd.Task, cmd.Attempt}] = &queuedStart{}
	case jobs.StopCommand:
		if start := a.queuedStarts[runKey{cmd.Task, cmd.Attempt}]; start != nil {
			start.canceled = true
		}
	}
	a.queue = append(a.queue, queuedCommand{ctx, cmd})
	if a.senders < maxCommandsInFlight {
		a.senders++
		go a.sendQueued()
	}
	a.mu.Unlock()
}

// sendQueued sends commands until none is queued. A goroutine for each command would take several times its memory.
func (a *Agent) sendQueued() {
	for {
		a.mu.Lock()
		if len(a.queue) == 0 {
			a.queue = nil
			a.senders--
			a.mu.Unlock()
			return
		}
		next := a.queue[0]
		a.queue = a.queue[1:]
		a.mu.Unlock()
		if next.ctx.Err() != nil || panics.Catch(a.Logger, "order to a target", func() { a.execute(next.ctx, next.cmd) }) {
			continue
		}
		if start, ok := next.cmd.(jobs.StartCommand); ok {
			a.Handler.StartAnswered(start, jobs.StartNoResponse)
		}
	}
}

// execute sends a command, and reports its result.
func (a *Agent) execute(ctx context.Context, cmd jobs.Command) {
	allowed := a.Handler.Permit()
	ctx, cancel := context.WithTimeout(permit.With(ctx, allowed), commandTimeout)
	defer cancel()
	switch cmd := cmd.(type) {
	case jobs.StartCommand:
		key := runKey{cmd.Task, cmd.Attempt}
		a.mu.Lock()
		start := a.queuedStarts[key]
		delete(a.queuedStarts, key)
		if !allowed.Valid() {
			a.mu.Unlock()
			a.Handler.StartAnswered(cmd, jobs.StartDeadlinePassed) // not sent
			return
		}
		// While the command waited, the target may have restarted, or the run was stopped, or the partition is being handed over.
		if a.incarnation != cmd.Incarnation || start != nil && start.canceled || a.withheld {
			a.mu.Unlock()
			a.Handler.StartAnswered(cmd, jobs.StartWrongTarget) // not sent
			return
		}
		deadline := a.lease.extend(a.Clock.Now(), a.Lease)
		a.expiryReported = false
		a.mu.Unlock()
		result, targetClock := a.Client.Start(ctx, StartRequest{Command: cmd, Fence: a.Fence, Deadline: deadline})
		a.mu.Lock()
		a.lease.readClock(targetClock, a.Clock.Now())
		a.mu.Unlock()
		if result == jobs.StartFenced {
			a.Handler.Fenced()
		}
		a.Handler.StartAnswered(cmd, result)
		if result == jobs.StartNoResponse {
			a.refreshAfter(0)
		}
	case jobs.StopCommand:
		err := a.Client.Stop(ctx, cmd, a.Fence)
		if errors.Is(err, ErrFenced) {
			a.Handler.Fenced()
		}
		if err != nil {
			a.Logger.Debug("stop command failed", "target", a.ID, "task", cmd.Task, "error", err)
		}
		a.Handler.StopAnswered(cmd, err == nil)
		if err == nil {
			a.refreshAfter(a.StopTimeout + refreshMargin)
		}
	case jobs.PaceCommand:
		err := a.Client.Pace(ctx, cmd, a.Fence)
		if err != nil {
			a.Logger.Debug("pace command failed", "target", a.ID, "task", cmd.Task, "error", err)
		}
		a.Handler.PaceAnswered(cmd, err == nil)
	}
}
