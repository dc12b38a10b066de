// Package broker limits the requests on each target to its slots. An entry, a process that forwards callers' requests to
// targets, may send a request only while it holds a permit for one slot of the target.
//
// For each pool and availability zone one entry is the broker. Its [Core] is a state machine without I/O: it
// records the granted permits, divides the slots between entries in proportion to their demand, and tracks the
// targets' health. On each entry a [Client] implements [Permits]; it reuses permits and has one queue per pool.
// [Service] runs both over peer links.
//
// Invariant: for each target, the slots in use or usable through any valid permit never exceed the target's slots.
// It holds across takeovers by other brokers, lost and late messages, pauses of processes and differing membership
// views, provided that
//
//   - an entry in state peer.Gone has really ended, and monotonic clocks of two entries differ by less than a
//     quarter of [useLease] over that time;
//   - a request ends within [MaxRequestDuration] of the moment its permit was acquired.
//
// The protocol ensures this by the following rules:
//
//   - A permit is used only before ValidUntil, which the entry computes from the time at which it sent the message that
//     the broker answered. The broker reserves the slot for longer than that.
//   - An entry counts as registered with a broker only while its messages repeat a recent stamp of that broker's
//     clock, and it registers with another broker only after that time. So no entry is registered with two brokers.
//   - A broker with which all entries of the zone that are not Gone have registered knows every usable permit. Requests
//     of entries that died, or that an entry of another zone sends through the previous broker, may still run: their
//     slots stay reserved until the target's own report shows fewer requests or MaxRequestDuration has passed.
//   - A broker with which some entries have not registered grants an entry the slots that it held already. It grants
//     the share of a target's slots that the registered entries represent once they have been registered for
//     [settleTime], or for [shrinkTime] if a report of the target taken after that shows that the others are within
//     their share.
package broker
