package check

import "fmt"

// Severity is how serious a finding is.
type Severity string

// The severities, the most serious one first.
const (
	// SeverityError is that of a file that the daemons would not put in force.
	SeverityError Severity = "error"
	// SeverityWarning is that of an entry that would be in force but can't work, or contradicts another one.
	SeverityWarning Severity = "warning"
	// SeverityNote is that of a change, or of something unusual that works.
	SeverityNote Severity = "note"
)

// Code identifies a kind of finding.
type Code string

// The kinds of findings. Those of errors that the decoder reports are in package platform.
const (
	VersionNotPositive  Code = "version_not_positive"
	VersionNotHigher    Code = "version_not_higher"
	RouteShadowed       Code = "route_shadowed"
	RouteUnreachable    Code = "route_unreachable"
	RouteUnusual        Code = "route_unusual"
	QueueContradiction  Code = "queue_contradiction"
	QueueInSeveralPools Code = "queue_in_several_pools"
	NameMissing         Code = "name_missing"
	PoolNotListed       Code = "pool_not_listed"
	PoolPoweredOff      Code = "pool_powered_off"
	PoolDuplicate       Code = "pool_duplicate"
	PoolUnused          Code = "pool_unused"
	ObjectiveZero       Code = "objective_zero"
	AttemptsUnlimited   Code = "attempts_unlimited"
	SlackBelowOne       Code = "slack_below_one"
	AdviceExpired       Code = "advice_expired"
	BodyLimitInvalid    Code = "body_limit_invalid"
	BodyLimitSmall      Code = "body_limit_small"
	NoTenantHasKey      Code = "no_tenant_has_key"
	TenantWithoutKeys   Code = "tenant_without_keys"
	KeyRepeated         Code = "key_repeated"
	WeightZero          Code = "weight_zero"
	CapSmall            Code = "cap_small"
	PriorityShared      Code = "priority_shared"
	Added               Code = "added"
	Removed             Code = "removed"
	Changed             Code = "changed"
	TenantsRemoved      Code = "tenants_removed"
	TenantsIntroduced   Code = "tenants_introduced"
)

// Section is a part of a configuration.
type Section string

// The sections. The zero value stands for the whole configuration.
const (
	SectionVersion Section = "version"
	SectionRoutes  Section = "routes"
	SectionPools   Section = "pools"
	SectionTenants Section = "tenants"
	SectionLimits  Section = "limits"
)

// Field is a field of an entry.
type Field string

// The fields. The zero value stands for the whole entry.
const (
	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldPool        Field = "pool"
	FieldObjective   Field = "objective"
	FieldMaxAttempts Field = "max_attempts"
	FieldPriority    Field = "priority"
	FieldPublic      Field = "public"
	FieldSlackFactor Field = "slack_factor"
	FieldAdvice      Field = "advice"
	FieldValidity    Field = "validity"
	FieldPoweredOff  Field = "powered_off"
	FieldKeys        Field = "keys"
	FieldWeight      Field = "weight"
	FieldCap         Field = "cap"
	FieldCapCPU      Field = "cap_cpu"
	FieldMaxBody     Field = "max_body"
)

// WholeSection is the index of a place that is no entry of a list.
const WholeSection = -1

// Place is where in a configuration a finding is.
type Place struct {
	Section Section
	Index   int // of the entry, or WholeSection
	Field   Field
}

// Finding is a fault or a change of a configuration.
type Finding struct {
	Severity Severity
	Code     Code
	Place    Place
	Message  string
}

// findings collects findings.
type findings []Finding

func (f *findings) add(s Severity, c Code, p Place, format string, args ...any) {
	*f = append(*f, Finding{s, c, p, fmt.Sprintf(format, args...)})
}

func section(s Section) Place { return Place{Section: s, Index: WholeSection} }

func inRoute(i int, f Field) Place { return Place{SectionRoutes, i, f} }

func inPool(i int, f Field) Place { return Place{SectionPools, i, f} }

func inTenant(i int, f Field) Place { return Place{SectionTenants, i, f} }
