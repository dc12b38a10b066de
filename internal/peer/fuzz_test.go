package peer

import (
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/wire"
)

// Guards against frames that make the decoder panic, and against decoded messages that cannot be encoded again.
func FuzzFrame(f *testing.F) {
	for _, m := range []wire.Message{
		greeting{Identity: identity{ID: "a", Nonce: newNonce()}},
		dialerProof{Proof: []byte{1}},
		handshakeResult{Refusal: wrongKey},
		knownMembers{Members: []knownMember{{ID: "b", Zone: "kg-b", Incarnation: 7, Address: "127.0.0.1:1"}}},
	} {
		data, _ := wire.Encode(m)
		frame, _ := wire.Marshal([][]byte{data})
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := decodeFrame(data)
		if err != nil && messages != nil {
			t.Fatalf("decodeFrame returned both messages and %v", err)
		}
		for _, m := range messages {
			if _, err := wire.Encode(m); err != nil {
				t.Fatalf("message %#v cannot be encoded: %v", m, err)
			}
		}
	})
}
