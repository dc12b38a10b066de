package fold

import (
	"fmt"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Result says what became of a record.
type Result string

// The results of a record.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict" // its precondition did not hold
	Rejected Result = "rejected" // it contradicts itself or the state
	Partial  Result = "partial"  // a chunk of a publish that is not complete yet
	Waiting  Result = "waiting"  // not applied: it names a config offset that has not been read
)

// Outcome is the outcome of one record, the same for every reader.
type Outcome struct {
	Result    Result        `cbor:"result"`
	Reason    string        `cbor:"reason,omitempty"`  // empty when accepted
	Version   ident.Version `cbor:"version,omitempty"` // of a publish: the version in force after it
	Publisher string        `cbor:"by,omitempty"`      // of a publish in conflict: publisher of that version
}

var accepted = Outcome{Result: Accepted}

func conflict(format string, args ...any) Outcome {
	return Outcome{Result: Conflict, Reason: fmt.Sprintf(format, args...)}
}

func rejected(format string, args ...any) Outcome {
	return Outcome{Result: Rejected, Reason: fmt.Sprintf(format, args...)}
}

// Apply returns the state after r, which is the next record of its stream, and
// the verdict on r. A record whose id was seen before changes only the offset
// and gets its first verdict again. A record that waits leaves the state as it is.
func (s *State) Apply(r Record) (*State, Outcome) {
	if s.MustWait(r) {
		return s, Outcome{Result: Waiting, Reason: fmt.Sprintf("decided on config offset %d, read up to %d", r.header().ConfigRead, s.ConfigOffset)}
	}
	next := *s
	h := r.header()
	if IsConfig(r) {
		next.ConfigOffset++
		v, seen := s.seenConfig.get(h.ID)
		// A chunk may come again after its publish was given up, and is
		// recognized by the publish and its index.
		if _, chunk := r.(PublishChunk); chunk || !seen {
			v = next.apply(r)
			next.seenConfig = next.seenConfig.set(h.ID, v)
		}
		return &next, v
	}
	next.FleetOffset++
	next.base(h.ConfigRead)
	v, seen := s.seenFleet.get(h.ID)
	if !seen {
		v = next.apply(r)
		next.seenFleet = next.seenFleet.set(h.ID, v)
	}
	return &next, v
}

// Skip returns the state after an entry of a stream that is not a record.
func (s *State) Skip(config bool) *State {
	next := *s
	if config {
		next.ConfigOffset++
	} else {
		next.FleetOffset++
	}
	return &next
}

// base notes the config offset that a fleet record was decided on.
func (s *State) base(config ident.Offset) {
	if config > s.MaxConfigRead {
		s.MaxConfigRead = config
		s.prunePools()
	}
}

func (s *State) apply(r Record) Outcome {
	if r.header().ID == "" {
		return rejected("the record has no id")
	}
	switch r := r.(type) {
	case Publish:
		return s.publish(r)
	case PublishChunk:
		return s.publishChunk(r)
	case CheckpointChunk:
		return accepted
	case TakePlanner:
		return s.takePlanner(r)
	default:
		return s.applyStep(r)
	}
}

func (s *State) takePlanner(r TakePlanner) Outcome {
	if r.Term != s.Planner.Term+1 {
		return conflict("term %d does not follow term %d of %s", r.Term, s.Planner.Term, s.Planner.Holder)
	}
	s.Planner = Planner{Term: r.Term, Holder: r.Holder}
	return accepted
}
