package check

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

const secret = "secret-key"

// valid returns a configuration without faults, which each test changes.
func valid() *work.Config {
	queue := func(id work.QueueID, public bool) work.Queue {
		return work.Queue{ID: id, Pool: "cut", MaxAttempts: 2, SlackFactor: 1.6, Objective: time.Second, Public: public}
	}
	return &work.Config{
		Version: 7, MaxBody: 256 << 10,
		Routes: []work.Route{
			{Host: "desk.example", Prefix: "/cut/", Queue: queue("cut", false)},
			{Host: "desk.example", Prefix: "/ping/", Queue: queue("ping", true)},
		},
		Pools: []work.PoolConfig{{ID: "cut"}, {ID: "off", PoweredOff: true}},
		Tenants: []work.Tenant{
			{ID: "a", Keys: []work.KeyDigest{work.DigestKey(secret)}, Weight: 1, Cap: work.Resources{CPU: 4000}},
			{ID: "b", Keys: []work.KeyDigest{work.DigestKey("another-" + secret)}, Weight: 1},
		},
	}
}

// brief returns the findings without their messages.
func brief(findings []Finding) []Finding {
	out := make([]Finding, 0, len(findings))
	for _, f := range findings {
		f.Message = ""
		out = append(out, f)
	}
	return out
}

// Guards against a fault that is not found, is found elsewhere or with another severity, or is found in a configuration
// that has none.
func TestConfig(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*work.Config)
		want   []Finding
	}{
		{"none", func(*work.Config) {}, nil},
		{"no tenants", func(c *work.Config) { c.Tenants = nil }, nil},
		{"no version", func(c *work.Config) { c.Version = 0 }, []Finding{{SeverityError, VersionNotPositive, section(SectionVersion), ""}}},
		{"a body limit below 0", func(c *work.Config) { c.MaxBody = -1 }, []Finding{{SeverityWarning, BodyLimitInvalid, Place{SectionLimits, WholeSection, FieldMaxBody}, ""}}},
		{"a small body limit", func(c *work.Config) { c.MaxBody = 100 }, []Finding{{SeverityWarning, BodyLimitSmall, Place{SectionLimits, WholeSection, FieldMaxBody}, ""}}},
		{"no body limit", func(c *work.Config) { c.MaxBody = 0 }, nil},
		{"the same route", func(c *work.Config) { c.Routes = append(c.Routes, c.Routes[0]) }, []Finding{{SeverityWarning, RouteShadowed, inRoute(2, ""), ""}}},
		{"hosts that differ in case", func(c *work.Config) {
			c.Routes[1].Host, c.Routes[1].Prefix = "DESK.example", "/cut/"
		}, []Finding{{SeverityWarning, RouteShadowed, inRoute(1, ""), ""}}},
		{"a longer prefix after a shorter one", func(c *work.Config) { c.Routes[1].Prefix = "/cut/ping/" }, nil},
		{"no host", func(c *work.Config) { c.Routes[0].Host = "" }, []Finding{{SeverityWarning, RouteUnreachable, inRoute(0, FieldHost), ""}}},
		{"a host with a port", func(c *work.Config) { c.Routes[0].Host = "desk.example:80" }, []Finding{{SeverityWarning, RouteUnreachable, inRoute(0, FieldHost), ""}}},
		{"an IPv6 host", func(c *work.Config) { c.Routes[0].Host = "[::1]" }, nil},
		{"a prefix without its first slash", func(c *work.Config) { c.Routes[0].Prefix = "cut/" }, []Finding{{SeverityWarning, RouteUnreachable, inRoute(0, FieldPrefix), ""}}},
		{"a prefix without its last slash", func(c *work.Config) { c.Routes[0].Prefix = "/cut" }, []Finding{{SeverityWarning, RouteUnusual, inRoute(0, FieldPrefix), ""}}},
		{"no queue name", func(c *work.Config) { c.Routes[0].Queue.ID = "" }, []Finding{{SeverityWarning, NameMissing, inRoute(0, FieldName), ""}}},
		{"a pool that is not listed", func(c *work.Config) { c.Routes[1].Queue.Pool = "sew" }, []Finding{{SeverityWarning, PoolNotListed, inRoute(1, FieldPool), ""}}},
		{"a pool that is powered off", func(c *work.Config) { c.Routes[1].Queue.Pool = "off" }, []Finding{{SeverityWarning, PoolPoweredOff, inRoute(1, FieldPool), ""}}},
		{"a queue with two settings", func(c *work.Config) { c.Routes[1].Queue.ID = "cut" }, []Finding{{SeverityWarning, QueueContradiction, inRoute(1, ""), ""}}},
		{"a queue with two addresses", func(c *work.Config) { c.Routes[1].Queue = c.Routes[0].Queue }, nil},
		{"a queue in two pools", func(c *work.Config) {
			c.Pools = append(c.Pools, work.PoolConfig{ID: "sew"})
			c.Routes[1].Queue.ID, c.Routes[1].Queue.Pool = "cut", "sew"
		}, []Finding{{SeverityNote, QueueInSeveralPools, inRoute(1, FieldPool), ""}}},
		{"no objective", func(c *work.Config) { c.Routes[0].Queue.Objective = 0 }, []Finding{{SeverityWarning, ObjectiveZero, inRoute(0, FieldObjective), ""}}},
		{"an objective below 0", func(c *work.Config) { c.Routes[0].Queue.Objective = -1 }, []Finding{{SeverityWarning, ObjectiveZero, inRoute(0, FieldObjective), ""}}},
		{"no attempts", func(c *work.Config) { c.Routes[0].Queue.MaxAttempts = 0 }, []Finding{{SeverityWarning, AttemptsUnlimited, inRoute(0, FieldMaxAttempts), ""}}},
		{"a factor below 1", func(c *work.Config) { c.Routes[0].Queue.SlackFactor = 0.99 }, []Finding{{SeverityWarning, SlackBelowOne, inRoute(0, FieldSlackFactor), ""}}},
		{"a factor of 1", func(c *work.Config) { c.Routes[0].Queue.SlackFactor = 1 }, nil},
		{"tickets that expire during the call", func(c *work.Config) {
			c.Routes[0].Queue.Advice = &work.AdviceConfig{DecisionTime: 5, TimePerTarget: 2, TicketValidity: 7}
		}, []Finding{{SeverityWarning, AdviceExpired, inRoute(0, FieldValidity), ""}}},
		{"tickets that last", func(c *work.Config) {
			c.Routes[0].Queue.Advice = &work.AdviceConfig{DecisionTime: 5, TimePerTarget: 2, TicketValidity: 8}
		}, nil},
		{"no pool name", func(c *work.Config) { c.Pools[1].ID = "" }, []Finding{{SeverityWarning, NameMissing, inPool(1, FieldName), ""}}},
		{"a pool twice", func(c *work.Config) { c.Pools[1] = c.Pools[0] }, []Finding{{SeverityWarning, PoolDuplicate, inPool(1, FieldName), ""}}},
		{"an unused pool", func(c *work.Config) { c.Pools[1].PoweredOff = false }, []Finding{{SeverityNote, PoolUnused, inPool(1, ""), ""}}},
		{"an empty list of tenants", func(c *work.Config) { c.Tenants = []work.Tenant{} }, []Finding{{SeverityWarning, NoTenantHasKey, section(SectionTenants), ""}}},
		{"an empty list of tenants, all public", func(c *work.Config) {
			c.Tenants, c.Routes = []work.Tenant{}, c.Routes[1:]
		}, nil},
		{"a tenant without keys", func(c *work.Config) { c.Tenants[1].Keys = nil }, []Finding{{SeverityWarning, TenantWithoutKeys, inTenant(1, FieldKeys), ""}}},
		{"a key twice", func(c *work.Config) { c.Tenants[1].Keys = append(c.Tenants[1].Keys, c.Tenants[1].Keys[0]) }, []Finding{{SeverityNote, KeyRepeated, inTenant(1, FieldKeys), ""}}},
		{"no weight", func(c *work.Config) { c.Tenants[1].Weight = 0 }, []Finding{{SeverityWarning, WeightZero, inTenant(1, FieldWeight), ""}}},
		{"a cap without a weight", func(c *work.Config) { c.Tenants[0].Weight = 0 }, []Finding{{SeverityWarning, WeightZero, inTenant(0, FieldWeight), ""}}},
		{"a cap in cores", func(c *work.Config) { c.Tenants[0].Cap.CPU = 4 }, []Finding{{SeverityNote, CapSmall, inTenant(0, FieldCapCPU), ""}}},
		{"some with the same priority", func(c *work.Config) {
			c.Tenants = append(c.Tenants, work.Tenant{ID: "c", Keys: []work.KeyDigest{{1}}, Weight: 1, Priority: 1})
		}, []Finding{{SeverityNote, PriorityShared, inTenant(0, FieldPriority), ""}}},
	} {
		c := valid()
		test.change(c)
		findings := Config(c)
		if got := brief(findings); !slices.Equal(got, test.want) {
			t.Errorf("%s: findings %+v, want %+v", test.name, findings, test.want)
		}
	}
}

// Guards against a change that is not reported, is reported twice, or is reported although nothing has changed.
func TestChanges(t *testing.T) {
	const note = SeverityNote
	for _, test := range []struct {
		name   string
		change func(*work.Config)
		want   []Finding
	}{
		{"none", func(*work.Config) {}, nil},
		{"the same version", func(c *work.Config) { c.Version = 7 }, []Finding{{SeverityError, VersionNotHigher, section(SectionVersion), ""}}},
		{"a lower version", func(c *work.Config) { c.Version = 6 }, []Finding{{SeverityError, VersionNotHigher, section(SectionVersion), ""}}},
		{"the body limit", func(c *work.Config) { c.MaxBody = 0 }, []Finding{{note, Changed, Place{SectionLimits, WholeSection, FieldMaxBody}, ""}}},
		{"the order", func(c *work.Config) { slices.Reverse(c.Routes); slices.Reverse(c.Pools); slices.Reverse(c.Tenants) }, nil},
		{"the case of a host", func(c *work.Config) { c.Routes[0].Host = "DESK.example" }, nil},
		{"a route removed", func(c *work.Config) { c.Routes = c.Routes[1:] }, []Finding{{note, Removed, section(SectionRoutes), ""}}},
		{"a prefix", func(c *work.Config) { c.Routes[0].Prefix = "/sew/" }, []Finding{{note, Added, inRoute(0, ""), ""}, {note, Removed, section(SectionRoutes), ""}}},
		{"a shadowed route added", func(c *work.Config) {
			c.Routes = append(c.Routes, c.Routes[0])
			c.Routes[2].Queue.ID = "other"
		}, nil},
		{"queue and pool", func(c *work.Config) { c.Routes[0].Queue.ID, c.Routes[0].Queue.Pool = "x", "y" }, []Finding{{note, Changed, inRoute(0, FieldName), ""}, {note, Changed, inRoute(0, FieldPool), ""}}},
		{"settings of a queue", func(c *work.Config) {
			c.Routes[0].Queue = work.Queue{ID: "cut", Pool: "cut", Priority: 3, MaxAttempts: 3, SlackFactor: 3, Objective: 3, Public: true, Advice: &work.AdviceConfig{}}
		}, []Finding{
			{note, Changed, inRoute(0, FieldPublic), ""},
			{note, Changed, inRoute(0, FieldPriority), ""},
			{note, Changed, inRoute(0, FieldMaxAttempts), ""},
			{note, Changed, inRoute(0, FieldObjective), ""},
			{note, Changed, inRoute(0, FieldSlackFactor), ""},
			{note, Changed, inRoute(0, FieldAdvice), ""},
		}},
		{"a pool", func(c *work.Config) { c.Pools[1].PoweredOff = false }, []Finding{{note, Changed, inPool(1, FieldPoweredOff), ""}}},
		{"another pool", func(c *work.Config) { c.Pools[1].ID = "sew" }, []Finding{{note, Added, inPool(1, ""), ""}, {note, Removed, section(SectionPools), ""}}},
		{"no tenants", func(c *work.Config) { c.Tenants = nil }, []Finding{
			{SeverityWarning, TenantsRemoved, section(SectionTenants), ""},
			{note, Removed, section(SectionTenants), ""},
			{note, Removed, section(SectionTenants), ""},
		}},
		{"another tenant", func(c *work.Config) { c.Tenants[0].ID = "c" }, []Finding{{note, Added, inTenant(0, ""), ""}, {note, Removed, section(SectionTenants), ""}}},
		{"limits of a tenant", func(c *work.Config) {
			c.Tenants[1].Priority, c.Tenants[1].Weight, c.Tenants[1].Cap.GPU = 1, 2, 3
		}, []Finding{{note, Changed, inTenant(1, FieldPriority), ""}, {note, Changed, inTenant(1, FieldWeight), ""}, {note, Changed, inTenant(1, FieldCap), ""}}},
		{"keys that change hands", func(c *work.Config) {
			c.Tenants[0].Keys, c.Tenants[1].Keys = c.Tenants[1].Keys, c.Tenants[0].Keys
		}, []Finding{
			{note, Removed, inTenant(0, FieldKeys), ""},
			{note, Added, inTenant(0, FieldKeys), ""},
			{note, Removed, inTenant(1, FieldKeys), ""},
			{note, Added, inTenant(1, FieldKeys), ""},
		}},
	} {
		c := valid()
		c.Version++
		test.change(c)
		findings := Changes(valid(), c)
		if got := brief(findings); !slices.Equal(got, test.want) {
			t.Errorf("%s: changes %+v, want %+v", test.name, findings, test.want)
		}
	}
	before := valid()
	before.Version, before.Tenants = 6, nil
	got := brief(Changes(before, valid()))
	want := []Finding{{note, TenantsIntroduced, section(SectionTenants), ""}, {note, Added, inTenant(0, ""), ""}, {note, Added, inTenant(1, ""), ""}}
	if !slices.Equal(got, want) {
		t.Errorf("tenants introduced: changes %+v, want %+v", got, want)
	}
}

// Guards against whole digests in messages, and against messages that don't tell which key is meant or whose it was.
func TestKeysInMessages(t *testing.T) {
	c := valid()
	c.Version++
	c.Tenants[0].Keys, c.Tenants[1].Keys = c.Tenants[1].Keys, c.Tenants[0].Keys
	c.Tenants[0].Keys = append(c.Tenants[0].Keys, c.Tenants[0].Keys[0])
	text := fmt.Sprint(Changes(valid(), c), Config(c))
	digest := work.DigestKey(secret)
	if strings.Contains(text, secret) || strings.Contains(text, fmt.Sprintf("%x", digest[:])) {
		t.Errorf("%s: a key or a whole digest", text)
	}
	for _, want := range []string{"added: the key with digest " + digest.String() + `, which was one of tenant "a"`, "listed before"} {
		if !strings.Contains(text, want) {
			t.Errorf("got %s, want %q", text, want)
		}
	}
}

// Guards against a setting that is added to queues, pools or tenants and that Changes does not compare.
func TestEveryFieldIsCompared(t *testing.T) {
	for _, test := range []struct {
		value any
		want  int // fields that are compared, or are the entry's identity
	}{{work.Config{}, 5}, {work.Route{}, 3}, {work.Queue{}, 8}, {work.AdviceConfig{}, 3}, {work.PoolConfig{}, 2}, {work.Tenant{}, 5}, {work.Resources{}, 3}} {
		if got := reflect.TypeOf(test.value).NumField(); got != test.want {
			t.Errorf("%T has %d fields, want %d: compare the new ones in Changes, and check them in Config", test.value, got, test.want)
		}
	}
}
