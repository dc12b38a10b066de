package wire

import (
	"fmt"
	"reflect"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the stable name of a message type on the wire.
type Kind string

// Message is implemented only by types that embed MessageBase.
type Message interface{ isMessage() }

// MessageBase is embedded by message types. Only it implements Message, and it has no fields.
type MessageBase struct{}

func (MessageBase) isMessage() {}

// UnknownKindError reports an envelope whose kind has not been registered.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("message kind %q is not known", e.Kind) }

// DecodeError reports bytes that are not a valid message.
type DecodeError struct {
	Kind  Kind // empty if the envelope itself can't be decoded
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode message %q: %v", e.Kind, e.Cause) }

// Unwrap returns the error of the CBOR decoder.
func (e *DecodeError) Unwrap() error { return e.Cause }

// envelope is the encoded form of a message.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

var registry struct {
	sync.RWMutex
	decoders map[Kind]func([]byte) (Message, error)
	kinds    map[reflect.Type]Kind
}

// Register registers the message type M under kind. It panics if the kind or
// the type is already registered, since that is a programming error.
func Register[M Message](kind Kind) {
	registry.Lock()
	defer registry.Unlock()
	if registry.decoders == nil {
		registry.decoders = map[Kind]func([]byte) (Message, error){}
		registry.kinds = map[reflect.Type]Kind{}
	}
	t := reflect.TypeFor[M]()
	if _, dup := registry.decoders[kind]; dup {
		panic(fmt.Sprintf("wire: kind %q registered twice", kind))
	}
	if _, dup := registry.kinds[t]; dup {
		panic(fmt.Sprintf("wire: type %v registered twice", t))
	}
	registry.kinds[t] = kind
	registry.decoders[kind] = func(b []byte) (Message, error) {
		var m M
		if err := decMode.Unmarshal(b, &m); err != nil {
			return nil, &DecodeError{Kind: kind, Cause: err}
		}
		return m, nil
	}
}

// decMode limits how much memory a peer can make this process allocate.
var decMode = mustDecMode(cbor.DecOptions{
	MaxArrayElements: 1 << 20,
	MaxMapPairs:      1 << 20,
	MaxNestedLevels:  16,
})

func mustDecMode(opt cbor.DecOptions) cbor.DecMode {
	m, err := opt.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

var encMode = mustEncMode(cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano})

func mustEncMode(opt cbor.EncOptions) cbor.EncMode {
	m, err := opt.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoded envelope of m. It fails if the type of m is not registered.
func Encode(m Message) ([]byte, error) {
	registry.RLock()
	kind, ok := registry.kinds[reflect.TypeOf(m)]
	registry.RUnlock()
	if !ok {
		return nil, fmt.Errorf("message type %T is not registered", m)
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message %q: %w", kind, err)
	}
	return encMode.Marshal(envelope{Kind: kind, Body: body})
}

// Decode decodes one envelope and returns its message. The error is an
// [*UnknownKindError] or a [*DecodeError].
func Decode(b []byte) (Message, error) {
	var e envelope
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	registry.RLock()
	dec, ok := registry.decoders[e.Kind]
	registry.RUnlock()
	if !ok {
		return nil, &UnknownKindError{Kind: e.Kind}
	}
	return dec(e.Body)
}

// Marshal encodes v as canonical CBOR, so that equal values have equal bytes.
func Marshal[T any](v T) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes bytes written by Marshal, within the limits of Decode.
func Unmarshal[T any](b []byte) (T, error) {
	var v T
	err := decMode.Unmarshal(b, &v)
	return v, err
}
