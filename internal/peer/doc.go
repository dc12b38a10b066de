// Package peer connects the toucand processes: links that carry messages, and
// a view of which entry VMs are up.
//
// Messages between two processes arrive in order or not at all; a link that
// breaks loses what is queued, one that another link replaces doesn't. A [View] is immutable. Views of different
// processes may differ while the membership changes.
package peer
