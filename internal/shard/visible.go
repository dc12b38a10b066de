package shard

import (
	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// ErrIDInUse means that nothing was stored because the id is that of another tenant's job.
var ErrIDInUse = errors.New("the id is that of another tenant's job")

// sees reports whether a job exists for the caller, as far as its tenant is concerned.
func (p *pool) sees(c work.Caller, id work.JobID) bool {
	tenant, known := p.Tenant(id)
	return !known || c.Sees(tenant)
}

// submitError returns the error of a submission that is stored or can't be. Where the id is in use, that is said of the
// other tenant's job: without it the id is free, and the submission may be repeated.
func submitError(err error, inUse bool) error {
	switch {
	case !inUse:
		return err
	case err == nil:
		return ErrIDInUse
	default:
		return ErrNotStored
	}
}
