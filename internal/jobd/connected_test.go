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

// startPeer starts a server that gives the same response to all requests, and returns its peer address.
func startPeer(t *testing.T, response any) string {
	t.Helper()
	return startHandler(t, func(context.Context, link.Method, []byte) ([]byte, error) { return cbor.Marshal(response) })
}

// startHandler starts a daemon that handles requests of other daemons, and returns its address.
func startHandler(t *testing.T, handle func(context.Context, link.Method, []byte) ([]byte, error)) string {
	t.Helper()
	addr := local.Addr()
	l, err := link.Listen(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Listener: l, Handler: handle}
	go func() { _ = server.Run(t.Context()) }() // ends with the test
	return addr
}

// Guards against isolated daemons that stay ready because other daemons, isolated together with them, answer their
// pings. The others were in the same zone (deployment grown of deploy/regression, scenario trouble-1: 182 refused
// requests), in several zones (scenario scale-2: 210 refused requests in its first seconds), or in the same zone and most of
// all owners, since processes of other zones were being restarted (deployment further, scenario trouble-2: 65 requests of
// its clients were never served).
func TestCheckConnected(t *testing.T) {
	const recent, old, here, elsewhere = 100 * time.Millisecond, 5 * time.Second, "a", "b"
	for _, test := range []struct {
		name    string
		silent  int // owners that don't answer
		replies []pingReply
		want    bool
	}{
		{"one reaches the log", 5, []pingReply{{old, here}, {recent, here}}, true},
		{"a few answer but don't reach the log", 4, []pingReply{{old, here}, {old, elsewhere}}, false},
		{"most answer, the log is down for all", 1, []pingReply{{old, here}, {old, here}, {old, elsewhere}}, true},
		{"most answer, all in this zone", 2, []pingReply{{old, here}, {old, here}, {old, here}}, false},
		{"all answer, all in this zone", 0, []pingReply{{old, here}, {old, here}, {old, here}}, true},
		{"none answers", 3, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := &ownerTable{byPartition: map[plog.TopicPartition]string{}}
			for range test.silent {
				table.byPartition[plog.TopicPartition{Partition: plog.Partition(len(table.byPartition))}] = local.Addr() // nothing listens there
			}
			for _, reply := range test.replies {
				table.byPartition[plog.TopicPartition{Partition: plog.Partition(len(table.byPartition))}] = startPeer(t, reply)
			}
			member := &group.Member{Clock: clock.System(), Logger: hclog.NewNullLogger()}
			member.Init()
			s := &Service{Zone: here, Member: member, PeerClient: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(), Owners: table}
			if got := s.CheckConnected(t.Context()); got != test.want {
				t.Errorf("CheckConnected = %v, want %v", got, test.want)
			}
		})
	}
}
