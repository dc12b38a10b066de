package peer

import (
	"errors"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Transport sends messages to other entries and reports which of them are up.
// Handlers must be registered before the transport runs. The messages of one sender are passed to the handlers one at
// a time.
type Transport interface {
	// Self returns the id of this entry.
	Self() ident.EntryID
	// View returns the current view, which includes this entry.
	View() *View
	// Send queues a message and never blocks. It can also send to this entry itself.
	// It returns ErrNoLink, ErrQueueFull or ErrTooLarge.
	Send(to ident.EntryID, m wire.Message) error
	// Handle registers a handler. Every handler is called for every message and must ignore those of other components.
	Handle(func(from ident.EntryID, m wire.Message))
	// OnView registers a function that is called with each new view, in order.
	OnView(func(*View))
}

// Errors of Send.
var (
	ErrNoLink    = errors.New("no link to this entry")
	ErrQueueFull = errors.New("the link's queue is full")
	ErrTooLarge  = errors.New("the message exceeds the size limit of a link")
)

// State is the state of an entry as seen by this process.
type State string

// The states of an entry. A refused connection proves that its process has ended. Silence proves nothing: the process
// may still be running.
const (
	Up     State = "up"
	Silent State = "silent" // no frame within silenceLimit, or no link yet
	Gone   State = "gone"   // it refused a connection or is no longer on the live list
)

// Member is one entry of a view.
type Member struct {
	ID    ident.EntryID
	Zone  ident.ZoneID
	State State
	// Incarnation distinguishes processes that use the same id.
	Incarnation uint64
}

// View is the membership at one time as seen by this process.
type View struct {
	Version uint64 // increases with each change seen by this process
	Members map[ident.EntryID]Member
}

// Zone returns the members of a zone that are in one of the given states.
func (v *View) Zone(z ident.ZoneID, states ...State) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Zone == z && containsState(states, m.State) {
			out = append(out, m)
		}
	}
	return out
}

func containsState(states []State, s State) bool {
	for _, x := range states {
		if x == s {
			return true
		}
	}
	return false
}
