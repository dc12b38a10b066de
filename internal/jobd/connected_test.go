package jobd

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

// neighbor starts a process that gives the same answer to all requests, and returns its peer address.
func neighbor(t *testing.T, answer any) string {
	t.Helper()
	addr := local.Addr()
	l, err := link.Listen(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Listener: l, Handler: func(context.Context, link.Method, []byte) ([]byte, error) { return cbor.Marshal(answer) }}
	go func() { _ = server.Run(t.Context()) }() // ends with the test
	return addr
}

// Guards against processes that are cut off and stay ready since others that are cut off with them answer, in the
// same zone (umurimo-hatch-grown trouble-1, 182 refused) or in several (scale-2, 210 refused in its first seconds).
func TestReachable(t *testing.T) {
	const fresh, old = 100 * time.Millisecond, 5 * time.Second
	for _, test := range []struct {
		name   string
		silent int // owners that don't answer
		others []standing
		want   bool
	}{
		{"one hears from the log", 5, []standing{{old}, {fresh}}, true},
		{"a few that don't hear from the log", 4, []standing{{old}, {old}}, false},
		{"most answer, the log is down for all", 1, []standing{{old}, {old}, {old}}, true},
		{"none answers", 3, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			held := &owners{byPart: map[plog.TopicPartition]string{}}
			for range test.silent {
				held.byPart[plog.TopicPartition{Partition: plog.Partition(len(held.byPart))}] = local.Addr() // nobody listens
			}
			for _, other := range test.others {
				held.byPart[plog.TopicPartition{Partition: plog.Partition(len(held.byPart))}] = neighbor(t, other)
			}
			member := &group.Member{Clock: clock.System(), Logger: hclog.NewNullLogger()}
			member.Init()
			s := &Service{Member: member, PeerClient: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(), Owners: held}
			if got := s.CheckConnected(t.Context()); got != test.want {
				t.Errorf("reachable = %v, want %v", got, test.want)
			}
		})
	}
}
