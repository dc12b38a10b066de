// Package clock provides the time and timers behind an interface, so that code
// that depends on time can be tested without waiting.
//
// Such code takes a [Clock] instead of calling package time; its tests pass a
// [Manual] clock, which advances only when told to. [System] is package time;
// its times carry the monotonic reading. [SuspendAware] also counts the time
// during which the VM was suspended; its times have no monotonic reading.
package clock
