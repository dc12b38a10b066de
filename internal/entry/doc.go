// Package entry handles HTTP requests of callers, the clients of the service. It
// routes a request to a pool, acquires a permit for a target of the pool,
// forwards the request and returns the target's response.
//
// Every response carries the Toucanhatch-Outcome header, including those that
// net/http sends without calling the handler. The outcome "not-run" means that no
// byte of the request was sent to a target. Each permit is released exactly once,
// and not before the target's response has ended or longestRequest has passed,
// even if the caller disconnects earlier.
package entry
