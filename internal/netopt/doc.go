// Package netopt provides socket operations that package net does not offer.
//
// [UserTimeout] limits how long sent bytes may stay unacknowledged, and [Reusable]
// checks an idle connection. [PeerOf] tells since when the peer of a connection is
// silent, and whether it has closed it. On systems other than Linux the limit is not
// set, every connection counts as reusable, and nothing is known of peers.
package netopt
