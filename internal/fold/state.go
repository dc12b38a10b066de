package fold

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Phase is the stage of a VM's lifecycle.
type Phase string

// The phases of a VM.
const (
	Serving   Phase = "serving"   // in service in its pool
	Draining  Phase = "draining"  // its slots are no longer granted
	Drained   Phase = "drained"   // no permit is outstanding
	Rebooting Phase = "rebooting" // in maintenance
	Spare     Phase = "spare"     // up, in the spare pool
	Returned  Phase = "returned"  // returned to the platform
)

// VM is the state of one VM.
type VM struct {
	fleet.VM       // as published, except that Pool is the current pool
	Phase          Phase
	Epoch          ident.Epoch   // number of assignments and reboots so far
	Since          time.Time     // time of the record that set Phase
	LastMaintained time.Time     // time of the last finished reboot; zero if none
	Wave           ident.WaveID  // wave of the last reboot; empty if none
	FirstVersion   ident.Version // file version that first listed the VM
	FirstOffset    ident.Offset  // config offset of FirstVersion
	ReturnBy       time.Time     // deadline for its return to the platform; zero if none
	Removed        bool          // no longer listed in the file, but kept here until it has been returned
}

// Planner is the current holder of the planner role.
type Planner struct {
	Term   ident.Term    `cbor:"term"`
	Holder ident.EntryID `cbor:"holder"`
}

// Publisher is the operator whose file is in force.
type Publisher struct {
	Name string    `cbor:"name"`
	Time time.Time `cbor:"time"` // publisher's wall clock
}

// Limits of the sets that recognize repeated ids. A [recentMap] holds at most
// twice its limit.
//
// A writer repeats an append within seconds, so that a second copy arrives
// well within 4,096 records. A copy that arrives later fails its precondition:
// the base version, the planner term and the epoch only grow, and a VM goes
// through the phases only once in an epoch.
const (
	seenLimit    = 4096 // record ids of each stream
	removedLimit = 8192 // ids of VMs that were removed from the file
)

// State is the fleet state after the records of both streams up to
// ConfigOffset and FleetOffset.
type State struct {
	Version       ident.Version
	ConfigOffset  ident.Offset
	FleetOffset   ident.Offset
	MaxConfigRead ident.Offset // largest Header.ConfigRead of the fleet records
	File          *fleet.File  // the configuration file in force; never nil
	Publisher     Publisher
	Planner       Planner

	vms        persistentMap[ident.VMID, *VM]
	pools      []poolSpan
	partials   []partialPublish                   // oldest first
	removed    recentMap[ident.VMID, struct{}]    // VMs that are no longer listed in the file
	seenConfig recentMap[ident.RecordID, Outcome] // by id of a config record or of a whole publish
	seenFleet  recentMap[ident.RecordID, Outcome]
}

// poolSpan is the range of config offsets at which the file defines a pool.
type poolSpan struct {
	ID        ident.PoolID `cbor:"id"`
	AddedAt   ident.Offset `cbor:"born"`
	RemovedAt ident.Offset `cbor:"died"` // 0 while the file defines it
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{
		File:       &fleet.File{},
		removed:    recentMap[ident.VMID, struct{}]{limit: removedLimit},
		seenConfig: recentMap[ident.RecordID, Outcome]{limit: seenLimit},
		seenFleet:  recentMap[ident.RecordID, Outcome]{limit: seenLimit},
	}
}

// VM returns the VM with the given id, or nil.
func (s *State) VM(id ident.VMID) *VM {
	vm, _ := s.vms.get(id)
	return vm
}

// VMs iterates over the VMs in an order that depends only on their ids.
func (s *State) VMs(yield func(*VM) bool) {
	for _, vm := range s.vms.all {
		if !yield(vm) {
			return
		}
	}
}

// Len returns the number of VMs.
func (s *State) Len() int { return s.vms.size }

// Outcome returns the outcome of the record or publish with the given id, if
// it is among the recent ones that the state stores.
func (s *State) Outcome(id ident.RecordID) (Outcome, bool) {
	if outcome, ok := s.seenConfig.get(id); ok {
		return outcome, ok
	}
	return s.seenFleet.get(id)
}

// MustWait reports whether a record cannot be applied yet, because its writer
// had read further in the config stream than this state.
func (s *State) MustWait(r Record) bool {
	return !IsConfig(r) && r.header().ConfigRead > s.ConfigOffset
}

// Newer reports whether s is ahead of o in at least one stream and behind o in none.
func (s *State) Newer(o *State) bool {
	return s.ConfigOffset >= o.ConfigOffset && s.FleetOffset >= o.FleetOffset &&
		(s.ConfigOffset > o.ConfigOffset || s.FleetOffset > o.FleetOffset)
}
