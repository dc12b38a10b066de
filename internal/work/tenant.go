package work

import (
	"crypto/sha256"
	"encoding/hex"
)

// TenantID is the name of a tenant.
type TenantID string

// KeyDigest is the SHA-256 digest of a tenant's key. Keys are secrets: only their digests are kept, compared and sent to
// other processes. The zero value stands for no key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key; the zero value for an empty key.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// String returns the first bytes of the digest, enough to tell keys apart in a log.
func (k KeyDigest) String() string {
	const shown = 4
	return hex.EncodeToString(k[:shown])
}

// Tenant is the operators' configuration of a tenant, a customer whose jobs share the fleet with those of others.
type Tenant struct {
	ID       TenantID
	Keys     []KeyDigest
	Priority int
	Weight   float64 // its share when not all jobs can run, relative to the other tenants
	// Cap limits what its tasks hold on all targets together. An amount of 0 sets no limit for that resource.
	Cap Resources
}
