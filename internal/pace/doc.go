// Package pace decides at which share of full speed a best-effort task runs
// beside latency-sensitive tasks on the same target.
//
// The interference between tasks changes within seconds and differs by image, so
// the share follows the measured latency. It is halved as soon as one
// latency-sensitive task comes close to its objective, and raised step by step
// while all of them are well below theirs.
package pace
