// Package shard runs the owner of one partition of the jobs topic: the pools
// that lie in it, their agents, and the writes to the log.
//
// One goroutine owns the pools. Everything else reaches it as an event in its
// mailbox. After each batch of events it plans, hands orders to the agents and,
// if no write is in flight, writes what has changed. A write without an answer
// is repeated unchanged until the log answers; a fenced writer stops.
package shard
