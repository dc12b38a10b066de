// Package watch reads a partition of keyed records continuously.
//
// A [Watcher] first reads the newest record of each key and then the records
// appended since. It starts again with the newest records if the log has
// dropped records that it had not read yet, or ends before the last one that it
// has read. A record whose processing panics is skipped. What has been skipped,
// or read in part, confirms nothing.
package watch
