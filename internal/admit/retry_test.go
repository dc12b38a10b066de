package admit

import (
	"testing"
	"time"
)

// Answers an outage of the log of several seconds: a client that tries five
// times in all, and finds the log down at first, is there when it is back.
func TestClientsOutlastAnOutage(t *testing.T) {
	const tries, outage = 5, 7 * time.Second
	for began := time.Duration(0); began < outage; began += 100 * time.Millisecond {
		at := began
		for try := 1; try < tries && at < outage; try++ {
			at += RetryAfterOutage(at)
		}
		if at < outage {
			t.Errorf("a client that came %v after the log went down tries for the last time after %v, want %v or more", began, at, outage)
		}
	}
	if got, want := RetryAfterOutage(time.Minute), maxOutageRetry; got != want {
		t.Errorf("after a minute clients come back in %v, want %v", got, want)
	}
}
