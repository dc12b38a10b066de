package guard

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/netopt"
)

// Waited returns how long the last bytes of a client have waited to be read, given the context of the request, at the time when the
// request is first handled: the process may have stood still, or been busy, since they arrived. It returns 0 if it isn't known.
func Waited(ctx context.Context) time.Duration { return peerOf(ctx).Silent }

// ClientGone reports whether the client has closed the connection of the request with a context. The context itself ends a little
// later, once the server has read the end of the connection.
func ClientGone(ctx context.Context) bool { return peerOf(ctx).Closed }

func peerOf(ctx context.Context) netopt.Peer {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return netopt.PeerOf(c)
	}
	return netopt.Peer{}
}
