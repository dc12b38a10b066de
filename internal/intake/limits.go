package intake

import "github.com/toucanhatch/toucanhatch/pkg/ident"

// Limits bound what a process takes in. A field that is 0 is derived.
type Limits struct {
	Bodies  ident.Bytes // bytes of request bodies and frames that are held at the same time
	Clients int         // connections of clients
	Peers   int         // connections of other processes of the fleet
	Others  int         // connections for readiness, and as many for metrics or administration
}

const (
	// DefaultMemory is assumed if the memory of the process is not known.
	DefaultMemory = ident.Bytes(256_000_000)
	// DefaultFiles is assumed if the limit on descriptors is not known.
	DefaultFiles = 1024

	// bodyShare is the part of the memory for bodies: what is read of a body is in memory up to three times, since buffers
	// are replaced as they grow and garbage is collected late.
	bodyShare = 16
	// clientShare is the part of the memory for connections of clients.
	clientShare = 8
	// connMemory is what a connection takes with the buffers, goroutines and header of a request.
	connMemory = 32 << 10
	// clientFiles and otherFiles are the parts of the descriptors for clients, and for each of the other kinds. What is left
	// is for the connections that the process opens itself.
	clientFiles = 2
	peerFiles   = 8
	otherFiles  = 16
	// peerConns lets 250 processes hold two connections each: one for requests and one for transfers.
	peerConns = 512
	// minConns lets the processes of a large fleet connect.
	minConns = 32
)

// Derive returns the limits with those that are 0 derived from the memory and the limit on descriptors, of which either may
// be 0 if it is not known.
func (l Limits) Derive(memory ident.Bytes, files int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if files <= 0 {
		files = DefaultFiles
	}
	clients := int(memory / clientShare / connMemory)
	derive := func(limit *int, byMemory, byFiles int) {
		if *limit <= 0 {
			*limit = max(min(byMemory, byFiles), minConns)
		}
	}
	if l.Bodies <= 0 {
		l.Bodies = memory / bodyShare
	}
	derive(&l.Clients, clients, files/clientFiles)
	derive(&l.Peers, max(clients/2, peerConns), files/peerFiles)
	derive(&l.Others, clients/8, files/otherFiles)
	return l
}
