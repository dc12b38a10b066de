package shard

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// JobsTopic holds one record for each job.
const JobsTopic plog.Topic = "jobs"

// Errors of a shard.
var (
	// ErrNotOwner means that this process doesn't own the pool, or not any more.
	ErrNotOwner = errors.New("this process does not own the pool")
	// ErrUnknownOutcome means that a change may or may not become durable.
	ErrUnknownOutcome = errors.New("it is not known whether the change is stored")
	// ErrNotStored means that a change was not stored and will not be.
	ErrNotStored = errors.New("the log is out of reach; nothing was stored")
)

const (
	// tickPeriod is the resolution of everything that time brings.
	tickPeriod = 100 * time.Millisecond
	// mailboxSize lets agents deliver while the owner plans.
	mailboxSize = 256
	// maxStuck is how long a write may be without an answer before new submissions are refused at once.
	maxStuck = 300 * time.Millisecond
	// expirePeriod is how often finished jobs are looked through.
	expirePeriod = 5 * time.Second
	// refuseTime is how long a refusal holds without a confirmation; the group passes partitions on after a longer silence.
	refuseTime = time.Second
	// directedTime is how long directions hold without being given again; whoever steers does so several times a second.
	directedTime = 2 * time.Second
	// freshTimeout bounds the wait for the live list at a takeover; an old list only delays the first starts.
	freshTimeout = 600 * time.Millisecond
	// planPause is short against the run time of tasks, and long against the time between events under load.
	planPause = 10 * time.Millisecond
	// closeTimeout bounds the last write of an owner that hands over.
	closeTimeout = 500 * time.Millisecond
	// leaseTime is given to targets with each request. It outlasts most cuts
	// that the platform's pages list, and is within the longest lease that targets grant.
	leaseTime = 5 * time.Second
	// confirmTime is how long an owner gives orders without hearing from the log that it still is the owner.
	confirmTime = 4 * time.Second
	// longestLease is leaseTime on a target's clock that is 2% slow, and a margin.
	longestLease = leaseTime + leaseTime/25
	// inheritTime is how long after a takeover a target may keep a lease of the former owner.
	inheritTime = confirmTime + longestLease
)

// Targets makes callers and knows the targets.
type Targets interface {
	// Client returns the client of a target.
	Client(reg work.Registration) agent.Client
	// Snapshot returns the live targets of a pool.
	Snapshot(pool ident.PoolID) []work.Registration
	// Incarnation returns the newest target that a VM was seen to run and when its life began; 0 if there is none.
	Incarnation(work.MachineID) (id work.TargetID, born int64)
	// WaitSynced waits until the live list has been read, or ctx is done.
	WaitSynced(ctx context.Context)
}

// Shard is the owner of one partition. Set its exported fields before Run.
type Shard struct {
	Partition  plog.Partition
	Partitions int // partitions of the topic
	Epoch      plog.Epoch
	Log        plog.Log
	Targets    Targets
	Adviser    agent.Adviser // nil where there is no advice service
	Bounds     jobs.Bounds
	Clock      clock.Clock
	Logger     hclog.Logger
	Events     func(jobs.Event)
	// Queues returns the present configuration of the queues.
	Queues func() []work.Queue
	// WallOffset returns the difference between the wall clock and Clock.
	WallOffset func() time.Duration
	// LastConfirmed returns when the log last confirmed the ownership.
	LastConfirmed func() time.Time
	// RecordWrite is told how long each write took.
	RecordWrite func(time.Duration)
	// RecordTakeover is told how long the takeover took.
	RecordTakeover func(time.Duration)

	mail      chan func(now time.Time)
	ready     chan struct{} // closed when the state has been read
	done      chan struct{}
	ctx       context.Context
	stop      context.CancelFunc
	pools     map[ident.PoolID]*pool
	write     *write
	probes    []chan error // requests that wait for a proof of ownership
	seq       int64
	expires   []plog.Record
	knowledge []*jobs.Calibration // of the former owner
	noted     time.Time           // when the pools' knowledge was last written
	expired   time.Time
	begun     time.Time
	planned   time.Time // the last round of planning
	planTimer bool
	closing   bool // write what has changed, then end
}

// pool is one pool with what surrounds its state machine.
type pool struct {
	*jobs.Pool
	agents   map[work.TargetID]*agentHandle
	waiters  []waiter
	durable  jobs.WriteSeq
	directed time.Time // when directions were last given
}

type agentHandle struct {
	*agent.Agent
	reg    work.Registration
	listed bool // the live list names it
	cancel context.CancelFunc
}

// waiter is a client's request that is answered once a write is confirmed.
type waiter struct {
	flush jobs.WriteSeq
	job   work.JobID
	added bool // the request added the job, so that it may be withdrawn
	reply chan error
}

// Init prepares the shard; it must be called before any other method.
func (s *Shard) Init(ctx context.Context) {
	s.ctx, s.stop = context.WithCancel(ctx)
	s.mail = make(chan func(time.Time), mailboxSize)
	s.ready, s.done = make(chan struct{}), make(chan struct{})
	s.pools = map[ident.PoolID]*pool{}
}

// Stop ends the shard and waits until it no longer acts. What has changed is written first, if the log answers in time.
func (s *Shard) Stop() {
	t := s.Clock.AfterFunc(closeTimeout, s.stop)
	defer t.Stop()
	select {
	case <-s.ready:
		s.post(func(now time.Time) {
			s.closing = true
			for _, p := range s.pools {
				p.PrepareHandover(now)
			}
		})
	default:
		s.stop()
	}
	<-s.done
}

// Ready is closed once the shard has read its state.
func (s *Shard) Ready() <-chan struct{} { return s.ready }

// Done is closed when the shard has ended, for example because it was fenced.
func (s *Shard) Done() <-chan struct{} { return s.done }

// Stopping is closed as soon as the shard begins to end.
func (s *Shard) Stopping() <-chan struct{} { return s.ctx.Done() }

// Abandon ends the shard without a last write.
func (s *Shard) Abandon() { s.stop() }

// MayOrder reports whether the ownership was confirmed recently enough to give orders.
func (s *Shard) MayOrder() bool { return s.permit().Valid() }

func (s *Shard) position() plog.TopicPartition {
	return plog.TopicPartition{Topic: JobsTopic, Partition: s.Partition}
}

// Run takes the partition over and serves it until Stop, or until it is fenced. A panic ends it too: the next owner, as a
// rule in the same process, begins with what is stored.
func (s *Shard) Run() {
	defer close(s.done)
	defer s.stop()
	panics.Catch(s.Logger, "owner of a partition", s.run)
}

func (s *Shard) run() {
	s.begun = s.Clock.Now()
	records, err := s.takeOver()
	if err != nil {
		s.Logger.Info("takeover ended", "partition", s.Partition, "epoch", s.Epoch, "error", err)
		return
	}
	fresh, cancel := context.WithTimeout(s.ctx, freshTimeout)
	s.Targets.WaitSynced(fresh)
	cancel()
	now := s.Clock.Now()
	for _, k := range s.knowledge {
		s.pool(k.Pool).RestoreCalibration(k)
	}
	for _, r := range records {
		s.pool(r.Pool).Restore(now, r)
	}
	for _, q := range s.Queues() {
		if PartitionOf(q.Pool, s.Partitions) == s.Partition {
			s.pool(q.Pool) // so that it hears of its targets before the first job comes
		}
	}
	for _, p := range s.pools {
		s.refresh(now, p)
	}
	s.Logger.Info("partition taken over", "partition", s.Partition, "epoch", s.Epoch, "jobs", len(records), "took", now.Sub(s.begun))
	if s.RecordTakeover != nil {
		s.RecordTakeover(now.Sub(s.begun))
	}
	close(s.ready)
	tick := s.Clock.Every(tickPeriod, func() { s.post(s.tick) })
	defer tick.Stop()
	s.settle(now)
	for {
		select {
		case <-s.ctx.Done():
			s.end()
			return
		case f := <-s.mail:
			now := s.Clock.Now()
			f(now)
			s.drainMail(now)
			s.settle(now)
			if s.closing && s.write == nil {
				s.stop()
			}
		}
	}
}

func (s *Shard) drainMail(now time.Time) {
	for range mailboxSize {
		select {
		case f := <-s.mail:
			f(now)
		default:
			return
		}
	}
}

// post puts an event into the mailbox; false means that the shard has ended.
func (s *Shard) post(f func(now time.Time)) bool {
	select {
	case s.mail <- f:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// end fails what waits. Changes that were not stored may still become durable.
func (s *Shard) end() {
	for _, p := range s.pools {
		for _, w := range p.waiters {
			w.reply <- ErrUnknownOutcome
		}
		p.waiters = nil
	}
	for _, reply := range s.probes {
		reply <- ErrNotOwner
	}
	s.Logger.Info("partition given up", "partition", s.Partition, "epoch", s.Epoch)
}

// pool returns the state of a pool of this partition, creating it if need be.
func (s *Shard) pool(id ident.PoolID) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{Pool: jobs.NewPool(id), agents: map[work.TargetID]*agentHandle{}}
		p.Fence, p.OwnedSince = work.Fence(s.Epoch), s.begun
		p.Bounds = s.Bounds
		p.Bounds.InheritedLease, p.Bounds.MaxLease = inheritTime, longestLease
		p.Events = s.Events
		s.pools[id] = p
	}
	return p
}

// permit allows orders for confirmTime from the last confirmation.
func (s *Shard) permit() permit.Permit {
	return permit.Permit{Until: s.LastConfirmed().Add(confirmTime), Clock: s.Clock}
}

func (s *Shard) confirmedWithin(d time.Duration) bool {
	return s.Clock.Now().Sub(s.LastConfirmed()) < d
}

func (s *Shard) tick(now time.Time) {
	for _, p := range s.pools {
		s.refresh(now, p)
		p.Tick(now)
		if now.Sub(p.directed) > directedTime {
			p.ClearDirectives()
		}
	}
	if now.Sub(s.expired) > expirePeriod {
		s.expired = now
		for _, p := range s.pools {
			for _, id := range p.Expire(now) {
				s.expires = append(s.expires, plog.Record{Key: string(id)})
			}
		}
	}
}

// settle plans, sends the orders and starts a write, after a batch of events.
func (s *Shard) settle(now time.Time) {
	s.plan(now)
	s.startWrite(now)
	for _, p := range s.pools {
		for _, o := range p.TakeCommands() {
			s.dispatch(p, o)
		}
		for _, a := range p.TakeAcks() {
			if h := p.agents[a.Target]; h != nil {
				h.Acknowledge(a.Incarnation, a.Seq)
			}
		}
	}
}

// plan lets the pools plan, at most once in planPause: a busy pool gets many events between two rounds.
func (s *Shard) plan(now time.Time) {
	if s.closing {
		return
	}
	if now.Sub(s.planned) >= planPause {
		s.planned = now
		for _, p := range s.pools {
			p.Plan(now)
		}
		return
	}
	for _, p := range s.pools {
		if p.NeedsPlanning() && !s.planTimer {
			s.planTimer = true
			s.Clock.AfterFunc(planPause, func() { s.post(func(time.Time) { s.planTimer = false }) })
		}
	}
}

func (s *Shard) dispatch(p *pool, o jobs.Command) {
	var id work.TargetID
	switch o := o.(type) {
	case jobs.StartCommand:
		id = o.Target
	case jobs.StopCommand:
		id = o.Target
	case jobs.PaceCommand:
		id = o.Target
	case jobs.AdviceRequest:
		s.advise(p, o)
		return
	}
	if h := p.agents[id]; h != nil {
		h.Send(s.ctx, o)
	} else if start, ok := o.(jobs.StartCommand); ok {
		p.HandleStartResult(s.Clock.Now(), id, start.Task, start.Attempt, jobs.StartWrongTarget) // not sent
	}
}

func (s *Shard) advise(p *pool, o jobs.AdviceRequest) {
	if s.Adviser == nil {
		s.Logger.Warn("a queue asks for advice, and the settings name no advice service", "job", o.Job)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
		defer cancel()
		var granted map[work.TargetID]string
		var validity time.Duration
		panics.Catch(s.Logger, "advice", func() {
			var err error
			if granted, validity, err = s.Adviser.Advise(ctx, o); err != nil {
				s.Logger.Info("no advice", "job", o.Job, "step", o.Step, "error", err)
				granted = nil
			}
		})
		s.post(func(now time.Time) { p.HandleAdvice(now, o, granted, validity) })
	}()
}

// adviceTimeout bounds one call to the advice service, which handles the calls of a process in turn.
const adviceTimeout = 2 * time.Second
