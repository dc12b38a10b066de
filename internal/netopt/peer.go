package netopt

import "time"

// Peer is what is known of the peer of a connection. Its zero value stands for nothing.
type Peer struct {
	Silent time.Duration // since bytes of the peer last arrived, whether they have been read or not
	Closed bool          // the peer has closed the connection, and may have sent bytes before that
}
