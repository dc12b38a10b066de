package broker

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// The messages are encoded as arrays: an entry sends several a second for each pool, and field names would make up
// two thirds of their bytes.

// Demand tells a broker which permits an entry holds and needs. Each one is complete in itself, so the next one makes up
// for one that is lost.
type Demand struct {
	wire.Body `cbor:"-"`
	_         struct{} `cbor:",toarray"`

	Pool        ident.PoolID `cbor:"pool"`
	Zone        ident.ZoneID `cbor:"zone"`
	Process     uint64       `cbor:"process"`  // differs between two processes that used the same entry id
	Session     uint64       `cbor:"session"`  // grows with each registration of this process
	Seq         uint64       `cbor:"seq"`      // grows with each message
	Term        ident.Term   `cbor:"term"`     // of the broker; 0 until it has sent a Grant
	Previous    string       `cbor:"previous"` // broker and term that this entry was registered with before
	SentAt      int64        `cbor:"sent"`     // time of sending in nanoseconds on the entry's clock
	Stamp       int64        `cbor:"stamp"`    // newest Grant.Stamp that the entry has received
	SeenSeq     uint64       `cbor:"seen"`     // newest Grant.Seq that the entry has processed
	FleetOffset ident.Offset `cbor:"fleet"`    // fleet offset of the entry's snapshot
	Deregister  bool         `cbor:"leave"`    // the entry ends its registration to move to another broker

	Urgent        int           `cbor:"urgent"`   // waiting requests of the urgent class
	Normal        int           `cbor:"normal"`   // other waiting requests
	Prefetch      int           `cbor:"prefetch"` // permits wanted beyond the present requests
	UntilDeadline time.Duration `cbor:"earliest"` // time until the deadline of the first waiting request
	Avoid         []ident.VMID  `cbor:"avoid"`    // targets that the first waiting request avoids

	Held     []HeldPermit `cbor:"held"`
	Outcomes []Outcome    `cbor:"outcomes"`
}

// HeldPermit is a permit that an entry holds.
type HeldPermit struct {
	_ struct{} `cbor:",toarray"`

	ID        PermitID   `cbor:"id"`
	Target    ident.VMID `cbor:"target"`
	InUse     bool       `cbor:"busy"` // a request uses it
	Abandoned bool       `cbor:"lost"` // its request was given up and may still run
}

// Outcome counts the results of one job on one target since the last message.
type Outcome struct {
	_ struct{} `cbor:",toarray"`

	Target        ident.VMID    `cbor:"target"`
	Job           string        `cbor:"job"`
	OK            int           `cbor:"ok"`
	Failed        int           `cbor:"failed"`
	Refused       int           `cbor:"refused"`
	Unresponsive  int           `cbor:"silent"`
	TotalDuration time.Duration `cbor:"took"` // sum over the requests that OK counts
}

// Grant tells an entry which permits a broker grants to it. Each one is complete in itself.
type Grant struct {
	wire.Body `cbor:"-"`
	_         struct{} `cbor:",toarray"`

	Pool         ident.PoolID    `cbor:"pool"`
	Zone         ident.ZoneID    `cbor:"zone"`
	Term         ident.Term      `cbor:"term"`
	Session      uint64          `cbor:"session"`    // Demand.Session that it answers
	Seq          uint64          `cbor:"seq"`        // grows with each message of the term
	AckedSeq     uint64          `cbor:"acked"`      // newest Demand.Seq that the broker has processed
	EchoSentAt   int64           `cbor:"echo"`       // Demand.SentAt of that message
	Stamp        int64           `cbor:"stamp"`      // time of sending in nanoseconds on the broker's clock
	Registered   bool            `cbor:"registered"` // false asks the entry to register
	SessionEnded bool            `cbor:"ended"`      // the session has ended; the entry has to begin another one
	Deregistered bool            `cbor:"left"`       // the broker no longer counts the entry as registered
	Permits      []GrantedPermit `cbor:"permits"`
	MaxPermits   int             `cbor:"keep"`        // the entry returns permits beyond this number once they are idle
	ExpectedWait time.Duration   `cbor:"wait"`        // expected wait of a new request
	FreeSlots    int             `cbor:"spare"`       // slots that are neither granted nor reserved
	Quarantined  []string        `cbor:"quarantined"` // jobs whose failures are not the targets' fault
}

// GrantedPermit is one permit in a Grant.
type GrantedPermit struct {
	_ struct{} `cbor:",toarray"`

	ID       PermitID   `cbor:"id"`
	Target   ident.VMID `cbor:"target"`
	Address  string     `cbor:"address"`
	SinceSeq uint64     `cbor:"since"`  // Seq of the first Grant that contained it
	Recalled bool       `cbor:"recall"` // no new request may use it
	Trial    bool       `cbor:"trial"`  // the entry reports the request's result at once
}

func init() {
	wire.Register[Demand]("broker_demand")
	wire.Register[Grant]("broker_grant")
}
