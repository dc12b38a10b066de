package space

import (
	"cmp"
	"sync/atomic"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Use is what a part of the state belongs to.
type Use string

// The uses of space.
const (
	Transient Use = "transient" // small jobs that run at once and end by themselves
	Resident  Use = "resident"  // the other unfinished jobs: large, scheduled or service ones
	Finished  Use = "finished"  // jobs that have ended and are still shown
	Runs      Use = "runs"      // runs of tasks
	// Cancellations is for those of unknown jobs.
	Cancellations Use = "cancellations"
)

// SmallJob is the size up to which a job is small.
const SmallJob ident.Bytes = 16 << 10

const (
	// residentPart and residentParts are the part of a limit that resident jobs may take.
	residentPart, residentParts = 3, 4
	// runsParts is the part of the limit that runs may take, beside the jobs that are bounded by it: more than the tasks of
	// ordinary jobs need on a thousand targets.
	runsParts = 2
	// cancellationsParts is the part of the limit that cancellations of unknown jobs may take, beside the jobs.
	cancellationsParts = 8
	// partitionParts is the part of the smallest VM's memory for one partition.
	partitionParts = 8
	// totalParts is the part of a process's memory for all its partitions.
	totalParts = 5
	// DefaultSmallest is assumed as the memory of the smallest VM.
	DefaultSmallest ident.Bytes = 160_000_000
)

// PartitionLimit returns the limit of a partition, given the memory of the smallest VM that may own it and that of this one. Either
// is 0 if it is not known.
func PartitionLimit(smallest, own ident.Bytes) ident.Bytes {
	if smallest <= 0 {
		smallest = DefaultSmallest
	}
	if own > 0 {
		smallest = min(smallest, own)
	}
	return smallest / partitionParts
}

// TotalLimit returns the limit of a process with some memory, for all its partitions.
func TotalLimit(memory ident.Bytes) ident.Bytes { return memory / totalParts }

// residentShare returns what resident jobs may take of a limit; the rest is kept for transient ones.
func residentShare(limit ident.Bytes) ident.Bytes { return limit / residentParts * residentPart }

// transientShare returns what is kept for transient jobs.
func transientShare(limit ident.Bytes) ident.Bytes {
	return limit / residentParts * (residentParts - residentPart)
}

// Total is the space of a process. It is safe for concurrent use once its exported fields are set.
type Total struct {
	Limit   ident.Bytes                // 0 sets no limit
	Changed func(u Use, n ident.Bytes) // called with each change; may be nil
	used    atomic.Int64
}

// Used returns the bytes in use.
func (t *Total) Used() ident.Bytes { return ident.Bytes(t.used.Load()) }

// Account is the space of one partition. It is not safe for concurrent use. Its zero value has no limit.
type Account struct {
	Limit ident.Bytes // 0 sets no limit
	Total *Total      // of the process; may be nil
	// Cancellations is the limit on those of unknown jobs; 0 stands for an eighth of Limit.
	Cancellations ident.Bytes
	used          map[Use]ident.Bytes

	deferred  int         // stored jobs that are not in memory
	admitted  ident.Bytes // of jobs that this owner has admitted
	overdrawn ident.Bytes // of jobs that were restored without space
}

// Add counts n more bytes of a use, or fewer if n is negative.
func (a *Account) Add(u Use, n ident.Bytes) {
	if a.used == nil {
		a.used = map[Use]ident.Bytes{}
	}
	a.used[u] += n
	if a.Total == nil {
		return
	}
	a.Total.used.Add(int64(n))
	if a.Total.Changed != nil {
		a.Total.Changed(u, n)
	}
}

// Used returns the bytes of a use.
func (a *Account) Used(u Use) ident.Bytes { return a.used[u] }

// Close gives back what the account has of the total.
func (a *Account) Close() {
	for u, n := range a.used {
		a.Add(u, -n)
	}
}

// AddDeferred counts n more stored jobs for which there was no space at the takeover, or fewer if n is negative.
func (a *Account) AddDeferred(n int) { a.deferred += n }

// AddAdmitted counts n more bytes of jobs that this owner has admitted, which Add counts as well.
func (a *Account) AddAdmitted(n ident.Bytes) { a.admitted += n }

// AddOverdrawn counts n more bytes of jobs that were restored without space, which Add counts as well.
func (a *Account) AddOverdrawn(n ident.Bytes) { a.overdrawn += n }

// MayOverdraw reports whether a stored job of n bytes may be restored although there is no space.
func (a *Account) MayOverdraw(n ident.Bytes) bool {
	return a.overdrawn == 0 || a.overdrawn+n <= transientShare(a.Limit)
}

// Admits reports whether a new job of n bytes may be admitted. While stored jobs are deferred, they have all but the part that
// is kept for transient jobs.
func (a *Account) Admits(u Use, n ident.Bytes) bool {
	if a.deferred > 0 && a.Limit > 0 && (u != Transient || a.admitted+n > transientShare(a.Limit)) {
		return false
	}
	return a.Fits(u, n)
}

// Fits reports whether n more bytes of a use are within the limits. A resident job of any size fits if there is no other,
// and so does a gang if nothing else runs.
func (a *Account) Fits(u Use, n ident.Bytes) bool {
	if u == Runs {
		return a.Limit <= 0 || a.used[Runs] == 0 || a.used[Runs]+n <= a.Limit/runsParts
	}
	if u == Cancellations {
		limit := cmp.Or(a.Cancellations, a.Limit/cancellationsParts)
		return (limit <= 0 || a.used[Cancellations]+n <= limit) && (a.Total == nil || a.Total.Limit <= 0 || a.Total.Used()+n <= a.Total.Limit)
	}
	if u == Resident && a.used[Resident] == 0 {
		n = min(n, SmallJob)
	}
	jobs := a.used[Transient] + a.used[Resident] + a.used[Finished]
	switch {
	case a.Limit > 0 && jobs+n > a.Limit:
		return false
	case u == Resident && a.Limit > 0 && a.used[Resident]+n > residentShare(a.Limit):
		return false
	case a.Total == nil || a.Total.Limit <= 0:
		return true
	case u == Resident:
		return a.Total.Used()+n <= residentShare(a.Total.Limit)
	default:
		return a.Total.Used()+n <= a.Total.Limit
	}
}
