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
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Errors that are reported to clients.
var (
	// ErrNoConfig means that the operators' configuration hasn't been read yet.
	ErrNoConfig = errors.New("the configuration has not been read yet")
	// ErrUnknownOutcome means that the request may have been carried out; the client may send it again with the same job id.
	ErrUnknownOutcome = errors.New("the outcome is not known")
)

// NotRunError means that the request was not carried out and will not be,
// because the pool's owner or the log is out of reach.
type NotRunError struct{ RetryAfter time.Duration }

// Error says that the request was not carried out, and after which time to retry.
func (e *NotRunError) Error() string {
	return "not run, come back in " + e.RetryAfter.String()
}

const (
	// ownerRetryTime is how long a request is retried while the pool has no owner that answers: the duration of a
	// planned handover. After that the client is told to retry later.
	ownerRetryTime = 700 * time.Millisecond
	// ownerRetryPause is the time between two attempts.
	ownerRetryPause = 60 * time.Millisecond
	// attemptTimeout bounds one attempt. It leaves the owner time to repeat an append to the log that got no response.
	attemptTimeout = 2500 * time.Millisecond
)

// Service carries out clients' requests, in this daemon if it owns the pool's partition and otherwise in the owner.
type Service struct {
	Partitions  int         // of the jobs topic
	MaxRecord   ident.Bytes // limit of the log on the size of a record
	PeerAddress string      // of this daemon
	Zone        ident.ZoneID
	Member      *group.Member
	Owners      *ownerTable
	Config      *configuration
	Guard       *guard.Guard // bounds what clients and other processes send
	PeerClient  *link.Client
	Clock       clock.Clock
	Logger      hclog.Logger

	ownersReachedAt atomic.Int64 // Unix nanoseconds of Clock when the last successful ping of the owners was sent
	wallClock       wallClock
	isolated        atomic.Bool // by the last check, neither the log nor enough owners answer

	wavesMu sync.Mutex
	waves   []work.Wave
}

// The methods of requests between daemons.
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
	methodConfig  link.Method = "config"
)

// outcome is the result of a request at the pool's owner.
type outcome string

const (
	outcomeOK        outcome = "ok"
	outcomeNoSuchJob outcome = "unknown"
	outcomeRefused   outcome = "refused"
	outcomeNotRun    outcome = "not_run"
	outcomeInvalid   outcome = "invalid"   // the job can't be stored
	outcomeUndecoded outcome = "undecoded" // the job is stored, and its owner can't decode it
	outcomeNotOwner  outcome = "not_owner"
	outcomeUncertain outcome = "unsure"    // the request may have been carried out
	outcomeIDInUse   outcome = "in_use"    // the job's id is that of another tenant's job
	outcomeCanceled  outcome = "canceled"  // the job was canceled before it was submitted
	outcomeAbandoned outcome = "abandoned" // the client has left or its time is over, so that the request was not passed on
	// outcomeSuperseded is that of a request which a newer version of the configuration decides anew: the one that the entry
	// has, or the owner.
	outcomeSuperseded outcome = "superseded"
)

// request is a client's request, or one for a pool's report, as sent to the pool's owner.
type request struct {
	Job        work.JobID       `cbor:"1,keyasint"`
	Queue      work.Queue       `cbor:"2,keyasint"`
	Spec       *work.Spec       `cbor:"3,keyasint,omitempty"`
	Directives *jobs.Directives `cbor:"4,keyasint,omitempty"` // for methodReport
	Version    int64            `cbor:"5,keyasint,omitempty"` // of the configuration by which the request was decided
	Known      int64            `cbor:"6,keyasint,omitempty"` // the newest version that the sender knows of
	Host       string           `cbor:"7,keyasint,omitempty"`
	Path       string           `cbor:"8,keyasint,omitempty"`
	Access     work.Access      `cbor:"9,keyasint,omitempty"` // empty if the sender doesn't know tenants
	Tenant     work.TenantID    `cbor:"10,keyasint,omitempty"`
	Key        *work.KeyDigest  `cbor:"11,keyasint,omitempty"` // nil unless the access is by a tenant's key
}

// response is the owner's response to a [request].
type response struct {
	Outcome    outcome       `cbor:"1,keyasint"`
	State      work.JobState `cbor:"2,keyasint,omitempty"`
	Pending    int           `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Report     *sizer.Pool   `cbor:"5,keyasint,omitempty"`
	Version    int64         `cbor:"6,keyasint,omitempty"` // of the configuration that the owner has in force
}

// HandlePeerRequest answers requests of other daemons.
func (s *Service) HandlePeerRequest(ctx context.Context, m link.Method, body []byte) ([]byte, error) {
	switch m {
	case methodPing:
		return link.TypedHandler(func(context.Context, struct{}) (pingReply, error) { return s.pingReply(), nil })(ctx, body)
	case methodOwners:
		return link.TypedHandler(func(context.Context, struct{}) (ownerSnapshot, error) { return s.Owners.snapshot(), nil })(ctx, body)
	case methodConfig:
		return link.TypedHandler(func(_ context.Context, q configQuery) (configReply, error) { return s.Config.reply(q), nil })(ctx, body)
	case methodTime:
		return link.TypedHandler(func(context.Context, struct{}) (clockReading, error) {
			return clockReading{Now: s.Clock.Now().UnixNano()}, nil
		})(ctx, body)
	case methodCaps:
		return link.TypedHandler(s.handleCaps)(ctx, body)
	case methodRejoin:
		s.Member.JoinNow()
		s.Owners.RequestRefresh()
		return nil, nil
	}
	return link.TypedHandler(func(ctx context.Context, req request) (response, error) {
		s.Config.noteVersion(max(req.Version, req.Known))
		r := s.handleAsOwner(ctx, m, req)
		r.Version = s.Config.version()
		return r, nil
	})(ctx, body)
}

// handleAsOwner carries a request out in this daemon's shard for the pool, if it has one.
func (s *Service) handleAsOwner(ctx context.Context, m link.Method, req request) response {
	owner := s.Member.Owner(s.partitionOf(req.Queue.Pool))
	sh, ok := owner.(*shard.Shard)
	if !ok {
		return response{Outcome: outcomeNotOwner}
	}
	queue, caller, err := s.Config.decideAgain(m, req)
	if err != nil {
		s.Logger.Info("a request is decided by a version that is not the newest", "job", req.Job, "method", m, "queue", req.Queue.ID, "version", req.Version, "known", req.Known, "newest", s.Config.version(), "reason", err)
		return response{Outcome: outcomeSuperseded}
	}
	req.Queue = queue
	req.setTenant(caller)
	r, found, err := execute(ctx, sh, caller, m, req)
	var refused *shard.RefusedError
	switch {
	case err == nil && found:
		r.Outcome = outcomeOK
	case err == nil:
		r.Outcome = outcomeNoSuchJob
	case errors.As(err, &refused):
		r.Outcome, r.RetryAfter = outcomeRefused, refused.RetryAfter
	case errors.Is(err, shard.ErrIDInUse):
		r.Outcome = outcomeIDInUse
	case errors.Is(err, shard.ErrCanceled):
		r.Outcome = outcomeCanceled
	case errors.Is(err, shard.ErrInvalid):
		r.Outcome = outcomeInvalid
	case errors.Is(err, shard.ErrUndecoded):
		r.Outcome = outcomeUndecoded
	case errors.Is(err, shard.ErrNotStored):
		r.Outcome, r.RetryAfter = outcomeNotRun, admit.RetryAfterOutage(s.pingReply().SinceLogResponse)
	case errors.Is(err, shard.ErrNotOwner):
		r.Outcome = outcomeNotOwner
	default:
		r.Outcome = outcomeUncertain
	}
	return r
}

// execute passes a request to the owner of its pool. found is false if there is no such job for the caller.
func execute(ctx context.Context, sh *shard.Shard, caller work.Caller, m link.Method, req request) (r response, found bool, err error) {
	found = true
	switch m {
	case methodSubmit:
		err = sh.Submit(ctx, req.Queue, req.Job, req.Spec)
		if caller.Access == work.AccessOpen && errors.Is(err, shard.ErrIDInUse) {
			err = nil // the caller sees the jobs of all tenants, as does a client that repeats its submission
		}
	case methodCancel:
		found, err = sh.Cancel(ctx, caller, req.Queue.Pool, req.Job)
	case methodState:
		r.State, found, err = sh.State(ctx, caller, req.Queue.Pool, req.Job)
	case methodPending:
		r.Pending, err = sh.Pending(ctx, req.Queue.Pool, req.Queue.ID)
	case methodReport:
		var report sizer.Pool
		if req.Directives == nil {
			return r, false, errors.New("a request for a report without directives")
		}
		report, err = sh.Report(ctx, req.Queue.Pool, *req.Directives)
		r.Report = &report
	}
	return r, found, err
}

// partitionOf returns the partition that a pool belongs to.
func (s *Service) partitionOf(pool ident.PoolID) plog.TopicPartition {
	return plog.TopicPartition{Topic: shard.JobsTopic, Partition: shard.PartitionOf(pool, s.Partitions)}
}

// callOwner sends a request to the pool's owner and retries if the owner changes or doesn't answer. Retries are safe
// because jobs are identified by their id. If uncertain is true, one of the attempts may have been carried out.
func (s *Service) callOwner(ctx context.Context, m link.Method, req request) (r response, uncertain bool) {
	begin := s.Clock.Now()
	defer func() { countRequest(m, r.Outcome, s.Clock.Now().Sub(begin)) }()
	p := s.partitionOf(req.Queue.Pool)
	for {
		if m == methodSubmit && abandoned(ctx) {
			return response{Outcome: outcomeAbandoned}, uncertain
		}
		r = s.tryOwner(ctx, m, req, p)
		if r.Outcome == outcomeUncertain {
			uncertain = true
		}
		if r.Outcome != outcomeNotOwner && r.Outcome != outcomeUncertain {
			return r, uncertain
		}
		if ctx.Err() != nil || !retryOwner(m, s.Clock.Now().Sub(begin), uncertain, s.Connected()) {
			return r, uncertain
		}
		s.Owners.RequestRefresh()
		if clock.Sleep(ctx, s.Clock, ownerRetryPause) != nil {
			return r, uncertain
		}
	}
}

// abandoned reports whether nobody waits for the response to a request any more. The context of the request may not have ended
// yet: after this process has stood still, its timers and reads are carried out in any order.
func abandoned(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() != nil || bounded && !time.Now().Before(deadline) || guard.ClientGone(ctx)
}

// retryOwner reports whether a request without an answer from the pool's owner is sent again, elapsed after it came. A
// submission that may have been carried out is repeated as long as its client waits: the client can't send it again, and a
// repeat that succeeds tells the outcome. An isolated daemon gives up at once, since its clients are served elsewhere.
func retryOwner(m link.Method, elapsed time.Duration, uncertain, connected bool) bool {
	return connected && (elapsed <= ownerRetryTime || m == methodSubmit && uncertain)
}

// tryOwner makes one attempt to carry a request out at the owner of partition p.
func (s *Service) tryOwner(ctx context.Context, m link.Method, req request, p plog.TopicPartition) response {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if s.Member.Owner(p) != nil {
		return s.handleAsOwner(ctx, m, req)
	}
	addr := s.Owners.Address(p)
	if addr == "" {
		return response{Outcome: outcomeNotOwner}
	}
	r, err := link.Call[response](ctx, s.PeerClient, addr, m, req)
	if err == nil {
		s.Config.noteVersion(r.Version)
		return r
	}
	s.Logger.Info("the owner of the pool did not answer", "job", req.Job, "method", m, "owner", addr, "error", err)
	if errors.Is(err, link.ErrUnreachable) {
		return response{Outcome: outcomeNotOwner}
	}
	return response{Outcome: outcomeUncertain}
}

// Report implements ctrl.Pools.
func (s *Service) Report(ctx context.Context, pool ident.PoolID, d jobs.Directives) (sizer.Pool, error) {
	r := s.tryOwner(ctx, methodReport, request{Queue: work.Queue{Pool: pool}, Directives: &d}, s.partitionOf(pool))
	if r.Outcome != outcomeOK || r.Report == nil {
		s.Owners.RequestRefresh()
		return sizer.Pool{}, errors.Newf("pool %q: %s", pool, r.Outcome)
	}
	return *r.Report, nil
}

// Configured implements ctrl.Pools.
func (s *Service) Configured() []work.PoolConfig {
	if t := s.Config.Table(); t != nil {
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

// setWave adds or replaces a wave.
func (s *Service) setWave(w work.Wave) {
	s.wavesMu.Lock()
	defer s.wavesMu.Unlock()
	i := slices.IndexFunc(s.waves, func(x work.Wave) bool { return x.ID == w.ID })
	if i < 0 {
		s.waves = append(s.waves, w)
		s.Logger.Info("wave requested", "wave", w.ID, "machines", len(w.VMs), "within", w.TimeLimit, "at_once", w.MaxDown)
		return
	}
	s.waves[i] = w
}
