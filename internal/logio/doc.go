// Package logio writes log lines without blocking the caller.
//
// A [Writer] keeps lines in a buffer of limited size and writes them to another
// writer a moment later, on a timer's goroutine. Lines that do not fit into the
// buffer are dropped; the next flush reports how many. [Writer.Flush] blocks until
// the buffered lines are written.
package logio
