// Package follow keeps the fleet state of an entry VM up to date. A [Follower]
// reads the two streams of the platform's log, applies the records by package
// fold, and provides the resulting state as an immutable snapshot.
//
// One goroutine per stream reads the log; the state is changed under one
// mutex. [Follower.Snapshot] is an atomic load. It never returns nil, and never
// an older state than before.
//
// Followers replicate the log among themselves: each sends the log entries that
// it reads to its peers, the followers of the other entry VMs, and requests
// missing ones from a peer. Therefore, one entry VM that can reach the platform
// keeps up to date all entry VMs that can reach it. Log entries keep the offset
// that the platform assigned to them, and a follower accepts them only in the
// order of their offsets, without gaps.
package follow
