// Package fold computes the fleet state from the records of the two log
// streams, the config stream and the fleet stream. The state is a left fold
// over the records: it starts as [Empty], and [State.Apply] returns the next
// state for each record.
//
// Apply is a pure function: the same records in the same order give the same
// state and the same outcomes on every reader. It reads no clock and no random
// numbers; the only times it uses are fields of records. A State is immutable
// and may be shared between goroutines.
//
// Readers advance through the two streams at different speeds. So that their
// states still converge, the outcome of a config record depends on the config
// stream alone. The outcome of a fleet record depends on the fleet stream and
// on the config stream up to [State.MaxConfigRead], which is the largest
// config offset in the headers of the fleet records so far. Two readers that
// have read both streams up to the same offsets have equal states, in
// whatever order they read the two streams.
package fold
