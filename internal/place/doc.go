// Package place chooses the target for a task.
//
// Tasks that end go where they leave the fewest resources unused, near their
// data, so that large tasks still find a target. Service tasks, which run until
// their job is canceled, are spread by step, so that the loss of a target takes
// few of a step, but over targets that run service tasks already, so that the VMs
// of the others can be lent to other pools. Best-effort tasks, which take only CPU
// time that other tasks leave unused, go where they disturb the fewest
// latency-sensitive tasks.
//
// A [Book] looks ahead: it reserves targets for large tasks that fit none now, where enough is expected to end soonest, and
// says which other tasks may use the gap. Times and expected ends are passed in; it does no I/O.
package place
