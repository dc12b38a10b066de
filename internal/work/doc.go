// Package work defines the types that the packages of toucanjobd share: IDs,
// resource amounts, the job specifications of clients, the operators'
// configuration, and the reports of targets. Its only behavior is validation and
// arithmetic.
//
// Two words are used throughout: a task is one unit of a job's step, and a run
// is one attempt at a task on one target.
package work
