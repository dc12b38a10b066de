// Package agent executes a pool's commands on its targets. It runs in the process
// of the pool's owner, with one Agent for each target.
//
// An agent keeps the lease of its target, reads the target's run reports by long
// polling, and sends it start, stop and pace commands. A target stops all runs when
// its lease expires. The lease is extended only by a request that follows an
// answered one, so that the agent knows the time by which an unreachable target
// has stopped everything.
package agent
