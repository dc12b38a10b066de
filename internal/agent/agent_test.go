package agent

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// silentClient answers two calls, and then none until reachable is set.
type silentClient struct {
	began     time.Time
	reachable atomic.Bool
	calls     atomic.Int32
	lag       time.Duration // by which a failed call exceeds its timeout
}

func (s *silentClient) Hold(ctx context.Context, _ HoldRequest) (HoldResponse, error) {
	if s.calls.Add(1) > 2 && !s.reachable.Load() { // the second call gives the lease
		<-ctx.Done()
		time.Sleep(s.lag)
		return HoldResponse{}, ctx.Err()
	}
	time.Sleep(10 * time.Millisecond)
	at := TargetTime(1 + time.Since(s.began).Milliseconds())
	return HoldResponse{Clock: at, Report: work.RunReport{Target: "t", Incarnation: 1}}, nil
}

func (*silentClient) Start(context.Context, StartRequest) (jobs.StartResult, TargetTime) {
	return jobs.StartOK, 0
}
func (*silentClient) Stop(context.Context, jobs.StopCommand, work.Fence) error { return nil }
func (*silentClient) Pace(context.Context, jobs.PaceCommand, work.Fence) error { return nil }
func (*silentClient) Close()                                                   {}

// countingHandler counts expired leases.
type countingHandler struct{ expiries atomic.Int32 }

func (*countingHandler) RunsReported(work.RunReport) (int64, bool)         { return 0, false }
func (*countingHandler) Unreachable(work.TargetID)                         {}
func (s *countingHandler) LeaseExpired(work.TargetID)                      { s.expiries.Add(1) }
func (*countingHandler) StartAnswered(jobs.StartCommand, jobs.StartResult) {}
func (*countingHandler) StopAnswered(jobs.StopCommand, bool)               {}
func (*countingHandler) PaceAnswered(jobs.PaceCommand, bool)               {}
func (*countingHandler) Fenced()                                           {}
func (*countingHandler) Permit() permit.Permit                             { return permit.Permit{} }

// Guards against an overloaded owner that starts tasks twice: it reads run reports too late, so it takes the leases for
// expired although the targets have reported the ends of the runs. Guards also against leases that never expire.
func TestLeaseExpiresOnlyWithoutLag(t *testing.T) {
	for _, test := range []struct {
		name string
		lag  time.Duration
		want bool
	}{{"unreachable target", 0, true}, {"overloaded owner", 3 * maxLag, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			handler := &countingHandler{}
			a := New(ctx, "t")
			a.Client, a.Handler, a.Clock, a.Logger = &silentClient{began: time.Now(), lag: test.lag}, handler, clock.System(), hclog.NewNullLogger()
			a.Lease = 300 * time.Millisecond
			go a.Run()
			time.Sleep(busyWait + idleWait + 3*(holdMargin+probeTimeout))
			if got := handler.expiries.Load() > 0; got != test.want {
				t.Errorf("lease expired = %v, want %v", got, test.want)
			}
		})
	}
}

// countingClient reports runs of one incarnation and counts starts.
type countingClient struct {
	silentClient
	starts atomic.Int32
}

func (s *countingClient) Hold(context.Context, HoldRequest) (HoldResponse, error) {
	time.Sleep(10 * time.Millisecond)
	return HoldResponse{Clock: 1, Report: work.RunReport{Target: "t", Incarnation: 2}}, nil
}

func (s *countingClient) Start(context.Context, StartRequest) (jobs.StartResult, TargetTime) {
	s.starts.Add(1)
	return jobs.StartOK, 0
}

// resultHandler records the results of starts.
type resultHandler struct {
	countingHandler
	results chan jobs.StartResult
}

func (s *resultHandler) StartAnswered(_ jobs.StartCommand, r jobs.StartResult) { s.results <- r }

// Guards against starts that are sent to a new incarnation after they waited for a slot while the target restarted. The
// new incarnation doesn't know that these runs were given up, and would run the tasks at the same time as their next runs.
func TestStartIsForOneIncarnation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client, handler := &countingClient{}, &resultHandler{results: make(chan jobs.StartResult, 1)}
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, handler, clock.System(), hclog.NewNullLogger(), time.Second
	go a.Run()
	time.Sleep(100 * time.Millisecond) // a report of incarnation 2 has been read
	for _, test := range []struct {
		incarnation int64
		want        jobs.StartResult
		sent        int32
	}{{1, jobs.StartWrongTarget, 0}, {2, jobs.StartOK, 1}} {
		a.Send(ctx, jobs.StartCommand{Target: "t", Attempt: 1, Incarnation: test.incarnation})
		if got := <-handler.results; got != test.want || client.starts.Load() != test.sent {
			t.Errorf("start for incarnation %d: %q, %d sent, want %q and %d", test.incarnation, got, client.starts.Load(), test.want, test.sent)
		}
	}
}

// restartingClient restarts at the first start, which it doesn't answer. Long polls of the first incarnation are then never
// answered.
type restartingClient struct {
	silentClient
	restarted atomic.Bool
}

func (c *restartingClient) Hold(ctx context.Context, call HoldRequest) (HoldResponse, error) {
	incarnation := int64(1)
	if c.restarted.Load() {
		incarnation = 2
	} else if call.Wait > 0 {
		<-ctx.Done()
		return HoldResponse{}, ctx.Err()
	}
	return HoldResponse{Clock: 1, Report: work.RunReport{Target: "t", Incarnation: incarnation}}, nil
}

func (c *restartingClient) Start(context.Context, StartRequest) (jobs.StartResult, TargetTime) {
	c.restarted.Store(true)
	return jobs.StartNoResponse, 0
}

// reportHandler records the incarnations that have reported.
type reportHandler struct {
	countingHandler
	incarnations chan int64
}

func (h *reportHandler) RunsReported(r work.RunReport) (int64, bool) {
	h.incarnations <- r.Incarnation
	return 0, false
}

// Guards against a crash that becomes known only when the long poll to the ended incarnation times out.
func TestRestartIsKnownByUnansweredStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	handler := &reportHandler{incarnations: make(chan int64, 1000)}
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = &restartingClient{}, handler, clock.System(), hclog.NewNullLogger(), time.Second
	go a.Run()
	if got := <-handler.incarnations; got != 1 {
		t.Fatalf("report of incarnation %d, want 1", got)
	}
	time.Sleep(50 * time.Millisecond) // a long poll is in progress
	a.Send(ctx, jobs.StartCommand{Target: "t", Attempt: 1, Incarnation: 1})
	select {
	case got := <-handler.incarnations:
		if got != 2 {
			t.Errorf("report of incarnation %d, want 2", got)
		}
	case <-time.After(probeTimeout):
		t.Errorf("no report of the new incarnation %v after the start", probeTimeout)
	}
}

// incarnationClient reports an incarnation that can change, and records the last acknowledgment that it receives.
type incarnationClient struct {
	silentClient
	incarnation atomic.Int64
	acked       atomic.Int64
}

func (c *incarnationClient) Hold(_ context.Context, h HoldRequest) (HoldResponse, error) {
	c.acked.Store(h.Acked)
	time.Sleep(5 * time.Millisecond)
	return HoldResponse{Clock: 1, Report: work.RunReport{Target: "t", Incarnation: c.incarnation.Load()}}, nil
}

// Guards against an acknowledgment that is sent to a new incarnation with a number of the previous one. The target would
// forget ends of runs before they were read, and the tasks would run again.
func TestAcknowledgmentIsForOneIncarnation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &incarnationClient{}
	client.incarnation.Store(1)
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, &countingHandler{}, clock.System(), hclog.NewNullLogger(), time.Second
	go a.Run()
	await := func(want int64) {
		t.Helper()
		for range 200 {
			if client.acked.Load() == want {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("acknowledged up to %d, want %d", client.acked.Load(), want)
	}
	time.Sleep(50 * time.Millisecond)
	a.Acknowledge(1, 57)
	await(57)
	client.incarnation.Store(2)
	await(0)
	a.Acknowledge(1, 58) // the owner has not processed the report of the new incarnation yet
	time.Sleep(50 * time.Millisecond)
	if got := client.acked.Load(); got != 0 {
		t.Errorf("an end of the previous incarnation is acknowledged to the new one up to %d, want 0", got)
	}
	a.Acknowledge(2, 3)
	await(3)
}

// recordingClient records all requests, and fails the next one if failNext is set.
type recordingClient struct {
	silentClient
	failNext atomic.Bool
	mu       sync.Mutex
	requests []HoldRequest
}

func (c *recordingClient) Hold(_ context.Context, h HoldRequest) (HoldResponse, error) {
	c.mu.Lock()
	c.requests = append(c.requests, h)
	c.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if c.failNext.Swap(false) {
		return HoldResponse{}, errors.New("connection reset")
	}
	return HoldResponse{Clock: 1, Report: work.RunReport{Target: "t", Incarnation: 1}}, nil
}

// Guards against tasks that run again because the first request after a restart acknowledged ends that nobody has read.
func TestAcknowledgmentsFollowResponses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &recordingClient{}
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, &countingHandler{}, clock.System(), hclog.NewNullLogger(), time.Second
	go a.Run()
	time.Sleep(50 * time.Millisecond)
	a.Acknowledge(1, 57)
	for range 3 {
		time.Sleep(50 * time.Millisecond)
		client.failNext.Store(true)
		a.refresh()
	}
	time.Sleep(50 * time.Millisecond)
	client.mu.Lock()
	defer client.mu.Unlock()
	acked := 0
	for i, r := range client.requests {
		switch {
		case r.Wait == 0 && r.Acked != 0:
			t.Errorf("request %d follows no response, and acknowledges ends up to %d, want 0", i, r.Acked)
		case r.Acked == 57:
			acked++
		}
	}
	if acked == 0 {
		t.Error("no request acknowledges the end 57")
	}
}

// Guards against an acknowledgment that is sent to a new incarnation, although its restart is known, between two long polls.
func TestKnownRestartIsNotAcknowledged(t *testing.T) {
	client := &recordingClient{}
	a := New(t.Context(), "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, &countingHandler{}, clock.System(), hclog.NewNullLogger(), time.Second
	a.hold(t.Context(), false, true)
	a.Acknowledge(1, 57)
	a.hold(t.Context(), true, true)
	a.repeatHold(1)
	a.Acknowledge(1, 58)
	a.hold(t.Context(), true, true)
	var got []int64
	for _, r := range client.requests {
		got = append(got, r.Acked)
	}
	if want := []int64{0, 57, 0}; !slices.Equal(got, want) {
		t.Errorf("requests acknowledge %v, want %v", got, want)
	}
}

// blockedClient answers no start until release is closed.
type blockedClient struct {
	incarnationClient
	release chan struct{}
	mu      sync.Mutex
	started []work.Attempt
}

func (c *blockedClient) Start(_ context.Context, s StartRequest) (jobs.StartResult, TargetTime) {
	c.mu.Lock()
	c.started = append(c.started, s.Command.Attempt)
	c.mu.Unlock()
	<-c.release
	return jobs.StartOK, 0
}

// Guards against a goroutine for each command that waits: 30,000 starts of tasks that need nothing took 130 MB.
func TestQueuedCommandsTakeNoGoroutines(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const count = 1000
	client, handler := &blockedClient{release: make(chan struct{})}, &resultHandler{results: make(chan jobs.StartResult, count)}
	client.incarnation.Store(1)
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, handler, clock.System(), hclog.NewNullLogger(), time.Minute
	go a.Run()
	time.Sleep(50 * time.Millisecond)
	before := runtime.NumGoroutine()
	for n := range work.Attempt(count) {
		a.Send(ctx, jobs.StartCommand{Target: "t", Attempt: n + 1, Incarnation: 1})
	}
	if got, want := runtime.NumGoroutine()-before, 10*maxCommandsInFlight; got > want {
		t.Errorf("goroutines for %d commands: got %d, want at most %d", count, got, want)
	}
	close(client.release)
	for range count {
		if got := <-handler.results; got != jobs.StartOK {
			t.Fatalf("result: got %s, want %s", got, jobs.StartOK)
		}
	}
}

// Guards against a start that waits for a slot and is sent after its run was stopped, for example because the end of
// another run of the task has been read and acknowledged meanwhile. TestRandomFaultsLaggingOwner showed this case.
func TestStopCancelsQueuedStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client, handler := &blockedClient{release: make(chan struct{})}, &resultHandler{results: make(chan jobs.StartResult, 2*maxCommandsInFlight)}
	client.incarnation.Store(1)
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, handler, clock.System(), hclog.NewNullLogger(), time.Second
	go a.Run()
	time.Sleep(50 * time.Millisecond)
	for n := range work.Attempt(maxCommandsInFlight) {
		a.Send(ctx, jobs.StartCommand{Target: "t", Attempt: n + 1, Incarnation: 1})
	}
	time.Sleep(50 * time.Millisecond) // these use all slots
	const queued = maxCommandsInFlight + 1
	a.Send(ctx, jobs.StartCommand{Target: "t", Attempt: queued, Incarnation: 1})
	a.Send(ctx, jobs.StopCommand{Target: "t", Attempt: queued})
	close(client.release)
	got := map[jobs.StartResult]int{}
	for range queued {
		got[<-handler.results]++
	}
	if got[jobs.StartOK] != maxCommandsInFlight || got[jobs.StartWrongTarget] != 1 {
		t.Errorf("results %v, want %d starts and one that was not sent", got, maxCommandsInFlight)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if slices.Contains(client.started, queued) {
		t.Error("the start was sent after its run was stopped")
	}
}

// slowClient answers after a while, unless the request is canceled before.
type slowClient struct {
	silentClient
	canceled atomic.Int32
}

func (s *slowClient) Hold(ctx context.Context, _ HoldRequest) (HoldResponse, error) {
	select {
	case <-time.After(50 * time.Millisecond):
		return HoldResponse{Clock: 1, Report: work.RunReport{Target: "t", Incarnation: 2}}, nil
	case <-ctx.Done():
		s.canceled.Add(1)
		return HoldResponse{}, ErrNoResponse
	}
}

// Guards against a probe that cancels the first request to a target, which then counts as unreachable: its incarnation,
// unknown until then, was taken for one that had ended.
func TestProbeKeepsFirstRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &slowClient{}
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, &countingHandler{}, clock.System(), hclog.NewNullLogger(), time.Second
	go a.Run()
	for range 20 {
		a.Probe()
		time.Sleep(10 * time.Millisecond)
	}
	if got := client.canceled.Load(); got > 0 {
		t.Errorf("%d requests were canceled, want none", got)
	}
}

// Guards against a lease that is given while a stored record still names an earlier end of it, by a request or by a start.
func TestWithheldLeaseIsNotExtended(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client, handler := &recordingClient{}, &resultHandler{results: make(chan jobs.StartResult, 1)}
	a := New(ctx, "t")
	a.Client, a.Handler, a.Clock, a.Logger, a.Lease = client, handler, clock.System(), hclog.NewNullLogger(), time.Second
	lastRequest := func() HoldRequest {
		a.hold(ctx, true, true)
		return client.requests[len(client.requests)-1]
	}
	a.WithholdExtensions()
	a.hold(ctx, false, true)
	if got := lastRequest(); got.Deadline != 0 || got.Wait != 0 {
		t.Errorf("a withheld lease is extended to %d by a request that waits %v, want neither", got.Deadline, got.Wait)
	}
	start := jobs.StartCommand{Target: "t", Attempt: 1, Incarnation: 1}
	a.Send(ctx, start)
	if got := <-handler.results; got != jobs.StartWrongTarget {
		t.Errorf("start beside a withheld lease: %q, want %q", got, jobs.StartWrongTarget)
	}
	a.AllowExtensions()
	if got := lastRequest(); got.Deadline == 0 {
		t.Error("the lease is not extended after it was released")
	}
	a.Send(ctx, start)
	if got := <-handler.results; got != jobs.StartOK {
		t.Errorf("start after the lease was released: %q, want %q", got, jobs.StartOK)
	}
}
