package work

// Access is by what a client may use a queue.
type Access string

// The kinds of access. A request of a process that doesn't know tenants states none.
const (
	// AccessOpen is that of all clients while the configuration has no tenants.
	AccessOpen Access = "open"
	// AccessPublic is that of all clients of a public queue.
	AccessPublic Access = "public"
	// AccessTenant is that of a client with a tenant's key.
	AccessTenant Access = "tenant"
)

// Caller is what a configuration makes of a client.
type Caller struct {
	Access Access
	Tenant TenantID // empty unless Access is AccessTenant
}

// Sees reports whether the job of a tenant exists for the caller. The tenant is empty if the job belongs to none.
func (c Caller) Sees(tenant TenantID) bool {
	return c.Access == AccessOpen || tenant == "" || tenant == c.Tenant
}
