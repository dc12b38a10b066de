package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against a task that runs twice: its first start was not answered, the target crashed and was away for longer than its
// registration, and the start arrives once the target is back under its id. Guards also against targets that are kept for good.
func TestReturnedTargetRefusesLateStart(t *testing.T) {
	for name, test := range map[string]struct {
		away time.Duration
		want bool // a stop
	}{
		"back while the start may arrive": {7 * time.Second, true},
		"back later":                      {2 * maxCommandDelay, false},
	} {
		h := newHarness(t, 1)
		h.submit(work.Step{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: 20 * time.Second})
		start := h.startUnheard()
		h.pool.HandleRestart(h.now, start.Target, 1001)
		h.pool.Unregister(start.Target)
		h.pool.TakeCommands()
		h.now = h.now.Add(test.away)
		h.pool.Tick(h.now)
		if _, got := h.pool.targets[start.Target]; got != test.want {
			t.Errorf("%s: known while it is away: got %v, want %v", name, got, test.want)
		}
		h.register(start.Target)
		h.crashes[start.Target] = 1
		h.deliverReport(start.Target)
		stopped := false
		for _, cmd := range h.pool.TakeCommands() {
			stopped = stopped || cmd == StopCommand{Target: start.Target, Task: start.Task, Attempt: start.Attempt}
		}
		if stopped != test.want {
			t.Errorf("%s: stop of the late start: got %v, want %v", name, stopped, test.want)
		}
	}
}
