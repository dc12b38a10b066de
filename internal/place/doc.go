// Package place chooses the target for a task.
//
// Tasks that end go where they leave the fewest resources unused, near their
// data, so that large tasks still find a target. Service tasks, which run until
// their job is canceled, are spread, so that the loss of a target takes few of
// them. Best-effort tasks, which take only CPU time that other tasks leave
// unused, go where they disturb the fewest service tasks.
package place
