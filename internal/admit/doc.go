// Package admit decides whether a pool takes a job in.
//
// It answers demand of several times what a pool holds. A job is refused as
// soon as the work ahead of it shows that it could not be completed while that
// still helps its client; the client is told when the queue will have drained.
package admit
