package guard

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
)

// Guards against a server that takes a request as new, from a client that still waits, after it has stood still: the request has
// waited in the socket, and its client has left.
func TestClientOfWaitingRequest(t *testing.T) {
	const stoodStill = 300 * time.Millisecond
	for name, leaves := range map[string]bool{"the client waits": false, "the client has left": true} {
		l, client, err := fakes.WaitingRequest(stoodStill, leaves)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		handled := make(chan struct{})
		srv := New(testLimits(), hclog.NewNullLogger()).Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			defer close(handled)
			if got, want := Waited(r.Context()), stoodStill/2; got < want {
				t.Errorf("%s: the request has waited %v, want %v or more", name, got, want)
			}
			if got := ClientGone(r.Context()); got != leaves {
				t.Errorf("%s: gone: got %v, want %v", name, got, leaves)
			}
		}))
		go func() { _ = srv.Serve(New(testLimits(), hclog.NewNullLogger()).Listen(Clients, l)) }()
		<-handled
		srv.Close()
	}
}
