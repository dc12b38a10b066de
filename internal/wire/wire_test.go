package wire

import (
	"errors"
	"testing"
)

type ping struct {
	MessageBase
	Seq int `cbor:"seq"`
}

func init() { Register[ping]("test_ping") }

// Guards against a message that differs after decoding, and against a message of an unknown
// kind that is not reported as such, for which the receiver would close the connection.
func TestRoundTrip(t *testing.T) {
	b, err := Encode(ping{Seq: 7})
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if want := (ping{Seq: 7}); got != want {
		t.Errorf("Decode = %v, want %v", got, want)
	}
	unregistered, _ := encMode.Marshal(envelope{Kind: "later", Body: []byte{0xf6}})
	var unknown *UnknownKindError
	if _, err := Decode(unregistered); !errors.As(err, &unknown) {
		t.Errorf("Decode(unknown kind) = %v, want *UnknownKindError", err)
	}
}

// Guards against bytes from the network that make the decoder panic.
func FuzzDecode(f *testing.F) {
	seed, _ := Encode(ping{Seq: 1})
	f.Add(seed)
	f.Add([]byte{0x82, 0x60, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if (m == nil) == (err == nil) {
			t.Errorf("Decode = %v, %v; want either a message or an error", m, err)
		}
	})
}
