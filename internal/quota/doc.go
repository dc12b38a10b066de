// Package quota divides the caps of tenants among the pools that run their tasks.
//
// An [Allocator] gives each pool an allowance for each tenant, by grants. [Allowances] is the state of the pools of one
// partition: it accepts grants, and tells what has to be stored and what has become durable. Both do no I/O and read no clock.
//
// Invariants:
//   - What the allocator counts for a pool is never below what the pool may hold: the largest of its reported holdings and of all
//     allowances sent since, and including, the newest grant that its partition has durably stored.
//   - An allowance is raised only from what the counts of all pools leave of the cap.
//   - A grant is accepted only with a number above all that the partition has accepted, so that one of a former allocator, or
//     one that a former owner got, changes nothing.
package quota
