package quota

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// The keys of the stored records. No job has such a key. The values are CBOR arrays, which a program that doesn't know these
// keys can't take for the record of a job. Each limit has a record of its own: a pool has limits of all tenants, of which
// few change at a time.
const (
	numbersKey = "~caps"
	keyPrefix  = "~caps/" // precedes the length of a pool's id, the id, and the tenant
)

// Record is a stored record of [Allowances].
type Record struct {
	Key   string
	Value []byte
}

// numbersRecord holds the newest accepted grant of each slot.
type numbersRecord struct {
	_       struct{} `cbor:",toarray"`
	Numbers [Slots]Number
}

// limitKey names a limit.
type limitKey struct {
	pool   ident.PoolID
	tenant work.TenantID
}

func (k limitKey) compare(o limitKey) int {
	return cmp.Or(cmp.Compare(k.pool, o.pool), cmp.Compare(k.tenant, o.tenant))
}

// recordKey returns the key of the record of a limit. The ids may contain any character.
func (k limitKey) recordKey() string {
	return keyPrefix + strconv.Itoa(len(k.pool)) + "/" + string(k.pool) + "/" + string(k.tenant)
}

// parseLimitKey reads a key that limitKey.recordKey has made.
func parseLimitKey(key string) (limitKey, error) {
	length, rest, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n >= len(rest) || rest[n] != '/' {
		return limitKey{}, errors.Newf("malformed key %q", key)
	}
	return limitKey{ident.PoolID(rest[:n]), work.TenantID(rest[n+1:])}, nil
}

// Allowances are the limits of the pools of one partition. The zero value has none. It is not safe for concurrent use.
type Allowances struct {
	accepted [Slots]Number
	durable  [Slots]Number
	limits   map[ident.PoolID]map[work.TenantID]Limit
	changed  map[limitKey]bool // since the last write began
	renumber bool              // accepted has changed since then

	// The safeguards that a test switches off to show that it finds a violation without them.
	withoutDurability, withoutOrder bool
}

// Applied is a change that a grant has made.
type Applied struct {
	Change
	Before Limit
}

// Accept applies a grant unless a newer one, or the same, has been accepted, and returns the changes that it has made.
func (a *Allowances) Accept(g *Grant) []Applied {
	if g.Slot < 0 || g.Slot >= Slots {
		return nil
	}
	known := a.accepted[g.Slot]
	since := uint64(0)
	if known.Epoch == g.Number.Epoch {
		since = known.Seq
	}
	if (g.Number.Compare(known) <= 0 || g.Base > since) && !a.withoutOrder {
		return nil
	}
	a.accepted[g.Slot], a.renumber = g.Number, true
	var made []Applied
	for _, c := range g.Changes {
		before := a.limits[c.Pool][c.Tenant]
		if SlotOf(c.Tenant) == g.Slot && a.set(c) {
			made = append(made, Applied{c, before})
		}
	}
	return made
}

// set sets a limit, and reports whether that changes it.
func (a *Allowances) set(c Change) bool {
	if a.limits == nil {
		a.limits, a.changed = map[ident.PoolID]map[work.TenantID]Limit{}, map[limitKey]bool{}
	}
	of := a.limits[c.Pool]
	if of[c.Tenant] == c.Limit {
		return false
	}
	a.changed[limitKey{c.Pool, c.Tenant}] = true
	if c.Limit.Allowed == (work.Resources{}) { // the same as none
		delete(of, c.Tenant)
		return true
	}
	if of == nil {
		of = map[work.TenantID]Limit{}
		a.limits[c.Pool] = of
	}
	of[c.Tenant] = c.Limit
	return true
}

// Of returns the limits of a pool by tenant. The caller must not change them.
func (a *Allowances) Of(pool ident.PoolID) map[work.TenantID]Limit { return a.limits[pool] }

// Pools returns the pools that have limits, in order.
func (a *Allowances) Pools() []ident.PoolID { return slices.Sorted(maps.Keys(a.limits)) }

// Stored returns the newest grant of a slot that is durable.
func (a *Allowances) Stored(s Slot) Number {
	if a.withoutDurability {
		return a.accepted[s]
	}
	return a.durable[s]
}

// Write is what one write to the log stores.
type Write struct {
	Records []Record
	numbers [Slots]Number
	limits  []limitKey
}

// BeginWrite returns what has changed since the last call; nil if nothing has. The record of the numbers is the last one: if
// a write is stored in part, the limits may be newer than the numbers, and the allocator counts both.
func (a *Allowances) BeginWrite() (*Write, error) {
	if !a.renumber && len(a.changed) == 0 {
		return nil, nil
	}
	w := &Write{numbers: a.accepted, limits: slices.SortedFunc(maps.Keys(a.changed), limitKey.compare)}
	for _, key := range w.limits {
		r := Record{Key: key.recordKey()}
		if l, has := a.limits[key.pool][key.tenant]; has { // else the record is removed
			var err error
			if r.Value, err = cbor.Marshal(l); err != nil {
				return nil, err
			}
		}
		w.Records = append(w.Records, r)
	}
	value, err := cbor.Marshal(numbersRecord{Numbers: a.accepted})
	if err != nil {
		return nil, err
	}
	w.Records = append(w.Records, Record{numbersKey, value})
	clear(a.changed)
	a.renumber = false
	return w, nil
}

// MarkDurable notes that a write is durable as a whole.
func (a *Allowances) MarkDurable(w *Write) { a.durable = w.numbers }

// RetryWrite marks the changes of a failed write for the next one.
func (a *Allowances) RetryWrite(w *Write) {
	for _, key := range w.limits {
		a.changed[key] = true
	}
	a.renumber = true
}

// IsRecord reports whether a key is that of a [Record].
func IsRecord(key string) bool { return key == numbersKey || strings.HasPrefix(key, keyPrefix) }

// Restore reads a stored record at a takeover.
func (a *Allowances) Restore(r Record) error {
	if r.Key == numbersKey {
		var n numbersRecord
		if err := cbor.Unmarshal(r.Value, &n); err != nil {
			return err
		}
		a.accepted, a.durable = n.Numbers, n.Numbers
		return nil
	}
	key, err := parseLimitKey(r.Key)
	if err != nil {
		return err
	}
	var l Limit
	if err := cbor.Unmarshal(r.Value, &l); err != nil {
		return err
	}
	a.set(Change{Pool: key.pool, Tenant: key.tenant, Limit: l})
	clear(a.changed)
	return nil
}

// Reports reports whether the response to a grant needs an entry for a tenant with a limit in a pool, where the pool plans by
// an effective limit and a cap.
func (g *Grant) Reports(t work.TenantID, stored, effective Limit, u *Usage, c work.Resources) bool {
	if u.Next != (work.Resources{}) || u.Wanted != (work.Resources{}) || !amountOf(u.Held).within(amountOf(effective.Allowed), amountOf(c)) {
		return true
	}
	return (g.Full || slices.Contains(g.Tenants, t)) && (u.Held != (work.Resources{}) || stored.Allowed != (work.Resources{}))
}
