package admit

import "time"

const (
	// RetryElsewhere is the retry delay for a client whose request reached a process that is cut off
	// from the log and from the other processes, or that has just started. It is a whole number of
	// seconds, and long enough for the load balancer to route the client to another process.
	RetryElsewhere = 2 * time.Second
	// maxOutageRetry bounds the retry delay during an outage of the log, which may end at any moment.
	maxOutageRetry = 4 * time.Second
)

// RetryAfterOutage returns the retry delay for a client whose job could not be
// stored because the log has not answered for the given time. Clients retry only
// a few times; a delay as long as the outage so far lets their retries outlast it.
func RetryAfterOutage(outage time.Duration) time.Duration {
	return min(max(outage, minRetry), maxOutageRetry)
}
