package crowd

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/opcli"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	// toucandMemory is what toucand assumes if its settings don't name the memory, and the bound on its resident memory.
	toucandMemory = 256_000_000
	// callerBodyLength is of legal size: a body may have 8 MiB.
	callerBodyLength = 8 << 20
	// callerBodyCrowd sends twice that memory.
	callerBodyCrowd = 64
)

// toucand is a toucand and where it listens.
type toucand struct {
	*process
	caller, peer, admin string
}

const toucandFleet = `name = "kigali"
base_version = 0
spare_pool = "members-office"

[[pool]]
id = "members-office"

[[pool]]
id = "cutting"
routes = ["/cutting/"]
owed_vms = 1

[[vm]]
id = "kg-a-01"
zone = "kg-a"
rack = "kg-a-r1"
address = %q
pool = "cutting"
processors = 16
memory_gib = 64
slots = 8
connections = 64
`

// serve serves a fake on a loopback address.
func serve(t *testing.T, h http.Handler) (addr string) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func startToucand(t *testing.T) *toucand {
	t.Helper()
	platform := serve(t, fakes.NewPlatform().Handler())
	target := serve(t, fakes.NewTarget("kg-a-01").Handler())
	fleet := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(fleet, fmt.Appendf(nil, toucandFleet, target), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := opcli.Main([]string{"toucanctl", "publish", "--platform", "http://" + platform, fleet}); code != 0 {
		t.Fatalf("publish: exit code %d", code)
	}
	d := &toucand{caller: local.Addr(), peer: local.Addr(), admin: local.Addr()}
	d.process = start(t, "toucand", fmt.Sprintf(`entry = "entry-a"
zone = "kg-a"
caller = %q
peer = %q
admin = %q
platform = "http://%s"
peer_key = "0123456789abcdef"
`, d.caller, d.peer, d.admin, platform), "--first-start")
	d.awaitRequest()
	return d
}

// awaitRequest waits until a request is answered by its target.
func (d *toucand) awaitRequest() {
	d.t.Helper()
	await(d.t, "request", isStatus(http.StatusOK), func() *http.Request {
		req, err := http.NewRequest(http.MethodPost, "http://"+d.caller+"/cutting/order-1", strings.NewReader("12 aprons"))
		if err != nil {
			d.t.Fatal(err)
		}
		return req
	})
}

// Guards against the loss of a toucand to connections that don't end what they begin.
func TestToucand(t *testing.T) {
	post := func(int) string { return "POST /cutting/order HTTP/1.1\r\nHost: a.example\r\n" }
	unknown := func(int) string { return "POST /none HTTP/1.1\r\nHost: a.example\r\n" }
	get := "GET /cutting/order HTTP/1.1\r\nHost: a.example\r\n\r\n"
	body := []byte(strings.Repeat("x", callerBodyLength))
	callerOf := func(d *toucand) string { return d.caller }
	peerOf := func(d *toucand) string { return d.peer }
	adminOf := func(d *toucand) string { return d.admin }
	for _, test := range []struct {
		name  string
		to    func(*toucand) string
		count int
		sends member
	}{
		{"bodies sent whole", callerOf, callerBodyCrowd, bodies(post, body, 1)},
		{"bodies sent piece by piece", callerOf, callerBodyCrowd, bodies(post, body, pieces)},
		{"bodies in large chunks", callerOf, callerBodyCrowd, chunkedBodies(post, body, 32<<10)},
		{"bodies in chunks of 16 bytes", callerOf, callerBodyCrowd, chunkedBodies(post, body, 16)},
		{"bodies for an unknown path", callerOf, callerBodyCrowd, bodies(unknown, body, 1)},
		{"short bodies that stop", callerOf, connectionCrowd, bodies(post, []byte("12 aprons"), 1)},
		{"no request", callerOf, connectionCrowd, silent},
		{"headers that stop", callerOf, connectionCrowd, says("POST /cutting/order HTTP/1.1\r\nHost: a.example\r\nX-")},
		{"keep-alive without a next request", callerOf, connectionCrowd, says(get)},
		{"responses that nobody reads", callerOf, unreadCrowd, unread(get, 10_000)},
		{"peer: no request", peerOf, connectionCrowd, silent},
		{"peer: upgrades that stop", peerOf, connectionCrowd, says(strings.TrimSuffix(upgradeRequest("/peer"), "\r\n"))},
		{"peer: no message", peerOf, connectionCrowd, says(upgradeRequest("/peer"))},
		{"peer: frames that stop", peerOf, connectionCrowd, frames("/peer", 4<<10)},
		{"peer: bodies that stop", peerOf, connectionCrowd, bodies(post, body[:bodyLength], 1)},
		{"admin: no request", adminOf, connectionCrowd, silent},
		{"admin: bodies that stop", adminOf, connectionCrowd, bodies(post, body[:bodyLength], 1)},
		{"admin: responses that nobody reads", adminOf, connectionCrowd, unread("GET /debug/vars HTTP/1.1\r\nHost: a.example\r\n\r\n", 300)},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startToucand(t)
			gather(t, test.to(d), test.count, test.sends)
			d.settle()
			d.check(toucandMemory)
			switch test.to(d) {
			case d.peer:
				awaitUpgrade(t, d.peer, upgradeRequest("/peer"))
			case d.admin:
				await(t, "health", isStatus(http.StatusOK), func() *http.Request {
					req, err := http.NewRequest(http.MethodGet, "http://"+d.admin+"/healthz", nil)
					if err != nil {
						t.Fatal(err)
					}
					return req
				})
			}
			d.awaitRequest()
			d.check(toucandMemory)
		})
	}
}
