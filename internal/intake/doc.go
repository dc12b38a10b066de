// Package intake decides what a process takes in from its clients: which bytes of request bodies, which connections, and
// whom it sheds above its limits.
//
// [Derive] derives the limits from the memory and the descriptors of a process. [Budget] bounds the bytes of all bodies
// that are held at the same time, and [Conns] the connections of a listener. The package does no I/O and has no clock: its
// callers pass the time, and functions that close what is shed.
package intake
