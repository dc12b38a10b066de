// Package work defines the types that the packages of toucanjobd share: IDs,
// resource amounts, the job specifications of clients, the operators'
// configuration, and the reports of targets. Its only behavior is validation and
// arithmetic.
//
// A job of a client belongs to a queue, and each queue to a pool. A pool is a
// group of targets, and a target is the process on a VM that runs tasks. A task is
// one unit of a job's step, and a run is one attempt at a task on one target.
package work
