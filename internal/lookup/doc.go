// Package lookup keeps the directory of the targets that are registered on the
// platform.
//
// A [Directory] is filled from the records of the targets' partition, usually
// by a watcher of that partition.
package lookup
