package jobd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Decision is what one version of the configuration makes of a client's request. Everything about the request is decided
// by that version; a newer one takes a new decision.
type Decision struct {
	service *Service
	config  configSnapshot
	arrived time.Time
	host    string
	path    string
	queue   work.Queue
	rest    string
	found   bool
	key     work.KeyDigest
	caller  work.Caller
	allowed bool // the queue is public, or the key is that of a tenant, or none is needed
}

// ErrSuperseded means that a newer version of the configuration is in force than that of the decision, which has had no
// effect; the request is to be decided anew.
var ErrSuperseded = errors.New("a newer version of the configuration is in force")

// effectAgeWithinTarget is the part of ApplyWithin, in tenths, for which a configuration that isn't known to be the newest
// any more still accepts and cancels jobs. The rest is a margin for clocks of different speeds.
const effectAgeWithinTarget = 9

// outageExtension is how much longer a configuration accepts and cancels jobs while neither the log nor a peer can tell
// whether there is a newer one: while the operators' records can't be read, they can hardly be written.
const outageExtension = 5 * time.Second

// maxDecisionWait is how long after its arrival a request waits for evidence. Of two requests, the one that came later by
// more than that isn't answered by the older version.
const maxDecisionWait = 200 * time.Millisecond

// Decide selects the queue of a request by the configuration in force, and the tenant by the digest of the client's key. The
// error is [ErrNoConfig] if there is no configuration.
func (s *Service) Decide(host, path string, key work.KeyDigest) (*Decision, error) {
	d := &Decision{service: s, config: s.Config.snapshot(), arrived: s.Clock.Now(), host: host, path: path, key: key}
	if d.config.table == nil {
		return nil, ErrNoConfig
	}
	if d.queue, d.rest, d.found = d.config.table.Find(host, path); d.found {
		d.caller, d.allowed = d.config.table.Caller(d.queue, key)
	}
	return d, nil
}

// Found reports whether the request selects a queue.
func (d *Decision) Found() bool { return d.found }

// Allowed reports whether the client may use the queue: it has the key of a tenant, or needs none. No other method that
// carries a request out may be called if it is false.
func (d *Decision) Allowed() bool { return d.allowed }

// Rest returns the part of the path after that of the queue, which names the job.
func (d *Decision) Rest() string { return d.rest }

// MaxBody returns the maximum size of a request body in bytes; 0 means that there is no limit.
func (d *Decision) MaxBody() int64 { return d.config.table.MaxBody }

// Deny returns nil if the client may be told that what the request asks for doesn't exist or isn't taken: the version of
// the decision was the newest a moment before the request arrived. The error is [ErrSuperseded], or a [*NotRunError] if
// whether there is a newer version is not known.
func (d *Decision) Deny(ctx context.Context, status int) error {
	s := d.service
	err := d.confirm(ctx, s.Config.MaxDenialAge())
	s.Logger.Info("denial", "host", d.host, "path", d.path, "queue", d.queue.ID, "tenant", d.caller.Tenant, "key", d.keyLogged(), "status", status, "version", d.config.version(), "unconfirmed", s.Config.ageOf(d.config), "newest", s.Config.version(), "denied", err == nil)
	return err
}

// confirm returns nil if the version of the decision was the newest at most maxAge before the request arrived. While that
// version is in force, the decision learns when it was last confirmed.
func (d *Decision) confirm(ctx context.Context, maxAge time.Duration) error {
	c := d.service.Config
	ctx, cancel := context.WithTimeout(ctx, maxDecisionWait-c.Clock.Now().Sub(d.arrived))
	defer cancel()
	newest := c.check.NewestSince(ctx, d.arrived.Add(-maxAge))
	now := c.snapshot()
	if now.version() != d.config.version() {
		return ErrSuperseded
	}
	d.config = now
	if !newest {
		return d.service.notRunError(response{})
	}
	return nil
}

// mayAct returns nil if the request may be carried out by the version of the decision. The error is [ErrSuperseded] or a
// [*NotRunError], as for [Decision.Deny]. While nobody who answers knows of a newer version, that of the decision may be
// older by outageExtension.
func (d *Decision) mayAct(ctx context.Context) error {
	c := d.service.Config
	maxAge := c.ApplyWithin * effectAgeWithinTarget / 10
	err := d.confirm(ctx, maxAge)
	if err == nil || errors.Is(err, ErrSuperseded) {
		return err
	}
	if !c.behind() {
		maxAge += outageExtension
	}
	if d.config.confirmedAt.Before(d.arrived.Add(-maxAge)) {
		return err
	}
	return nil
}

// mayRead returns [ErrSuperseded] if a newer version is in force than that of the decision. A process that knows of a newer
// one leaves it to the pool's owner to decide by that, and one that can't tell shows jobs by the version that it has.
func (d *Decision) mayRead(ctx context.Context) error {
	if err := d.mayAct(ctx); errors.Is(err, ErrSuperseded) {
		return err
	}
	return nil
}

// Submit submits a job. The error is nil if the job is stored, a [*work.SpecError] if it can't be stored, a
// [*shard.RefusedError], a [*NotRunError], [shard.ErrCanceled], [ErrIDInUse] or [ErrSuperseded] if it is not stored and never will be, and
// [ErrUnknownOutcome] if it may be stored.
func (d *Decision) Submit(ctx context.Context, id work.JobID, spec *work.Spec) error {
	s, q := d.service, d.queue
	owned := *spec
	owned.Tenant = d.caller.Tenant
	spec = &owned
	if err := jobs.CheckStorable(id, q, spec, s.MaxRecord); err != nil {
		s.Logger.Info("submit", "job", id, "queue", q.ID, "tenant", d.caller.Tenant, "pool", q.Pool, "outcome", outcomeInvalid, "version", d.config.version(), "error", err)
		return err
	}
	if err := d.mayAct(ctx); err != nil {
		d.logNotPassed("submit", id, err)
		return err
	}
	r, uncertain := s.callOwner(ctx, methodSubmit, d.request(id, spec))
	var err error
	switch {
	case r.Outcome == outcomeOK:
	case r.Outcome == outcomeSuperseded && !uncertain:
		err = d.superseded()
	case r.Outcome == outcomeIDInUse: // an earlier attempt would have found the same job
		err = ErrIDInUse
	case r.Outcome == outcomeCanceled: // an earlier attempt would have found the same
		err = shard.ErrCanceled
	case uncertain, r.Outcome == outcomeUndecoded: // an earlier attempt may still be stored, or is
		err = ErrUnknownOutcome
	case r.Outcome == outcomeInvalid:
		err = &work.SpecError{Reason: shard.ErrInvalid.Error()}
	case r.Outcome == outcomeRefused:
		err = &shard.RefusedError{RetryAfter: r.RetryAfter}
	default:
		err = s.notRunError(r)
	}
	s.Logger.Info("submit", "job", id, "queue", q.ID, "tenant", d.caller.Tenant, "pool", q.Pool, "outcome", r.Outcome, "unsure", uncertain, "retry_after", r.RetryAfter, "version", d.config.version())
	return err
}

// Cancel cancels a job; found is false if there is no such job in the pool of the queue, and none can be submitted for some time.
// The error is a [*NotRunError] if that can't be kept for want of space.
func (d *Decision) Cancel(ctx context.Context, id work.JobID) (found bool, err error) {
	s := d.service
	if err := d.mayAct(ctx); err != nil {
		d.logNotPassed("cancel", id, err)
		return false, err
	}
	r, uncertain := s.callOwner(ctx, methodCancel, d.request(id, nil))
	s.Logger.Info("cancel", "job", id, "queue", d.queue.ID, "tenant", d.caller.Tenant, "outcome", r.Outcome, "unsure", uncertain, "version", d.config.version())
	switch {
	case r.Outcome == outcomeOK:
		return true, nil
	case r.Outcome == outcomeNoSuchJob:
		return false, nil
	case r.Outcome == outcomeSuperseded && !uncertain:
		return false, d.superseded()
	case r.Outcome == outcomeRefused && !uncertain:
		return false, &NotRunError{RetryAfter: r.RetryAfter}
	default:
		return false, ErrUnknownOutcome
	}
}

// State returns the state of a job; found is false if there is no such job in the pool of the queue.
func (d *Decision) State(ctx context.Context, id work.JobID) (state work.JobState, found bool, err error) {
	if err := d.mayRead(ctx); err != nil {
		return "", false, err
	}
	r, _ := d.service.callOwner(ctx, methodState, d.request(id, nil))
	switch r.Outcome {
	case outcomeOK:
		return r.State, true, nil
	case outcomeNoSuchJob:
		return "", false, nil
	case outcomeSuperseded:
		return "", false, d.superseded()
	default:
		return "", false, d.service.notRunError(r)
	}
}

// Pending returns how many jobs of the queue have not started.
func (d *Decision) Pending(ctx context.Context) (int, error) {
	if err := d.mayRead(ctx); err != nil {
		return 0, err
	}
	r, _ := d.service.callOwner(ctx, methodPending, d.request("", nil))
	switch r.Outcome {
	case outcomeOK:
		return r.Pending, nil
	case outcomeSuperseded:
		return 0, d.superseded()
	default:
		return 0, d.service.notRunError(r)
	}
}

// superseded returns the error for a request that the pool's owner has left undone because it knows of a newer version:
// [ErrSuperseded] if that is in force here by now, and otherwise a [*NotRunError].
func (d *Decision) superseded() error {
	if d.service.Config.version() != d.config.version() {
		return ErrSuperseded
	}
	return d.service.notRunError(response{})
}

// logNotPassed logs that a request was not passed to the pool's owner.
func (d *Decision) logNotPassed(name string, id work.JobID, err error) {
	result := outcomeNotRun
	if errors.Is(err, ErrSuperseded) {
		result = outcomeSuperseded
	}
	s := d.service
	s.Logger.Info(name, "job", id, "queue", d.queue.ID, "pool", d.queue.Pool, "outcome", result, "version", d.config.version(), "unconfirmed", s.Config.ageOf(d.config), "newest", s.Config.version())
}

// request returns the request to the owner of the queue's pool.
func (d *Decision) request(id work.JobID, spec *work.Spec) request {
	version := d.config.version()
	r := request{
		Job: id, Queue: d.queue, Spec: spec, Version: version, Known: max(version, d.service.Config.announced.Load()), Host: d.host, Path: d.path,
		Access: d.caller.Access, Tenant: d.caller.Tenant,
	}
	if d.caller.Access == work.AccessTenant {
		r.Key = &d.key
	}
	return r
}

// keyLogged returns the beginning of the digest of the client's key for the log; empty if it has sent none that can be valid.
func (d *Decision) keyLogged() string {
	if d.key == (work.KeyDigest{}) {
		return ""
	}
	return d.key.String()
}

// notRunError returns the error for a request that was not carried out, with the time after which to retry.
func (s *Service) notRunError(r response) error {
	switch {
	case !s.Connected():
		return &NotRunError{RetryAfter: admit.RetryElsewhere}
	case r.Outcome == outcomeNotRun:
		return &NotRunError{RetryAfter: r.RetryAfter}
	default:
		return &NotRunError{RetryAfter: admit.RetryAfterOutage(0)}
	}
}
