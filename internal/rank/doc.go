// Package rank decides in which order the jobs of a pool get resources when the
// pool has fewer than its jobs ask for, as during a burst of several times its
// capacity that lasts some seconds.
//
// Jobs with service tasks, which run until the job is canceled, come first.
// Among the other jobs, one that can still meet its objective goes before one
// that can't. Where not all jobs can meet their objectives, those that need the
// most CPU time and have not started are postponed, first those of the tenant that
// has the most work relative to its weight. A late or postponed job is
// still of use to its client for some time, and the one with the least of it left
// goes first. Late jobs go before jobs that can wait if that saves them at a
// reasonable price: an accepted job that ends too late is work for nothing.
package rank
