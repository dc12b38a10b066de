// Package health decides from the outcomes of a target's tasks whether the
// target should get new ones.
//
// It detects targets whose registration looks healthy, but which fail tasks that
// others complete, refuse to start tasks, or run tasks without progress. Such a
// suspect target gets one task at a time until it completes one again.
package health
