package jobd

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const testPath = "/queue/0000000000000001"

// The versions of the configuration by which the tests decide.
const (
	versionOpen    = "1" // without tenants
	versionTenants = "2" // key "k" is tenant a's, key "l" tenant b's
	versionRevoked = "3" // tenant a has lost its last key
	versionMoved   = "4" // key "k" is tenant b's
	versionEmpty   = "5" // an empty list of tenants
	versionPublic  = "6" // the queue is public
	versionOpened  = "7" // without tenants again
)

// tenantConfig returns the configuration of a version.
func tenantConfig(value []byte) (*work.Config, error) {
	c := &work.Config{Version: int64(value[0] - '0'), Routes: []work.Route{{Host: "h", Prefix: "/queue/", Queue: work.Queue{ID: "q", Pool: "p"}}}}
	k, l := work.DigestKey("k"), work.DigestKey("l")
	switch string(value[:1]) {
	case versionTenants:
		c.Tenants = []work.Tenant{{ID: "a", Keys: []work.KeyDigest{k}}, {ID: "b", Keys: []work.KeyDigest{l}}}
	case versionRevoked:
		c.Tenants = []work.Tenant{{ID: "a"}, {ID: "b", Keys: []work.KeyDigest{l}}}
	case versionMoved:
		c.Tenants = []work.Tenant{{ID: "a"}, {ID: "b", Keys: []work.KeyDigest{k, l}}}
	case versionEmpty:
		c.Tenants = []work.Tenant{}
	case versionPublic:
		c.Tenants, c.Routes[0].Queue.Public = []work.Tenant{}, true
	}
	return c, nil
}

// newTenantService returns a service whose log refuses all calls, with a version confirmed just now.
func newTenantService(version string) *Service {
	c := newTestConfiguration(refusingLog())
	c.Platform.DecodeConfig = tenantConfig
	c.apply(0, configRecord(version))
	c.confirm(time.Now())
	return &Service{Config: c, Clock: clock.System(), Logger: hclog.NewNullLogger()}
}

func mustDecideFor(t *testing.T, s *Service, key string) *Decision {
	t.Helper()
	d, err := s.Decide("h", testPath, work.DigestKey(key))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a client that is denied for its key, or served with a revoked one, by a version that has been replaced.
func TestRevokedKeyIsDecidedAnew(t *testing.T) {
	s := newTenantService(versionTenants)
	s.MaxRecord = 1 << 20
	unknown, known := mustDecideFor(t, s, "new"), mustDecideFor(t, s, "k")
	if unknown.Allowed() || !known.Allowed() {
		t.Errorf("allowed with an unknown key: %v, want false; with a known one: %v, want true", unknown.Allowed(), known.Allowed())
	}
	if err := unknown.Deny(t.Context(), 401); err != nil {
		t.Errorf("denial by the newest version: error %v", err)
	}
	s.Config.apply(1, configRecord(versionRevoked))
	s.Config.confirm(time.Now())
	if err := unknown.Deny(t.Context(), 401); !errors.Is(err, ErrSuperseded) {
		t.Errorf("denial by a replaced version: error %v, want %v", err, ErrSuperseded)
	}
	if err := known.Submit(t.Context(), "0000000000000001", &work.Spec{Steps: []work.Step{{Count: 1}}}); !errors.Is(err, ErrSuperseded) {
		t.Errorf("submission by a replaced version: error %v, want %v", err, ErrSuperseded)
	}
	if _, err := known.Cancel(t.Context(), "0000000000000001"); !errors.Is(err, ErrSuperseded) {
		t.Errorf("cancel by a replaced version: error %v, want %v", err, ErrSuperseded)
	}
	if _, _, err := known.State(t.Context(), "0000000000000001"); !errors.Is(err, ErrSuperseded) {
		t.Errorf("look-up by a replaced version: error %v, want %v", err, ErrSuperseded)
	}
	if mustDecideFor(t, s, "k").Allowed() {
		t.Error("allowed with the last key of a tenant, which has been revoked")
	}
}

// Guards against an owner that carries out what its newer version of the configuration doesn't allow, and against one that
// sends a client away whose decision stands.
func TestOwnerDecidesTenantAgain(t *testing.T) {
	tenant := func(id work.TenantID) work.Caller { return work.Caller{Access: work.AccessTenant, Tenant: id} }
	open, public := work.Caller{Access: work.AccessOpen}, work.Caller{Access: work.AccessPublic}
	for _, test := range []struct {
		name         string
		entry, owner string
		key          string
		want         work.Caller
		err          error
	}{
		{"the same version", versionTenants, versionTenants, "k", tenant("a"), nil},
		{"the entry has a newer version", versionTenants, versionOpen, "k", tenant("a"), nil},
		{"the entry has a newer version, which is public", versionPublic, versionTenants, "k", public, nil},
		{"the entry has a newer version, without tenants", versionOpened, versionTenants, "", open, nil},
		{"the key was another tenant's before", versionMoved, versionTenants, "k", tenant("b"), nil},
		{"the key has been revoked", versionTenants, versionRevoked, "k", work.Caller{}, errKeyChanged},
		{"the key is another tenant's", versionTenants, versionMoved, "k", work.Caller{}, errKeyChanged},
		{"another key has been revoked", versionTenants, versionRevoked, "l", tenant("b"), nil},
		{"all tenants have been removed", versionTenants, versionEmpty, "k", work.Caller{}, errKeyChanged},
		{"the queue is public", versionTenants, versionPublic, "k", public, nil},
		{"there are no tenants any more", versionTenants, versionOpened, "k", open, nil},
		{"there are tenants now", versionOpen, versionTenants, "k", work.Caller{}, errKeyChanged},
		{"there are tenants now, and a public queue", versionOpen, versionPublic, "", public, nil},
	} {
		for _, m := range []link.Method{methodSubmit, methodCancel, methodState} {
			req := mustDecideFor(t, newTenantService(test.entry), test.key).request("0000000000000001", &work.Spec{})
			owner := newTenantService(test.owner)
			owner.Config.noteVersion(req.Version)
			_, got, err := owner.Config.decideAgain(m, req)
			if got != test.want || !errors.Is(err, test.err) {
				t.Errorf("%s, %s: caller %+v, error %v, want %+v, %v", test.name, m, got, err, test.want, test.err)
			}
		}
	}
}

// previousRequest is a request as encoded by the version before tenants.
type previousRequest struct {
	Job     work.JobID `cbor:"1,keyasint"`
	Queue   work.Queue `cbor:"2,keyasint"`
	Spec    *work.Spec `cbor:"3,keyasint,omitempty"`
	Version int64      `cbor:"5,keyasint,omitempty"`
	Known   int64      `cbor:"6,keyasint,omitempty"`
	Host    string     `cbor:"7,keyasint,omitempty"`
	Path    string     `cbor:"8,keyasint,omitempty"`
}

// Guards against requests of the previous version of the program that are refused without need, or executed although they
// need a key, and against requests that the previous version can't read.
func TestRequestsOfPreviousVersion(t *testing.T) {
	old := previousRequest{Job: "0000000000000001", Queue: work.Queue{ID: "q", Pool: "p"}, Host: "h", Path: testPath}
	for _, test := range []struct {
		owner string
		want  work.Caller
		err   error
	}{
		{versionOpen, work.Caller{Access: work.AccessOpen}, nil},
		{versionTenants, work.Caller{}, errNoKey},
		{versionEmpty, work.Caller{}, errNoKey},
		{versionPublic, work.Caller{Access: work.AccessPublic}, nil},
	} {
		owner := newTenantService(test.owner)
		for _, version := range []int64{0, owner.Config.version(), owner.Config.version() + 1} {
			old.Version = version
			b, err := cbor.Marshal(old)
			if err != nil {
				t.Fatal(err)
			}
			var req request
			if err := cbor.Unmarshal(b, &req); err != nil {
				t.Fatal(err)
			}
			if _, got, err := owner.Config.decideAgain(methodSubmit, req); got != test.want || !errors.Is(err, test.err) {
				t.Errorf("version %d, owner with %s: caller %+v, error %v, want %+v, %v", version, test.owner, got, err, test.want, test.err)
			}
		}
		if _, _, err := owner.Config.decideAgain(methodReport, request{Queue: work.Queue{Pool: "p"}}); err != nil {
			t.Errorf("request for a report, owner with %s: error %v", test.owner, err)
		}
	}
	req := mustDecideFor(t, newTenantService(versionTenants), "k").request("0000000000000001", &work.Spec{Payload: "x", Steps: []work.Step{{Count: 1}}})
	b, err := cbor.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	var got previousRequest
	if err := cbor.Unmarshal(b, &got); err != nil || got.Job != req.Job || got.Path != req.Path || got.Spec.Payload != "x" {
		t.Errorf("the previous version reads %+v, error %v", got, err)
	}
	if bytes.Contains(b, []byte("\x61k")) {
		t.Error("the request contains the key")
	}
}

// Guards against a tenant that the body of a request or another process chooses.
func TestTenantOfJobIsTheCallers(t *testing.T) {
	original := &work.Spec{Payload: "x", Tenant: "forged"}
	for _, tenant := range []work.TenantID{"a", "", "forged"} {
		r := request{Spec: original}
		r.setTenant(work.Caller{Tenant: tenant})
		if r.Spec.Tenant != tenant || r.Spec.Payload != "x" || original.Tenant != "forged" {
			t.Errorf("tenant %q, specification %+v, want %q and an unchanged original", r.Spec.Tenant, r.Spec, tenant)
		}
	}
}

// Guards against keys that are sent to other daemons.
func TestKeysAreNotSentToPeers(t *testing.T) {
	s := newTenantService(versionOpen)
	s.Config.Platform.RedactConfig = func(value []byte) ([]byte, error) { return append(value[:1:1], " redacted"...), nil }
	s.Config.apply(1, configRecord(versionTenants+" secret"))
	for _, form := range []configForm{formPlain, formDeflated} {
		r := s.Config.reply(configQuery{Version: 1, Form: form})
		if got, err := r.encoded(); string(got) != versionTenants+" redacted" || err != nil {
			t.Errorf("form %q: %q, error %v, want no key", form, got, err)
		}
	}
	s.Config.Platform.RedactConfig = func([]byte) ([]byte, error) { return nil, errors.New("not possible") }
	s.Config.apply(2, configRecord(versionRevoked+" secret"))
	for _, form := range []configForm{formPlain, formDeflated} {
		r := s.Config.reply(configQuery{Version: 1, Form: form})
		if got, err := r.encoded(); len(got) > 0 || err != nil {
			t.Errorf("form %q: %q, error %v, want nothing", form, got, err)
		}
	}
}
