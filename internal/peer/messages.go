package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	nonceSize       = 32
	protocolVersion = 1
)

// identity describes a process in the handshake. Both proofs cover the identities of both sides.
type identity struct {
	Version     int           `cbor:"version"`
	ID          ident.EntryID `cbor:"id"`
	Zone        ident.ZoneID  `cbor:"zone"`
	Incarnation uint64        `cbor:"incarnation"`
	Address     string        `cbor:"address"`
	Nonce       []byte        `cbor:"nonce"`
}

// greeting is the first message of the handshake in each direction. Only the listener's greeting has a proof.
type greeting struct {
	wire.MessageBase
	Identity identity `cbor:"identity"`
	Proof    []byte   `cbor:"proof,omitempty"`
}

// dialerProof carries the dialer's proof; it responds to the listener's greeting.
type dialerProof struct {
	wire.MessageBase
	Proof []byte `cbor:"proof"`
}

// refusalReason is the reason why a link was not accepted; empty if it was accepted.
type refusalReason string

const (
	accepted      refusalReason = ""
	wrongKey      refusalReason = "wrong_key"
	duplicateLink refusalReason = "duplicate_link"
	ownAddress    refusalReason = "own_address"
	// staleIncarnation means that the incarnation was declared gone; the process must take a new one.
	staleIncarnation refusalReason = "stale_incarnation"
	wrongVersion     refusalReason = "wrong_version"
)

// handshakeResult ends the handshake. The listener sends it; the dialer sends one only if it refuses the link.
type handshakeResult struct {
	wire.MessageBase
	Refusal refusalReason `cbor:"refusal"`
}

// knownMembers lists the entries that the sender knows, so that a process can
// find the others while the platform is unavailable.
type knownMembers struct {
	wire.MessageBase
	Members []knownMember `cbor:"members"`
}

type knownMember struct {
	ID          ident.EntryID `cbor:"id"`
	Zone        ident.ZoneID  `cbor:"zone"`
	Incarnation uint64        `cbor:"incarnation"`
	Address     string        `cbor:"address"`
}

// lastMessage is the last message on a session that was replaced by another one.
type lastMessage struct{ wire.MessageBase }

func init() {
	wire.Register[lastMessage]("peer_last")
	wire.Register[greeting]("peer_greeting")
	wire.Register[dialerProof]("peer_response")
	wire.Register[handshakeResult]("peer_verdict")
	wire.Register[knownMembers]("peer_known")
}

// proofRole is part of a proof, so that the proof of one side is not valid as that of the other (reflection attack).
type proofRole string

const (
	dialerRole   proofRole = "toucanhatch peer dialer"
	listenerRole proofRole = "toucanhatch peer listener"
)

// computeProof returns the proof that a process in the given role has the key. It
// covers both identities with their nonces, so it is valid only for this handshake.
func computeProof(key string, r proofRole, dialer, listener identity) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	transcript, err := wire.Marshal([]any{string(r), dialer, listener})
	if err != nil {
		return nil // plain structs always encode; verifyProof never accepts an empty proof
	}
	mac.Write(transcript)
	return mac.Sum(nil)
}

// verifyProof reports whether proof is the one that computeProof returns.
func verifyProof(key string, r proofRole, dialer, listener identity, proof []byte) bool {
	want := computeProof(key, r, dialer, listener)
	return len(want) > 0 && hmac.Equal(want, proof)
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}
