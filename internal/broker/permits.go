package broker

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Permits hands out slots on targets. An error of Acquire means that nothing
// was granted, so the request has not run.
type Permits interface {
	// Acquire waits for a slot; it returns ErrNoTarget, *OverloadedError, *QuarantinedError or the error of ctx.
	Acquire(ctx context.Context, ask AcquireRequest) (Permit, error)
	// Release gives a slot back; it is called exactly once for each acquired permit.
	Release(p Permit, rep Report)
}

// AcquireRequest describes the request that needs a slot.
type AcquireRequest struct {
	Pool     ident.PoolID
	Request  ident.RequestID
	Job      string // requests of one job fail or succeed alike; see Report
	Urgent   bool   // the urgent class is served first
	Deadline time.Time
	Avoid    []ident.VMID // targets that have failed this request already
}

// PermitID identifies a permit among those of one broker term.
type PermitID string

// Permit is the right to run one request on one target.
type Permit struct {
	ID         PermitID     `cbor:"id"`
	Target     ident.VMID   `cbor:"target"`
	Address    string       `cbor:"address"` // IP address and port of the target
	Zone       ident.ZoneID `cbor:"zone"`
	Pool       ident.PoolID `cbor:"pool"`
	Term       ident.Term   `cbor:"term"` // term of the broker that granted it
	ValidUntil time.Time    `cbor:"-"`    // on the clock of the process that holds the permit
}

// Result is what became of the request that a permit was used for.
type Result string

// The results of a request.
const (
	OK           Result = "ok"
	Failed       Result = "failed"  // the target answered with a failure of its own
	Refused      Result = "refused" // the target refused the connection
	Unresponsive Result = "silent"  // a new connection to the target went silent
	Unused       Result = "unused"  // nothing was sent
)

// Report tells the broker how the target fared; the broker judges the target's health by it.
type Report struct {
	Result   Result
	Job      string
	Duration time.Duration
}

// ErrNoTarget means that the pool has no serving target that can be reached.
var ErrNoTarget = errors.New("no target serves this pool")

// OverloadedError means that the request would not be served before its deadline.
type OverloadedError struct {
	RetryAfter time.Duration // time after which a new attempt may succeed
}

// Error describes the overload.
func (e *OverloadedError) Error() string {
	return "the pool is overloaded; retry after " + e.RetryAfter.String()
}

// QuarantinedError means that requests of this job fail on every target; a few are still let through as trials.
type QuarantinedError struct {
	Job        string
	RetryAfter time.Duration // time after which the next trial is due
}

// Error describes the quarantine.
func (e *QuarantinedError) Error() string {
	return "job " + strconv.Quote(e.Job) + " is in quarantine because it fails on every target"
}
