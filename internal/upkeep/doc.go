// Package upkeep decides which VM is taken down for its upkeep next, and when
// a VM changes its pool.
package upkeep
