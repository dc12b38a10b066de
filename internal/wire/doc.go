// Package wire encodes the messages between toucand processes as CBOR.
//
// A message type implements the sealed interface [Message] by embedding [MessageBase]
// and is made known with [Register] under a stable name. An envelope carries that name, so a receiver
// that does not know a message reports [*UnknownKindError] and can skip it.
package wire
