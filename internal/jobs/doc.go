// Package jobs is the state machine of one pool's jobs.
//
// A [Pool] takes events (submissions, cancellations, what targets list, results
// of orders) together with the time, and returns records to store and orders to
// send. It does no I/O and reads no clock, so that tests drive it step by step.
//
// Invariants:
//   - A start order leaves the pool only after the record that names the target
//     and attempt is durable.
//   - A task has at most one run that is not known to have ended.
//   - The room of a target is held from the plan of a run until its end is known.
//   - An end is acknowledged to its target only after it is durable.
package jobs
