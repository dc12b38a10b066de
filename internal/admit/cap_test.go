package admit

import (
	"testing"
	"time"
)

// Guards against work behind a cap that can't be done in time, for any of the resources and also while the pool's capacity is
// not known, and against jobs that are refused although their tenant's cap leaves them enough.
func TestDecideByCap(t *testing.T) {
	const s = time.Second
	job := Demand{CPUTime: 10 * s, LongestChain: s, Objective: 2 * s} // of use for 6 s
	own := CapTimes{CPU: s, Memory: s / 2}
	for name, test := range map[string]struct {
		backlog CapTimes
		demand  Demand
		limit   Limit // empty if the job is admitted
		retry   time.Duration
	}{
		"no backlog":                       {CapTimes{}, job, "", 0},
		"4 s of backlog":                   {CapTimes{CPU: 4 * s}, job, "", 0},
		"8 s of backlog":                   {CapTimes{CPU: 8 * s}, job, LimitCap, 3 * s},
		"8 s of backlog by memory":         {CapTimes{CPU: s, Memory: 8 * s}, job, LimitCap, 3 * s},
		"8 s of backlog by accelerators":   {CapTimes{GPU: 8 * s}, job, LimitCap, 3 * s},
		"a job that has waited already":    {CapTimes{CPU: 4 * s}, Demand{LongestChain: s, Objective: 2 * s, Elapsed: 2 * s}, LimitCap, s},
		"a service job behind a backlog":   {CapTimes{CPU: 80 * s}, Demand{Service: true}, "", 0},
		"a scheduled job behind a backlog": {CapTimes{CPU: 80 * s}, Demand{Scheduled: true}, "", 0},
	} {
		admitted := Decide(Load{CapacityUnknown: true}, test.demand)
		got := DecideByCap(test.backlog, own, test.demand, admitted)
		if got.Limit != test.limit || got.Admit != (test.limit == "") || got.RetryAfter != test.retry {
			t.Errorf("%s: admitted %v, limit %q, retry after %v; want limit %q, retry after %v", name, got.Admit, got.Limit, got.RetryAfter, test.limit, test.retry)
		}
	}
}
