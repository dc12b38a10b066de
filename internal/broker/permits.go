package broker

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Permits grants slots on targets. After an error of Acquire the caller holds no slot and must not send the request.
type Permits interface {
	// Acquire waits for a slot; it returns ErrNoTarget, *OverloadedError, *QuarantinedError or the error of ctx.
	Acquire(ctx context.Context, req AcquireRequest) (Permit, error)
	// Release returns a slot; it is called exactly once for each acquired permit.
	Release(p Permit, report Report)
}

// AcquireRequest describes the request that needs a slot.
type AcquireRequest struct {
	Pool     ident.PoolID
	Request  ident.RequestID
	Job      string // requests of one job are expected to fail or succeed alike; see QuarantinedError
	Urgent   bool   // urgent requests are served before all others
	Deadline time.Time
	Avoid    []ident.VMID // targets that have failed this request already
}

// PermitID identifies a permit. It consists of the broker's entry, its term and a serial number.
type PermitID string

// Permit is the right to run one request on one target.
type Permit struct {
	ID         PermitID     `cbor:"id"`
	Target     ident.VMID   `cbor:"target"`
	Address    string       `cbor:"address"` // IP address and port of the target
	Zone       ident.ZoneID `cbor:"zone"`
	Pool       ident.PoolID `cbor:"pool"`
	Term       ident.Term   `cbor:"term"` // term of the broker that granted it
	ValidUntil time.Time    `cbor:"-"`    // no request may start later; on the clock of the process that holds the permit
}

// Result tells how the request ended that a permit was used for.
type Result string

// The results of a request.
const (
	OK           Result = "ok"
	Failed       Result = "failed"  // the target reported a failure or broke off the exchange
	Refused      Result = "refused" // the target refused the connection
	Unresponsive Result = "silent"  // the target did not respond on a new connection, so the request may still run
	Unused       Result = "unused"  // nothing was sent
)

// Report tells how a request went. The broker judges the target's health by the reports.
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
