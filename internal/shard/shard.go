package shard

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/delay"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// JobsTopic is the topic that holds one record for each job.
const JobsTopic plog.Topic = "jobs"

// Errors of requests to a shard.
var (
	// ErrNotOwner means that this process doesn't own the pool, or no longer does.
	ErrNotOwner = errors.New("this process does not own the pool")
	// ErrUnknownOutcome means that the change may or may not become durable.
	ErrUnknownOutcome = errors.New("it is not known whether the change is stored")
	// ErrInvalid means that the log rejects the job's record, so that the job can't be stored.
	ErrInvalid = errors.New("the log rejects the job's record")
	// ErrUndecoded means that the job is stored, and a record of it can't be decoded, so that nothing is known of it here.
	ErrUndecoded = errors.New("a record of the job can't be decoded")
	// ErrNotStored means that the change was not stored and will not be.
	ErrNotStored = errors.New("the log is out of reach; nothing was stored")
)

const (
	// tickPeriod is the time between two checks for whatever depends on time alone.
	tickPeriod = 100 * time.Millisecond
	// mailboxSize is large enough for agents to post events while the owner plans.
	mailboxSize = 256
	// minWriteLimit and maxWriteLimit bound how long a write may have no response before new submissions are refused at
	// once. A submission waits for the write in flight and for its own, and its caller for 3 s.
	minWriteLimit = 300 * time.Millisecond
	maxWriteLimit = time.Second
	// expirePeriod is the time between two searches for finished jobs that can be removed.
	expirePeriod = 5 * time.Second
	// answerValidity is how long after the last confirmation of the ownership a job may be refused, or the state of a pool
	// reported. The group reassigns the partitions of a silent member only later.
	answerValidity = time.Second
	// directivesValidity is how long directives hold without being repeated. The fleet controller repeats them
	// several times a second.
	directivesValidity = 2 * time.Second
	// syncTimeout bounds the wait for the live list at a takeover. An outdated list only delays the first starts.
	syncTimeout = 600 * time.Millisecond
	// planPause is the shortest time between two rounds of planning. It is short compared with the run time of tasks,
	// and long compared with the time between events under load.
	planPause = 10 * time.Millisecond
	// closeTimeout bounds the last write of an owner that is stopped.
	closeTimeout = 500 * time.Millisecond
	// leaseTime is the length of the lease that targets get with each request. It is longer than most
	// network partitions that the platform's documentation lists, and not above the longest lease that
	// targets accept.
	leaseTime = 5 * time.Second
	// confirmationValidity is how long after the log last confirmed the ownership the owner sends commands.
	confirmationValidity = 4 * time.Second
	// maxLease is the longest time that a lease lasts: leaseTime on a target's clock that is 2% slow, and a margin.
	maxLease = leaseTime + leaseTime/25
	// previousLeaseTime is how long after a takeover a target may hold a lease of the previous owner.
	previousLeaseTime = confirmationValidity + maxLease
)

// Targets gives access to the targets and their registrations.
type Targets interface {
	// Client returns a client for a target.
	Client(reg work.Registration) agent.Client
	// Snapshot returns the registered targets of a pool.
	Snapshot(pool ident.PoolID) []work.Registration
	// Newest returns the newest target that was registered for a VM.
	Newest(work.VMID) lookup.NewestTarget
	// WaitSynced waits until the live list of targets has been read, or ctx is done.
	WaitSynced(ctx context.Context)
}

// Shard is the owner of one partition. Set its exported fields before Run.
type Shard struct {
	Partition  plog.Partition
	Partitions int // number of partitions of the topic
	Epoch      plog.Epoch
	Log        plog.Log
	Targets    Targets
	MaxAppend  ident.Bytes   // limit of the log on the size of an append; 0 if there is none
	Adviser    agent.Adviser // bounds the time of its calls; nil if there is no advice service
	Bounds     jobs.Bounds
	Space      space.Account // bounds what the jobs of the partition take in memory
	Clock      clock.Clock
	Logger     hclog.Logger
	Events     func(jobs.Event)
	// Queues returns the current configuration of the queues.
	Queues func() []work.Queue
	// Tenants returns the tenants of the configuration in force, and its version. It may be nil.
	Tenants func() (version int64, tenants []work.Tenant)
	// RecordCaps, if not nil, is called with the tenants that are nearest to what they may hold, at most [MaxCapUses].
	RecordCaps func([]jobs.CapUse)
	// WallOffset returns what to add to a time of Clock to get the wall time.
	WallOffset func() time.Duration
	// LastConfirmed returns when the log last confirmed the ownership.
	LastConfirmed func() time.Time
	// RecordWrite is called with the duration of each write.
	RecordWrite func(time.Duration)
	// RecordTakeover is called with the duration of the takeover.
	RecordTakeover func(time.Duration)

	mailbox              chan event
	ready                chan struct{} // closed when the state has been read
	done                 chan struct{}
	ctx                  context.Context
	stop                 context.CancelFunc
	pools                map[ident.PoolID]*pool
	writes               delay.Tracker       // of the durations of writes
	inFlight             *write              // set while no other write may start: also for refusedPause after a refusal
	proofWaiters         []chan error        // requests that wait for a write that proves the ownership
	seq                  int64               // of the last append
	tombstones           []plog.Record       // remove the records of expired jobs
	undecoded            map[work.JobID]bool // stored jobs of which a record can't be decoded
	partlyRead           bool                // there are stored records that can't be asked for
	reserving            work.JobID          // at the takeover, the job whose records are being read
	restoring            bool                // the records of deferred jobs are being read
	cancellations        cancellations
	awaitingRestore      map[work.JobID][]func(now time.Time) // requests that need a deferred job
	calibrations         []*jobs.Calibration                  // stored by the previous owner
	lastCalibrationWrite time.Time                            // when the pools' calibrations were last written
	lastExpiry           time.Time                            // when finished jobs were last searched for expired ones
	takeoverStart        time.Time
	allowances           quota.Allowances
	capsLog              capsLog
	capDigests           capDigests
	lastCapsRecord       time.Time
	lastPlan             time.Time // start of the last round of planning
	rounds               roundTimes
	planScheduled        bool // an event is due after which planning is possible again
	closing              bool // the shard ends once its changes are written
}

// pool is the state machine of one pool, with its agents and the requests that wait for its writes.
type pool struct {
	*jobs.Pool
	agents         map[work.TargetID]*agentHandle
	waiters        []waiter
	durable        jobs.WriteSeq // last confirmed write
	lastDirectives time.Time     // when the fleet controller last sent directives
}

// agentHandle is a running agent.
type agentHandle struct {
	*agent.Agent
	reg        work.Registration
	registered bool // the live list contains the target
	cancel     context.CancelFunc
}

// event is an element of the mailbox.
type event struct {
	posted time.Time
	handle func(now time.Time)
}

// waiter is a request that is answered once a write is confirmed.
type waiter struct {
	writeSeq jobs.WriteSeq
	job      work.JobID
	newJob   bool // the request submitted the job, which may be withdrawn
	reply    chan error
}

// Init prepares the shard. It must be called before any other method.
func (s *Shard) Init(ctx context.Context) {
	s.ctx, s.stop = context.WithCancel(ctx)
	s.mailbox = make(chan event, mailboxSize)
	s.ready, s.done = make(chan struct{}), make(chan struct{})
	s.writes = delay.Tracker{Min: minWriteLimit, Max: maxWriteLimit, Changed: func(state delay.State, limit time.Duration) {
		s.Logger.Info("the pace of the log has changed", "partition", s.Partition, "state", string(state), "limit", limit)
	}}
	s.pools, s.undecoded = map[ident.PoolID]*pool{}, map[work.JobID]bool{}
	s.cancellations = cancellations{jobs: map[canceledJob][]cancellation{}, unsaved: map[string]cancellation{}}
	s.awaitingRestore = map[work.JobID][]func(now time.Time){}
}

// Stop ends the shard and returns when it no longer acts. Changes are written first if the log responds within
// closeTimeout.
func (s *Shard) Stop() {
	t := s.Clock.AfterFunc(closeTimeout, s.stop)
	defer t.Stop()
	select {
	case <-s.ready:
		s.post(func(time.Time) {
			s.closing = true
			for _, p := range s.pools {
				s.prepareHandover(p)
			}
		})
	default:
		s.stop()
	}
	<-s.done
}

// Ready returns a channel that is closed once the shard has read its state.
func (s *Shard) Ready() <-chan struct{} { return s.ready }

// Done returns a channel that is closed when the shard has ended, for example because it was fenced.
func (s *Shard) Done() <-chan struct{} { return s.done }

// Stopping returns a channel that is closed as soon as the shard begins to end.
func (s *Shard) Stopping() <-chan struct{} { return s.ctx.Done() }

// Abandon ends the shard without writing changes.
func (s *Shard) Abandon() { s.stop() }

// MaySend reports whether the ownership was confirmed recently enough to send commands.
func (s *Shard) MaySend() bool { return s.permit().Valid() }

func (s *Shard) topicPartition() plog.TopicPartition {
	return plog.TopicPartition{Topic: JobsTopic, Partition: s.Partition}
}

// Run takes over the partition and serves it until Stop is called or the shard is fenced. A panic ends it too; the next
// owner, usually in the same process, starts from the stored state.
func (s *Shard) Run() {
	defer close(s.done)
	defer s.stop()
	defer s.Space.Close()
	panics.Catch(s.Logger, "owner of a partition", s.run)
}

func (s *Shard) run() {
	s.takeoverStart = s.Clock.Now()
	stored, err := s.takeOver()
	if err != nil {
		s.Logger.Info("takeover failed", "partition", s.Partition, "epoch", s.Epoch, "error", err)
		return
	}
	syncCtx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	s.Targets.WaitSynced(syncCtx)
	cancel()
	now := s.Clock.Now()
	for _, c := range s.calibrations {
		s.pool(c.Pool).RestoreCalibration(c)
	}
	s.restore(now, stored)
	for _, id := range s.allowances.Pools() {
		s.pool(id)
	}
	for _, q := range s.Queues() {
		if PartitionOf(q.Pool, s.Partitions) == s.Partition {
			s.pool(q.Pool) // so that its targets are known before the first job arrives
		}
	}
	for _, p := range s.pools {
		s.refresh(now, p)
	}
	s.Logger.Info("partition taken over", "partition", s.Partition, "epoch", s.Epoch, "jobs", len(stored), "deferred", s.deferred(), "took", now.Sub(s.takeoverStart))
	if s.RecordTakeover != nil {
		s.RecordTakeover(now.Sub(s.takeoverStart))
	}
	close(s.ready)
	tick := s.Clock.Every(tickPeriod, func() { s.post(s.tick) })
	defer tick.Stop()
	s.afterEvents(now)
	for {
		select {
		case <-s.ctx.Done():
			s.failWaiters()
			return
		case e := <-s.mailbox:
			now := s.Clock.Now()
			e.handle(now)
			now = s.drainMailbox(now)
			s.afterEvents(now)
			if s.closing && s.inFlight == nil {
				s.stop()
			}
		}
	}
}

// drainMailbox handles the events that are in the mailbox already, so that they share a round, and returns the time of the
// last one. An event is never handled as of a time before it was posted: a start that seemed to be answered before its target
// executed it would make a run report conclusive that was requested in between.
func (s *Shard) drainMailbox(now time.Time) time.Time {
	for range mailboxSize {
		select {
		case e := <-s.mailbox:
			if e.posted.After(now) {
				now = e.posted
			}
			e.handle(now)
		default:
			return now
		}
	}
	return now
}

// post puts an event into the mailbox. It returns false if the shard has ended.
func (s *Shard) post(f func(now time.Time)) bool {
	select {
	case s.mailbox <- event{s.Clock.Now(), f}:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// failWaiters answers the waiting requests. Changes that are not stored yet may still become durable.
func (s *Shard) failWaiters() {
	for _, p := range s.pools {
		for _, w := range p.waiters {
			w.reply <- ErrUnknownOutcome
		}
		p.waiters = nil
	}
	for _, reply := range s.proofWaiters {
		reply <- ErrNotOwner
	}
	s.Logger.Info("partition released", "partition", s.Partition, "epoch", s.Epoch)
}

// pool returns a pool of this partition, which it creates if needed.
func (s *Shard) pool(id ident.PoolID) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{Pool: jobs.NewPool(id), agents: map[work.TargetID]*agentHandle{}}
		p.Fence, p.OwnedSince = work.Fence(s.Epoch), s.takeoverStart
		p.Bounds, p.Space = s.Bounds, &s.Space
		p.Bounds.InheritedLease, p.Bounds.MaxLease = previousLeaseTime, maxLease
		p.Bounds.CanceledRetention = cancellationTime
		p.Events = s.Events
		p.SetWallOffset(s.WallOffset()) // stored times are wall times
		p.SetLimits(s.allowances.Of(id))
		if s.Tenants != nil {
			p.SetTenants(s.Tenants())
		}
		s.pools[id] = p
	}
	return p
}

// permit returns a permit that expires confirmationValidity after the last confirmation of the ownership.
func (s *Shard) permit() permit.Permit {
	return permit.Permit{Until: s.LastConfirmed().Add(confirmationValidity), Clock: s.Clock}
}

// confirmedWithin reports whether the ownership was confirmed less than d ago.
func (s *Shard) confirmedWithin(d time.Duration) bool {
	return s.Clock.Now().Sub(s.LastConfirmed()) < d
}

// tick does the work that depends on time alone.
func (s *Shard) tick(now time.Time) {
	s.refuseQueued(now)
	s.recordCaps(now)
	s.restoreDeferred()
	for _, p := range s.pools {
		s.refresh(now, p)
		p.Tick(now)
		if now.Sub(p.lastDirectives) > directivesValidity {
			p.ClearDirectives()
		}
	}
	if now.Sub(s.lastExpiry) > expirePeriod {
		s.lastExpiry = now
		s.expireCancellations(now)
		for _, p := range s.pools {
			for _, key := range p.Expire(now) {
				s.tombstones = append(s.tombstones, plog.Record{Key: key})
			}
		}
	}
}

// afterEvents plans, starts a write and sends the commands, after a batch of events.
func (s *Shard) afterEvents(now time.Time) {
	s.plan(now)
	s.startWrite(now)
	for _, p := range s.pools {
		for _, cmd := range p.TakeCommands() {
			s.dispatch(p, cmd)
		}
		for _, a := range p.TakeAcks() {
			if h := p.agents[a.Target]; h != nil {
				h.Acknowledge(a.Incarnation, a.Seq)
			}
		}
		for _, id := range p.TakeExtendable() {
			s.allowExtensions(p, id)
		}
	}
}

// plan lets the pools plan, at most once per planPause, or less often if that takes long: a busy pool gets many events between two
// rounds.
func (s *Shard) plan(now time.Time) {
	if s.closing {
		return
	}
	pause := s.rounds.pause()
	if now.Sub(s.lastPlan) >= pause {
		s.lastPlan = now
		begin, planned := s.Clock.Now(), false
		for _, p := range s.pools {
			planned = planned || p.NeedsPlanning()
			p.Plan(now)
		}
		if planned {
			s.rounds.note(s.Clock.Now().Sub(begin))
		}
		return
	}
	for _, p := range s.pools {
		if p.NeedsPlanning() && !s.planScheduled {
			s.planScheduled = true
			s.Clock.AfterFunc(pause, func() { s.post(func(time.Time) { s.planScheduled = false }) })
		}
	}
}

// dispatch passes a command to the agent of its target, or to the advice service.
func (s *Shard) dispatch(p *pool, cmd jobs.Command) {
	var id work.TargetID
	switch cmd := cmd.(type) {
	case jobs.StartCommand:
		id = cmd.Target
	case jobs.StopCommand:
		id = cmd.Target
	case jobs.PaceCommand:
		id = cmd.Target
	case jobs.ProbeCommand:
		if h := p.agents[cmd.Target]; h != nil {
			h.Probe()
		}
		return
	case jobs.AdviceRequest:
		s.requestAdvice(p, cmd)
		return
	}
	if h := p.agents[id]; h != nil {
		h.Send(s.ctx, cmd)
	} else if start, ok := cmd.(jobs.StartCommand); ok {
		p.HandleStartResult(s.Clock.Now(), id, start.Task, start.Attempt, jobs.StartWrongTarget) // not sent
	}
}

// requestAdvice asks the advice service in the background, and passes the result to the pool.
func (s *Shard) requestAdvice(p *pool, req jobs.AdviceRequest) {
	if s.Adviser == nil {
		s.Logger.Warn("queue needs advice, but no advice service is configured", "job", req.Job)
		s.Clock.AfterFunc(noAdviserPause, func() { s.post(func(time.Time) { p.HandleAdvice(req, jobs.Advice{}) }) })
		return
	}
	go func() {
		var response jobs.Advice
		panics.Catch(s.Logger, "advice", func() {
			var err error
			if response, err = s.Adviser.Advise(s.ctx, req); err != nil {
				response = jobs.Advice{}
			}
		})
		s.post(func(time.Time) { p.HandleAdvice(req, response) })
	}()
}

// noAdviserPause is the time until a request to an advice service that isn't configured is given up.
const noAdviserPause = 2 * time.Second
