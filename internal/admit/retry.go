package admit

import "time"

const (
	// RetryElsewhere is when a client should come back that reached a process which is cut off or has
	// just started. It is a whole number of seconds within which the balancer moves clients elsewhere.
	RetryElsewhere = 2 * time.Second
	// maxOutageRetry bounds how long a client stays away from a log that may be back any moment.
	maxOutageRetry = 4 * time.Second
)

// RetryAfterOutage says when a client should come back whose job could not be
// stored, if the log has not answered for that long. Clients try a few times
// only: waiting as long as the outage has lasted lets them outlast it.
func RetryAfterOutage(lasted time.Duration) time.Duration {
	return min(max(lasted, minRetry), maxOutageRetry)
}
