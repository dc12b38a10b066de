package admit

import (
	"testing"
	"time"
)

// Guards against retry delays so short that a client has used up its five tries
// before an outage of the log of several seconds ends.
func TestRetriesOutlastLogOutage(t *testing.T) {
	const tries, outage = 5, 7 * time.Second
	for firstTry := time.Duration(0); firstTry < outage; firstTry += 100 * time.Millisecond {
		at := firstTry
		for try := 1; try < tries && at < outage; try++ {
			at += RetryAfterOutage(at)
		}
		if at < outage {
			t.Errorf("a client whose first try is %v after the log went down makes its last try after %v, want %v or more", firstTry, at, outage)
		}
	}
	if got, want := RetryAfterOutage(time.Minute), maxOutageRetry; got != want {
		t.Errorf("retry delay after an outage of one minute: %v, want %v", got, want)
	}
}
