// Package wire encodes the messages between toucand processes as CBOR.
//
// A message type implements the sealed interface [Message] by embedding [MessageBase]
// and is registered with [Register] under a stable name, its [Kind]. [Encode] writes an
// envelope that carries the kind and the encoded message. [Decode] returns
// [*UnknownKindError] for a kind that is not registered, so that a receiver can skip
// messages of later versions.
package wire
