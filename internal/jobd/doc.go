// Package jobd implements the jobs daemon, which runs on every entry VM.
//
// A daemon accepts clients' requests for jobs and forwards each to the daemon
// that owns the partition of the job's pool. It is a member of the group to
// which the platform's log assigns partitions, and runs a [shard.Shard] for
// each partition that it is assigned. Which daemon owns a partition is read
// from the log, or from other daemons while the log can't be reached.
//
// A request whose outcome is uncertain may be sent again: jobs are identified
// by the id that the client chose. A daemon that can reach neither the log nor
// daemons that reach it reports to the load balancer that it is not ready.
package jobd
