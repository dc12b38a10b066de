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

// identity is what a process says about itself; both proofs cover it.
type identity struct {
	Version     int           `cbor:"version"`
	ID          ident.EntryID `cbor:"id"`
	Zone        ident.ZoneID  `cbor:"zone"`
	Incarnation uint64        `cbor:"incarnation"`
	Address     string        `cbor:"address"`
	Nonce       []byte        `cbor:"nonce"`
}

// greeting is the first message in each direction. The dialer sends it without a proof.
type greeting struct {
	wire.MessageBase
	Identity identity `cbor:"identity"`
	Proof    []byte   `cbor:"proof,omitempty"`
}

// response carries the dialer's proof.
type response struct {
	wire.MessageBase
	Proof []byte `cbor:"proof"`
}

// refusal is the reason why a link was not accepted; empty means accepted.
type refusal string

const (
	accepted      refusal = ""
	wrongKey      refusal = "wrong_key"
	duplicateLink refusal = "duplicate_link"
	ownAddress    refusal = "own_address"
	// staleProcess means that this incarnation was declared gone; the process needs a new one.
	staleProcess refusal = "stale_incarnation"
	wrongVersion refusal = "wrong_version"
)

// verdict ends the handshake; either side sends it.
type verdict struct {
	wire.MessageBase
	Refusal refusal `cbor:"refusal"`
}

// known tells a peer which entries this process knows, so that a process can
// find the others while the platform is out of reach.
type known struct {
	wire.MessageBase
	Members []knownMember `cbor:"members"`
}

type knownMember struct {
	ID          ident.EntryID `cbor:"id"`
	Zone        ident.ZoneID  `cbor:"zone"`
	Incarnation uint64        `cbor:"incarnation"`
	Address     string        `cbor:"address"`
}

// last tells that no further message follows on a session that another one has replaced.
type last struct{ wire.MessageBase }

func init() {
	wire.Register[last]("peer_last")
	wire.Register[greeting]("peer_greeting")
	wire.Register[response]("peer_response")
	wire.Register[verdict]("peer_verdict")
	wire.Register[known]("peer_known")
}

// role separates the two proofs, so that neither can be reflected.
type role string

const (
	dialerRole   role = "toucanhatch peer dialer"
	listenerRole role = "toucanhatch peer listener"
)

// prove returns the proof that a process in the given role holds the key. It
// covers both identities with their nonces, so it is valid for this handshake only.
func prove(key string, r role, dialer, listener identity) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	transcript, err := wire.Marshal([]any{string(r), dialer, listener})
	if err != nil {
		return nil // plain structs always encode; an empty proof is never accepted
	}
	mac.Write(transcript)
	return mac.Sum(nil)
}

func proven(key string, r role, dialer, listener identity, proof []byte) bool {
	want := prove(key, r, dialer, listener)
	return len(want) > 0 && hmac.Equal(want, proof)
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}
