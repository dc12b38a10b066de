// Package daemon implements toucand, the process that runs on every entry VM.
//
// A [Daemon] connects the follower of the log, the links to other entries, the
// idempotency keys, the broker service, the planner and the request handler. It
// serves three listeners: one for callers, one for other entries, and one for
// administration (health, metrics and status).
//
// When the context of [Daemon.Run] is done, the daemon reports that it is not
// ready, accepts callers for the drain delay, waits for all their requests, and
// only then stops the other components. If a component fails, Run stops all
// others at once and returns the error.
//
// [Main] is the command line of toucand.
package daemon
