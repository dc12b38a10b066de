package jobd

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

// Guards against a client that is told, within a second, that the outcome of its submission is unknown, although the next
// owner of the pool would have stored the job. The client can't send such a request again.
func TestSubmissionOfUnknownOutcomeIsRepeated(t *testing.T) {
	for _, test := range []struct {
		method               link.Method
		elapsed              time.Duration
		uncertain, connected bool
		want                 bool
	}{
		{methodSubmit, 2 * time.Second, true, true, true},
		{methodSubmit, 2 * time.Second, true, false, false}, // its connection is closed, and the client is served elsewhere
		{methodSubmit, ownerRetryTime, false, true, true},
		{methodSubmit, 2 * time.Second, false, true, false}, // not run: the client is told so and may come back
		{methodSubmit, 0, false, false, false},
		{methodState, 2 * time.Second, true, true, false}, // may be asked anywhere again
		{methodCancel, 2 * time.Second, true, true, false},
	} {
		if got := retryOwner(test.method, test.elapsed, test.uncertain, test.connected); got != test.want {
			t.Errorf("%s after %v, uncertain %v, connected %v: repeated %v, want %v", test.method, test.elapsed, test.uncertain, test.connected, got, test.want)
		}
	}
}

// pastDeadline is a context whose deadline has passed while its timer has not fired yet.
type pastDeadline struct{ context.Context }

func (pastDeadline) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// Guards against a submission that is passed on although nobody waits for its response any more: its client may have canceled the
// job meanwhile. This process has stood still, so that the context of the request has not ended yet.
func TestAbandonedSubmissionIsNotPassedOn(t *testing.T) {
	var passedOn atomic.Int32
	owner := startHandler(t, func(context.Context, link.Method, []byte) ([]byte, error) {
		passedOn.Add(1)
		return nil, nil
	})
	const pool = "p"
	s := &Service{Partitions: 1, Member: &group.Member{}, PeerClient: &link.Client{}, Config: newTestConfiguration(refusingLog()), Clock: clock.System(), Logger: hclog.NewNullLogger()}
	s.Member.Init()
	s.Owners = &ownerTable{Clock: s.Clock, byPartition: map[plog.TopicPartition]string{s.partitionOf(pool): owner}, refresh: make(chan struct{}, 1)}
	s.isolated.Store(true) // so that nothing is repeated
	call := func(ctx context.Context) response {
		r := request{Job: "0000000000000001"}
		r.Queue.Pool = pool
		got, _ := s.callOwner(ctx, methodSubmit, r)
		return got
	}
	serveLate(t, true, func(ctx context.Context) {
		if got := call(ctx); got.Outcome != outcomeAbandoned {
			t.Errorf("the client has left: outcome %q, want %q", got.Outcome, outcomeAbandoned)
		}
	})
	if got := call(pastDeadline{t.Context()}); got.Outcome != outcomeAbandoned {
		t.Errorf("its time is over: outcome %q, want %q", got.Outcome, outcomeAbandoned)
	}
	if got := passedOn.Load(); got != 0 {
		t.Errorf("submissions that were passed on: got %d, want none", got)
	}
	serveLate(t, false, func(ctx context.Context) { call(ctx) })
	if got := passedOn.Load(); got != 1 {
		t.Errorf("submissions of a client that waits: got %d, want 1", got)
	}
}

// serveLate calls handle with the context of a request that has waited in the socket of a server, and whose client may have left.
func serveLate(t *testing.T, leaves bool, handle func(context.Context)) {
	t.Helper()
	l, client, err := fakes.WaitingRequest(100*time.Millisecond, leaves)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	handled := make(chan struct{})
	g := guard.New(guard.Derive(config.Limits{}, 0), hclog.NewNullLogger())
	srv := g.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		defer close(handled)
		handle(context.WithoutCancel(r.Context())) // the server has not read the end of the connection yet
	}))
	go func() { _ = srv.Serve(g.Listen(guard.Clients, l)) }()
	<-handled
	srv.Close()
}
