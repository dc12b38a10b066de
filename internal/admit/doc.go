// Package admit implements admission control: it decides whether a pool
// accepts a new job.
//
// Demand may be several times what a pool can process. A job is refused as soon
// as the backlog shows that it could not complete in time to be of use to its
// client. The client is told when to retry, which is when the backlog should
// have drained.
//
// Where tenants share the pool, the load of one of them refuses no job of another
// that fits into the other's share.
package admit
