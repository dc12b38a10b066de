// Package keys ensures that a request with an idempotency key runs at most once within a window of time.
//
// A key is claimed before the first byte of its request is sent. A second request with the key gets the stored response,
// or an error that tells whether the request may have run.
//
// Each key has a home, an entry chosen by rank among the members of the fleet, and the home has a standby in another
// zone. A change of a key takes effect once both have stored it. The state machine of an entry does no I/O, and the
// [Service] runs it over the links to other entries. Ages are measured on each process's own monotonic clock, so a key
// may be remembered longer than the window, never shorter. The file proof.go describes what an entry can prove after other
// entries were lost.
package keys
