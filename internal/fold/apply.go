package fold

import (
	"fmt"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Result classifies the outcome of a record.
type Result string

// The results of applying a record.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict" // its precondition did not hold
	Rejected Result = "rejected" // it is invalid, by itself or in the present state
	Partial  Result = "partial"  // a chunk of a publish whose other chunks are not all there yet
	Waiting  Result = "waiting"  // not applied yet: its config offset has not been read
)

// Outcome is the outcome of one record. It is the same for every reader.
type Outcome struct {
	Result    Result        `cbor:"result"`
	Reason    string        `cbor:"reason,omitempty"`  // empty when accepted
	Version   ident.Version `cbor:"version,omitempty"` // of a publish: the version in force after it
	Publisher string        `cbor:"by,omitempty"`      // of a publish in conflict: publisher of the version in force
}

var accepted = Outcome{Result: Accepted}

func conflict(format string, args ...any) Outcome {
	return Outcome{Result: Conflict, Reason: fmt.Sprintf(format, args...)}
}

func rejected(format string, args ...any) Outcome {
	return Outcome{Result: Rejected, Reason: fmt.Sprintf(format, args...)}
}

// Apply returns the state after r, which must be the next record of its
// stream, and the outcome of r. A record whose id was seen before only advances
// the offset and gets the outcome of the first copy. If [State.MustWait] holds
// for r, Apply returns s unchanged.
func (s *State) Apply(r Record) (*State, Outcome) {
	if s.MustWait(r) {
		return s, Outcome{Result: Waiting, Reason: fmt.Sprintf("decided on config offset %d, read up to %d", r.header().ConfigRead, s.ConfigOffset)}
	}
	next := *s
	h := r.header()
	if IsConfig(r) {
		next.ConfigOffset++
		outcome, seen := s.seenConfig.get(h.ID)
		// Chunks are deduplicated by publish id and index, not by record id:
		// after a partial publish was discarded, its chunks may be
		// appended again.
		if _, chunk := r.(PublishChunk); chunk || !seen {
			outcome = next.apply(r)
			next.seenConfig = next.seenConfig.set(h.ID, outcome)
		}
		return &next, outcome
	}
	next.FleetOffset++
	next.raiseConfigRead(h.ConfigRead)
	outcome, seen := s.seenFleet.get(h.ID)
	if !seen {
		outcome = next.apply(r)
		next.seenFleet = next.seenFleet.set(h.ID, outcome)
	}
	return &next, outcome
}

// Skip returns the state after a log entry that is not a valid record. config
// tells whether the entry is in the config stream or in the fleet stream.
func (s *State) Skip(config bool) *State {
	next := *s
	if config {
		next.ConfigOffset++
	} else {
		next.FleetOffset++
	}
	return &next
}

// raiseConfigRead takes account of the config offset in a fleet record's header.
func (s *State) raiseConfigRead(config ident.Offset) {
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
		return s.applyVMRecord(r)
	}
}

func (s *State) takePlanner(r TakePlanner) Outcome {
	if r.Term != s.Planner.Term+1 {
		return conflict("term %d does not follow term %d of %s", r.Term, s.Planner.Term, s.Planner.Holder)
	}
	s.Planner = Planner{Term: r.Term, Holder: r.Holder}
	return accepted
}
