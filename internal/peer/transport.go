package peer

import (
	"errors"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Transport sends messages to other entries and tells which of them are up.
// Handlers are registered before the transport runs, and are called one at a time for each sender.
type Transport interface {
	// Self returns the id of this entry.
	Self() ident.EntryID
	// View returns the present view; it contains this entry.
	View() *View
	// Send queues a message and never blocks. A message to this entry itself is handled like any other.
	// It returns ErrNoLink, ErrQueueFull or ErrTooLarge.
	Send(to ident.EntryID, m wire.Message) error
	// Handle registers a handler; every handler sees every message and ignores those of other components.
	Handle(func(from ident.EntryID, m wire.Message))
	// OnView registers a function that is called, in order, with each new view.
	OnView(func(*View))
}

// Errors of Send.
var (
	ErrNoLink    = errors.New("no link to this entry")
	ErrQueueFull = errors.New("the link's queue is full")
	ErrTooLarge  = errors.New("the message is larger than a link carries")
)

// State is what this process knows of another entry.
type State string

// The states of an entry. A refused connection proves Gone; silence proves nothing.
const (
	Up     State = "up"
	Silent State = "silent" // no heartbeat within the limit; it may still be running
	Gone   State = "gone"   // it refused a connection or has left the live list
)

// Member is one entry of a view.
type Member struct {
	ID    ident.EntryID
	Zone  ident.ZoneID
	State State
	// Incarnation differs between two processes that used the same id.
	Incarnation uint64
}

// View is one state of the membership as seen by this process.
type View struct {
	Version uint64 // grows with each change seen by this process
	Members map[ident.EntryID]Member
}

// Zone returns the members of a zone that are in one of the given states.
func (v *View) Zone(z ident.ZoneID, states ...State) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Zone == z && has(states, m.State) {
			out = append(out, m)
		}
	}
	return out
}

func has(states []State, s State) bool {
	for _, x := range states {
		if x == s {
			return true
		}
	}
	return false
}
