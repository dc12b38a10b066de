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
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/platform/stand"
)

// neighbor starts a process that answers pings with the given standing, and returns its peer address.
func neighbor(t *testing.T, of standing) string {
	t.Helper()
	addr := stand.Addr()
	l, err := link.Listen(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Listener: l, Handler: func(context.Context, link.Method, []byte) ([]byte, error) { return cbor.Marshal(of) }}
	go func() { _ = server.Run(t.Context()) }() // ends with the test
	return addr
}

// Guards against a process in a zone that is cut off which stays ready because another process of the same zone
// answers, so that the balancer sends it clients that it can't serve (umurimo-hatch-grown trouble-1, 182 refused).
func TestReachable(t *testing.T) {
	const fresh, old = 100 * time.Millisecond, 5 * time.Second
	for _, test := range []struct {
		name  string
		zones int
		other standing
		want  bool
	}{
		{"same zone, hears from the log", 3, standing{"z1", fresh}, true},
		{"same zone, is cut off too", 3, standing{"z1", old}, false},
		{"another zone, the log is down for all", 3, standing{"z2", old}, true},
		{"the only zone, the log is down", 1, standing{"z1", old}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := neighbor(t, test.other)
			member := &group.Member{Clock: clock.System(), Logger: hclog.NewNullLogger()}
			member.Init()
			s := &Service{
				Zone: ident.ZoneID("z1"), Zones: test.zones, Member: member, Links: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(),
				Owners: &owners{byPart: map[plog.TopicPartition]string{{Topic: "jobs"}: addr}},
			}
			if got := s.Reachable(t.Context()); got != test.want {
				t.Errorf("reachable = %v, want %v", got, test.want)
			}
		})
	}
}
