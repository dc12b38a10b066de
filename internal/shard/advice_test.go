package shard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/advise"
	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// newAdviser returns what a daemon passes to its shards.
func newAdviser(service agent.Adviser) agent.Adviser {
	q := &advise.Queue{Service: service, Clock: clock.System(), Logger: hclog.NewNullLogger()}
	q.Init()
	return q
}

// Guards against a queue with advice that stands still for good after a burst: calls that wait for others at the service were given
// up and made anew, so that the service was busy with calls that nobody waited for.
func TestBurstOfAdviceStartsAllJobs(t *testing.T) {
	for name, service := range map[string]*fakes.Adviser{
		"a burst":             {Duration: 220 * time.Millisecond, Validity: 3 * time.Second},
		"calls of 3 s":        {Duration: 3 * time.Second, Validity: 30 * time.Second},
		"a full queue before": {Duration: 220 * time.Millisecond, Validity: 3 * time.Second, Others: 32},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const burst = 40
				queue := testQueue
				queue.Advice = &work.AdviceConfig{DecisionTime: service.Duration, TicketValidity: service.Validity}
				target := &oneTarget{}
				s := newShard(&fakes.Log{}, plog.Epoch(1), time.Now)
				s.Targets, s.Queues, s.Adviser = target, func() []work.Queue { return []work.Queue{queue} }, newAdviser(service)
				runShard(t, s)
				defer func() {
					s.Stop()
					time.Sleep(time.Second) // for calls to the target
				}()
				spec := &work.Spec{Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 10}, Estimate: time.Second}}}
				for i := range burst {
					if err := s.Submit(t.Context(), queue, work.JobID(fmt.Sprintf("%016d", i)), spec); err != nil {
						t.Fatalf("submit: %v", err)
					}
				}
				time.Sleep(2 * (burst + time.Duration(service.Others)) * service.Duration)
				target.mu.Lock()
				defer target.mu.Unlock()
				if got, want := len(target.runs), burst; got != want {
					t.Errorf("started jobs: got %d, want %d", got, want)
				}
			})
		})
	}
}
