// Package peer connects the toucand processes, called entries, with each other. It
// sends messages over links, which are authenticated connections between two
// entries, and maintains a view of which entries are up.
//
// Messages between two entries are delivered in order or lost. A link that breaks
// loses its queued messages; a link that is replaced by another one first delivers
// its queued messages. A [View] is immutable. The views of different entries may
// differ while the membership changes.
//
// The live list is the platform's list of live and leaving VMs, which may be out of date.
package peer
