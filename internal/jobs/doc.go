// Package jobs implements the state machine that runs the jobs of one pool on
// the pool's targets.
//
// A [Pool] takes events (submissions, cancellations, the run reports of targets,
// the results of commands) together with the current time, and returns records
// to store and commands to send. The pool does no I/O and reads no clock, so that
// tests can drive it step by step.
//
// A job consists of steps, and a step of tasks; a scheduled job repeats its
// steps in each occurrence. A run is one attempt at a task on one target. The
// process that drives the pool is its owner; after a takeover, the next owner
// restores the jobs from their records. An incarnation of a target is one
// lifetime of its process, identified by its start time. A target runs tasks only
// while it holds a lease that the owner extends: once the lease has expired, all
// runs on the target have ended.
//
// Invariants:
//   - A start command is sent only after the record that names its target and
//     attempt is durable.
//   - A task has at most one run that is not known to have ended.
//   - A run holds resources of its target from the time it is planned until it
//     is known to have ended.
//   - Every state that an accepted job can reach fits the records of the log, and
//     each record is valid also if those after it in its write are not stored.
//   - A stored end of a target's lease is not earlier than that of any lease that
//     an owner may have given: the record without an end is durable before the
//     lease is extended.
//   - The end of a run is acknowledged to its target only after it is durable.
package jobs
