package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// silentTarget answers once, and then not until it is heard again.
type silentTarget struct {
	began time.Time
	heard atomic.Bool
	calls atomic.Int32
	lag   time.Duration // by which a failed call outlasts its timeout
}

func (s *silentTarget) Hold(ctx context.Context, _ HoldCall) (HoldAnswer, error) {
	if s.calls.Add(1) > 2 && !s.heard.Load() { // the second call gives the lease
		<-ctx.Done()
		time.Sleep(s.lag)
		return HoldAnswer{}, ctx.Err()
	}
	time.Sleep(10 * time.Millisecond)
	at := TargetTime(1 + time.Since(s.began).Milliseconds())
	return HoldAnswer{Clock: at, List: work.List{Target: "t", Born: 1}}, nil
}

func (*silentTarget) Start(context.Context, StartCall) (jobs.StartResult, TargetTime) {
	return jobs.StartOK, 0
}
func (*silentTarget) Stop(context.Context, jobs.StopOrder, work.Fence) error { return nil }
func (*silentTarget) Pace(context.Context, jobs.PaceOrder, work.Fence) error { return nil }
func (*silentTarget) Close()                                                 {}

// sink counts lapses.
type sink struct{ lapses atomic.Int32 }

func (*sink) Listed(work.List) (int64, bool)            { return 0, false }
func (*sink) Unheard(work.TargetID)                     {}
func (s *sink) Lapsed(work.TargetID)                    { s.lapses.Add(1) }
func (*sink) Started(jobs.StartOrder, jobs.StartResult) {}
func (*sink) Stopped(jobs.StopOrder, bool)              {}
func (*sink) Paced(jobs.PaceOrder, bool)                {}
func (*sink) Fenced()                                   {}
func (*sink) Confirmed() bool                           { return true }

// Guards against an overloaded owner that starts tasks again whose ends its targets have listed, since it reads the
// lists too late (TWICE, umurimo-hatch-grown scale-1: an owner on a weak VM), and against leases that never lapse.
func TestLeasesLapseOnlyWithoutLag(t *testing.T) {
	for _, test := range []struct {
		name string
		lag  time.Duration
		want bool
	}{{"silent target", 0, true}, {"overloaded owner", 3 * lagLimit, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &sink{}
			a := New(ctx, "t")
			a.Caller, a.Sink, a.Clock, a.Logger = &silentTarget{began: time.Now(), lag: test.lag}, s, clock.System(), hclog.NewNullLogger()
			a.Lease = 300 * time.Millisecond
			go a.Run()
			time.Sleep(busyWait + idleWait + 3*(holdMargin+probeTimeout))
			if got := s.lapses.Load() > 0; got != test.want {
				t.Errorf("lapsed = %v, want %v", got, test.want)
			}
		})
	}
}
