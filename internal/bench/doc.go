// Package bench implements the measurements of "toucanctl bench", each of which runs within
// the calling process:
//
//   - [Path] compares requests sent through an entry with requests sent directly to the target.
//   - [Capacity] measures memory, traffic and processor time by fleet size and number of daemons.
//   - [Rollout] times how fast a published file comes in force on all entries while faults occur.
//   - [Slots] compares requests that need a permit with a baseline that limits nothing.
//   - [Queues] simulates policies for the queue of an overloaded pool.
//   - [Planner] replays a generated calendar of maintenance and failures through the planner.
//
// A measurement returns a flat result struct whose JSON keys are in snake_case. [Bound]s compare
// a result with the stated goals; missed bounds are always reported.
package bench
