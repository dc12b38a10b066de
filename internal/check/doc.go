// Package check finds faults of a configuration that can be decoded: entries
// that can never match, limits that contradict each other, and what differs from
// another version.
//
// It does no I/O and knows no wire names: a [Finding] states its place as a
// [Place], which package platform translates. No finding contains a key; keys
// appear as the first bytes of their digests.
package check
