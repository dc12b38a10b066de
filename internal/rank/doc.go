// Package rank decides which job's tasks come first when a pool has less room
// than its queues ask for.
//
// It answers demand that rises to several times what the pool holds for some
// seconds. Lasting tasks come first. Among the rest, a job that can still meet
// its objective goes before one that can't, and among those that can, the one
// that needs less work to be finished goes first once time is short.
package rank
