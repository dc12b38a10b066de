// Package netopt provides socket operations that package net does not offer.
//
// [UserTimeout] limits how long sent bytes may stay unacknowledged, and [Reusable]
// checks an idle connection. On systems other than Linux the limit is not set and every
// connection counts as reusable.
package netopt
