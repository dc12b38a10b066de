// Package agent executes a pool's commands on its targets. It runs in the process
// of the pool's owner, with one Agent for each target.
//
// An agent extends the lease of its target, reads the target's run reports by long
// polling, and sends it start, stop and pace commands. A target stops all runs when
// its lease expires. A request for a run report extends the lease only if the one
// before was answered, so that the agent knows the time by which an unreachable
// target has stopped everything.
package agent
