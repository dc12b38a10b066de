// Package fold derives the fleet state from the two log streams.
//
// [State.Apply] is a pure function: the same records in the same order give
// the same state and the same verdicts to every reader. It reads no clock and
// no random numbers; time enters only as a field of a record. A State is
// immutable and may be shared between goroutines.
//
// Readers advance through the two streams at different speeds. So that they
// still agree, the verdict on a config record depends on the config stream
// alone, and the verdict on a fleet record on the fleet stream and on the
// config stream up to the largest offset that any fleet record so far has
// named ([State.MaxConfigRead]). Two readers that have read both streams equally far
// have equal states, whichever record each of them read first.
package fold
