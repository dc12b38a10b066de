package jobd

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

var (
	// ErrIDInUse means that a job was not submitted because its id is that of another tenant's job.
	ErrIDInUse = errors.New("the id is in use")

	errKeyChanged = errors.New("the newer configuration has another tenant for the key, or none")
	errNoKey      = errors.New("the queue needs a key, and the request is of a process that doesn't send one")
)

// decideCaller returns what a snapshot of the configuration makes of the client of a request to the owner of a pool, given
// the queue that the snapshot selects. A decision by the same version or a newer one stands. The error says why the request
// may not be carried out.
func (s *configSnapshot) decideCaller(m link.Method, req request, queue work.Queue) (work.Caller, error) {
	stated := work.Caller{Access: req.Access, Tenant: req.Tenant}
	switch {
	case m == methodReport: // of another process, not of a client
		return stated, nil
	case req.Access == "" && (s.table == nil || s.table.Tenants == nil):
		return work.Caller{Access: work.AccessOpen}, nil
	case req.Access == "":
		// The sender has not checked the key. It doesn't tell whether the queue is public either.
		if i := slices.IndexFunc(s.table.Queues, func(q work.Queue) bool { return q.ID == queue.ID && q.Pool == queue.Pool }); i < 0 || s.table.NeedsKey(s.table.Queues[i]) {
			return work.Caller{}, errNoKey
		}
		return work.Caller{Access: work.AccessPublic}, nil
	case req.Version >= s.version():
		return stated, nil
	}
	var key work.KeyDigest
	if req.Key != nil {
		key = *req.Key
	}
	caller, ok := s.table.Caller(queue, key)
	if !ok || caller.Access == work.AccessTenant && caller.Tenant != req.Tenant {
		return work.Caller{}, errKeyChanged
	}
	return caller, nil
}

// setTenant makes a job that is submitted one of the caller's tenant.
func (r *request) setTenant(c work.Caller) {
	if r.Spec == nil || r.Spec.Tenant == c.Tenant {
		return
	}
	spec := *r.Spec
	spec.Tenant = c.Tenant
	r.Spec = &spec
}

// withoutKeys returns an encoded configuration in the form that is sent to other processes, which has the digests of the
// tenants' keys instead of the keys; nil if that is not possible.
func (p *Platform) withoutKeys(logger hclog.Logger, config *work.Config, encoded []byte) []byte {
	if config.Tenants == nil || p.RedactConfig == nil {
		return encoded
	}
	out, err := p.RedactConfig(encoded)
	if err != nil {
		logger.Error("the configuration can't be sent to other daemons: its keys can't be removed", "version", config.Version, "error", err)
		return nil
	}
	return out
}
