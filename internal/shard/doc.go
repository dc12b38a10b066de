// Package shard implements the owner of one partition of the jobs topic. The owner
// runs the pools that belong to the partition and an agent for each of their
// targets, and writes the jobs to the log.
//
// One goroutine owns the pools. All other goroutines send it events through a
// mailbox. After each batch of events it plans, sends commands through the agents
// and, unless a write is in flight, writes what has changed.
//
// A write without a response is repeated unchanged until the log responds. An owner
// that the log has fenced, because a later owner took over, stops.
package shard
