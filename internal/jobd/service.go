package jobd

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/route"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Errors that clients are told of.
var (
	// ErrNoConfig means that the operators' configuration hasn't been read yet.
	ErrNoConfig = errors.New("the configuration has not been read yet")
	// ErrNoQueue means that the configuration has no such queue.
	ErrNoQueue = errors.New("there is no such queue")
	// ErrUnknownOutcome means that the request may have been carried out; the client may send it again under the same id.
	ErrUnknownOutcome = errors.New("the outcome is not known")
)

// NotRunError means that the request was not carried out and will not be,
// since the pool's owner or the log is out of reach.
type NotRunError struct{ RetryAfter time.Duration }

// Error tells when to come back.
func (e *NotRunError) Error() string { return "not run, come back in " + e.RetryAfter.String() }

const (
	// ownerWait is how long a request waits for a pool's owner: the time of a
	// planned hand-over. Beyond it the client is told to come back.
	ownerWait = 700 * time.Millisecond
	// ownerPause is the time between two attempts to reach the owner.
	ownerPause = 60 * time.Millisecond
	// attemptTimeout bounds one attempt; an append that gets no answer is repeated within it.
	attemptTimeout = 2500 * time.Millisecond
)

// Service carries out clients' requests, here or at the pool's owner.
type Service struct {
	Partitions  int
	PeerAddress string // peer address of this process
	Member      *group.Member
	Owners      *owners
	PeerClient  *link.Client
	Clock       clock.Clock
	Logger      hclog.Logger

	routes  atomic.Pointer[route.Table]
	reached atomic.Int64 // Unix nanoseconds of Clock when another process last showed that this one isn't cut off
	wall    wallClock
	cutOff  atomic.Bool // neither the log nor a process that is not cut off answers

	wavesMu sync.Mutex
	waves   []work.Wave
}

// The methods between the processes.
const (
	methodSubmit  link.Method = "submit"
	methodCancel  link.Method = "cancel"
	methodState   link.Method = "state"
	methodPending link.Method = "pending"
	methodRejoin  link.Method = "rejoin"
	methodReport  link.Method = "report"
	methodPing    link.Method = "ping"
	methodTime    link.Method = "time"
	methodOwners  link.Method = "owners"
)

// outcome is how a request ended at the pool's owner.
type outcome string

const (
	outcomeOK       outcome = "ok"
	outcomeUnknown  outcome = "unknown" // no such job
	outcomeRefused  outcome = "refused"
	outcomeNotRun   outcome = "not_run"
	outcomeNotOwner outcome = "not_owner"
	outcomeUnsure   outcome = "unsure"
)

type ask struct {
	Job        work.JobID       `cbor:"1,keyasint"`
	Queue      work.Queue       `cbor:"2,keyasint"`
	Spec       *work.Spec       `cbor:"3,keyasint,omitempty"`
	Directions *jobs.Directives `cbor:"4,keyasint,omitempty"` // with a report
}

type reply struct {
	Outcome    outcome       `cbor:"1,keyasint"`
	State      work.JobState `cbor:"2,keyasint,omitempty"`
	Pending    int           `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Report     *sizer.Pool   `cbor:"5,keyasint,omitempty"`
}

// HandlePeerRequest answers the requests of other processes.
func (s *Service) HandlePeerRequest(ctx context.Context, m link.Method, body []byte) ([]byte, error) {
	switch m {
	case methodPing:
		return link.TypedHandler(func(context.Context, struct{}) (standing, error) { return s.standing(), nil })(ctx, body)
	case methodOwners:
		return link.TypedHandler(func(context.Context, struct{}) (holdings, error) { return s.Owners.known(), nil })(ctx, body)
	case methodTime:
		return link.TypedHandler(func(context.Context, struct{}) (clockReading, error) {
			return clockReading{Now: s.Clock.Now().UnixNano()}, nil
		})(ctx, body)
	case methodRejoin:
		s.Member.JoinNow()
		s.Owners.Hint()
		return nil, nil
	}
	return link.TypedHandler(func(ctx context.Context, a ask) (reply, error) { return s.here(ctx, m, a), nil })(ctx, body)
}

// here carries a request out as the owner of the pool.
func (s *Service) here(ctx context.Context, m link.Method, a ask) reply {
	owner := s.Member.Owner(s.position(a.Queue.Pool))
	sh, ok := owner.(*shard.Shard)
	if !ok {
		return reply{Outcome: outcomeNotOwner}
	}
	var r reply
	var err error
	known := true
	switch m {
	case methodSubmit:
		err = sh.Submit(ctx, a.Queue, a.Job, a.Spec)
	case methodCancel:
		known, err = sh.Cancel(ctx, a.Queue.Pool, a.Job)
	case methodState:
		r.State, known, err = sh.State(ctx, a.Queue.Pool, a.Job)
	case methodPending:
		r.Pending, err = sh.Pending(ctx, a.Queue.Pool, a.Queue.ID)
	case methodReport:
		var report sizer.Pool
		if a.Directions == nil {
			return reply{Outcome: outcomeUnsure}
		}
		report, err = sh.Report(ctx, a.Queue.Pool, *a.Directions)
		r.Report = &report
	}
	var refused *shard.RefusedError
	switch {
	case err == nil && known:
		r.Outcome = outcomeOK
	case err == nil:
		r.Outcome = outcomeUnknown
	case errors.As(err, &refused):
		r.Outcome, r.RetryAfter = outcomeRefused, refused.RetryAfter
	case errors.Is(err, shard.ErrNotStored):
		r.Outcome, r.RetryAfter = outcomeNotRun, admit.RetryAfterOutage(s.standing().SinceLog)
	case errors.Is(err, shard.ErrNotOwner):
		r.Outcome = outcomeNotOwner
	default:
		r.Outcome = outcomeUnsure
	}
	return r
}

func (s *Service) position(pool ident.PoolID) plog.TopicPartition {
	return plog.TopicPartition{Topic: shard.JobsTopic, Partition: shard.PartitionOf(pool, s.Partitions)}
}

// do carries a request out at the pool's owner, wherever that is, and follows
// the pool when its owner changes. Requests may be repeated: a job is known by its id.
func (s *Service) do(ctx context.Context, m link.Method, a ask) (r reply, unsure bool) {
	begin := s.Clock.Now()
	defer func() { countRequest(m, r.Outcome, s.Clock.Now().Sub(begin)) }()
	p := s.position(a.Queue.Pool)
	for {
		r = s.attempt(ctx, m, a, p)
		if r.Outcome == outcomeUnsure {
			unsure = true
		}
		if r.Outcome != outcomeNotOwner && r.Outcome != outcomeUnsure {
			return r, unsure
		}
		if ctx.Err() != nil || s.Clock.Now().Sub(begin) > ownerWait || !s.Connected() {
			return r, unsure
		}
		s.Owners.Hint()
		if clock.Sleep(ctx, s.Clock, ownerPause) != nil {
			return r, unsure
		}
	}
}

func (s *Service) attempt(ctx context.Context, m link.Method, a ask, p plog.TopicPartition) reply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if s.Member.Owner(p) != nil {
		return s.here(ctx, m, a)
	}
	addr := s.Owners.Address(p)
	if addr == "" {
		return reply{Outcome: outcomeNotOwner}
	}
	r, err := link.Call[reply](ctx, s.PeerClient, addr, m, a)
	if err == nil {
		return r
	}
	s.Logger.Info("the owner did not answer", "job", a.Job, "method", m, "owner", addr, "error", err)
	if errors.Is(err, link.ErrUnreachable) {
		return reply{Outcome: outcomeNotOwner}
	}
	return reply{Outcome: outcomeUnsure}
}

// Report implements ctrl.Pools.
func (s *Service) Report(ctx context.Context, pool ident.PoolID, d jobs.Directives) (sizer.Pool, error) {
	r := s.attempt(ctx, methodReport, ask{Queue: work.Queue{Pool: pool}, Directions: &d}, s.position(pool))
	if r.Outcome != outcomeOK || r.Report == nil {
		s.Owners.Hint()
		return sizer.Pool{}, errors.Newf("pool %q: %s", pool, r.Outcome)
	}
	return *r.Report, nil
}

// Configured implements ctrl.Pools.
func (s *Service) Configured() []work.PoolConfig {
	if t := s.routes.Load(); t != nil {
		return t.Pools
	}
	return nil
}

// Waves implements ctrl.Pools.
func (s *Service) Waves() []work.Wave {
	s.wavesMu.Lock()
	defer s.wavesMu.Unlock()
	return slices.Clone(s.waves)
}

// setWave takes a new or changed wave.
func (s *Service) setWave(w work.Wave) {
	s.wavesMu.Lock()
	defer s.wavesMu.Unlock()
	i := slices.IndexFunc(s.waves, func(x work.Wave) bool { return x.ID == w.ID })
	if i < 0 {
		s.waves = append(s.waves, w)
		s.Logger.Info("wave asked for", "wave", w.ID, "machines", len(w.Machines), "within", w.TimeLimit, "at_once", w.MaxDown)
		return
	}
	s.waves[i] = w
}

// find returns the queue that a request is for, and the rest of its path.
func (s *Service) find(host, path string) (work.Queue, string, error) {
	t := s.routes.Load()
	if t == nil {
		return work.Queue{}, "", ErrNoConfig
	}
	q, rest, ok := t.Find(host, path)
	if !ok {
		return work.Queue{}, "", ErrNoQueue
	}
	return q, rest, nil
}

// Queue names the queue of a request and the rest of its path.
func (s *Service) Queue(host, path string) (work.QueueID, string, error) {
	q, rest, err := s.find(host, path)
	return q.ID, rest, err
}

// MaxBody returns how large a request may be; 0 sets no limit.
func (s *Service) MaxBody() int64 {
	if t := s.routes.Load(); t != nil {
		return t.MaxBody
	}
	return 0
}

// Submit hands a job in. The error is nil once the job is stored, a
// [*shard.RefusedError] or a [*NotRunError] if it never will be, and [ErrUnknownOutcome] otherwise.
func (s *Service) Submit(ctx context.Context, host, path string, id work.JobID, spec *work.Spec) error {
	q, _, err := s.find(host, path)
	if err != nil {
		return err
	}
	r, unsure := s.do(ctx, methodSubmit, ask{Job: id, Queue: q, Spec: spec})
	err = nil
	switch {
	case r.Outcome == outcomeOK:
	case unsure: // an earlier attempt may still be stored
		err = ErrUnknownOutcome
	case r.Outcome == outcomeRefused:
		err = &shard.RefusedError{RetryAfter: r.RetryAfter}
	default:
		err = s.notRun(r)
	}
	s.Logger.Info("submit", "job", id, "queue", q.ID, "pool", q.Pool, "outcome", r.Outcome, "unsure", unsure, "retry_after", r.RetryAfter)
	return err
}

// notRun tells a client when to come back.
func (s *Service) notRun(r reply) error {
	switch {
	case !s.Connected():
		return &NotRunError{RetryAfter: admit.RetryElsewhere}
	case r.Outcome == outcomeNotRun:
		return &NotRunError{RetryAfter: r.RetryAfter}
	default:
		return &NotRunError{RetryAfter: admit.RetryAfterOutage(0)}
	}
}

// Cancel cancels a job; known is false if there is no such job.
func (s *Service) Cancel(ctx context.Context, host, path string, id work.JobID) (known bool, err error) {
	q, _, err := s.find(host, path)
	if err != nil {
		return false, err
	}
	r, unsure := s.do(ctx, methodCancel, ask{Job: id, Queue: q})
	s.Logger.Info("cancel", "job", id, "queue", q.ID, "outcome", r.Outcome, "unsure", unsure)
	switch r.Outcome {
	case outcomeOK:
		return true, nil
	case outcomeUnknown:
		return false, nil
	default:
		return false, ErrUnknownOutcome
	}
}

// State returns the state of a job; known is false if there is no such job.
func (s *Service) State(ctx context.Context, host, path string, id work.JobID) (state work.JobState, known bool, err error) {
	q, _, err := s.find(host, path)
	if err != nil {
		return "", false, err
	}
	r, _ := s.do(ctx, methodState, ask{Job: id, Queue: q})
	switch r.Outcome {
	case outcomeOK:
		return r.State, true, nil
	case outcomeUnknown:
		s.Logger.Info("state of an unknown job", "job", id, "queue", q.ID)
		return "", false, nil
	default:
		return "", false, s.notRun(r)
	}
}

// Pending returns how many jobs of a queue have not begun.
func (s *Service) Pending(ctx context.Context, host, path string) (int, error) {
	q, _, err := s.find(host, path)
	if err != nil {
		return 0, err
	}
	r, _ := s.do(ctx, methodPending, ask{Queue: q})
	if r.Outcome != outcomeOK {
		return 0, s.notRun(r)
	}
	return r.Pending, nil
}
