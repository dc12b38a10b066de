package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	// cancelLimit is how long after the confirmation of a cancel a task of the job may still start.
	cancelLimit = 3 * time.Second
	// cancelRetry is how long a client goes on canceling.
	cancelRetry = 20 * time.Second
)

// leavers are clients that submit jobs, wait for a short time only, leave, and cancel the jobs at another daemon. The first daemon
// may be paused, so that it reads the submission after the cancel was confirmed.
type leavers struct {
	mu        sync.Mutex
	confirmed map[string]time.Time // job → when its cancel was confirmed
	started   map[string]time.Time // job → when a task of it was last started
}

func newLeavers(fleet *local.Fleet) *leavers {
	l := &leavers{confirmed: map[string]time.Time{}, started: map[string]time.Time{}}
	fleet.Recorder.Watch = func(task string, started bool) {
		if started {
			job, _, _ := strings.Cut(task, ".")
			l.mu.Lock()
			defer l.mu.Unlock()
			l.started[job] = time.Now()
		}
	}
	return l
}

// run submits and cancels jobs until end, as client n.
func (l *leavers) run(rng *rand.Rand, n int, daemons []*daemonProcess, end time.Time) {
	body := local.TwoSteps("30000", 300, 1, 1) // would run on, if it started and were not stopped
	var cancels sync.WaitGroup
	defer cancels.Wait()
	for i := 0; time.Now().Before(end); i++ {
		path := fmt.Sprintf("/%s/%08x%08x", soakPools[rng.IntN(len(soakPools))], n+1, 1<<24+i)
		at, elsewhere := daemons[rng.IntN(len(daemons))], daemons[rng.IntN(len(daemons))]
		waits, pause := time.Duration(10+rng.IntN(500))*time.Millisecond, time.Duration(rng.IntN(150))*time.Millisecond
		cancels.Go(func() {
			ctx, leave := context.WithTimeout(context.Background(), waits)
			callWithin(ctx, http.MethodPost, at.clientAddr, path, "", body)
			leave()
			for begin := time.Now(); time.Since(begin) < cancelRetry; time.Sleep(100 * time.Millisecond) {
				if status, _ := call(http.MethodDelete, elsewhere.clientAddr, path, "", ""); status == http.StatusOK || status == http.StatusGone {
					l.mu.Lock()
					defer l.mu.Unlock()
					l.confirmed[path] = time.Now()
					return
				}
			}
		})
		time.Sleep(pause)
	}
}

// check checks that no task of a canceled job has started, or runs, later than cancelLimit after the confirmation.
func (l *leavers) check(t *testing.T, daemons []*daemonProcess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := 0
	for path, at := range l.confirmed {
		started := l.started[path[strings.LastIndexByte(path, '/')+1:]]
		if !started.IsZero() {
			begun++
		}
		if late := started.Sub(at); !started.IsZero() && late > cancelLimit {
			t.Errorf("%s was started %v after its cancel was confirmed, want at most %v", path, late, cancelLimit)
		}
		if _, state := call(http.MethodGet, daemons[0].clientAddr, path, "", ""); state == "queued" || state == "active" {
			t.Errorf("%s is %s after its cancel was confirmed", path, state)
		}
	}
	if len(l.confirmed) == 0 {
		t.Error("no cancel was confirmed")
	}
	t.Logf("%d jobs canceled by clients that had left, %d of them after a start", len(l.confirmed), begun)
}
