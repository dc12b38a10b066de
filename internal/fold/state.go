package fold

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Phase is the stage of a VM's life.
type Phase string

// The phases of a VM.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Drained   Phase = "drained"
	Rebooting Phase = "rebooting"
	Spare     Phase = "spare"
	Returned  Phase = "returned"
)

// VM is the folded state of one VM.
type VM struct {
	fleet.VM                     // as published; Pool is the present pool
	Phase          Phase         // stage of its life
	Epoch          ident.Epoch   // counts the assignments and reboots
	Since          time.Time     // time of the record that set Phase
	LastMaintained time.Time     // zero when never rebooted
	Wave           ident.WaveID  // wave of the newest reboot; empty when none
	FirstVersion   ident.Version // version that first named the VM
	FirstOffset    ident.Offset  // config offset of that version
	ReturnBy       time.Time     // deadline of its return; zero when none
	Removed        bool          // the file no longer names it; it is kept until it has been returned
}

// Planner is the present holder of the planner duty.
type Planner struct {
	Term   ident.Term    `cbor:"term"`
	Holder ident.EntryID `cbor:"holder"`
}

// Publisher is the operator whose file is in force.
type Publisher struct {
	Name string    `cbor:"name"`
	Time time.Time `cbor:"time"` // publisher's wall clock
}

// Number of record ids that are remembered in each stream, and of VM ids that
// have left the file; each memory holds at most twice its number.
//
// A writer appends a record again within seconds, so that a second copy comes
// well within 4,096 records. A copy that comes later is void by its
// precondition: the base version, the term and the epoch only grow, and within
// an epoch a VM goes through the phases only once.
const (
	seenLimit = 4096
	leftLimit = 8192
)

// State is the fold of both streams up to Config and Fleet offsets.
type State struct {
	Version       ident.Version
	ConfigOffset  ident.Offset
	FleetOffset   ident.Offset
	MaxConfigRead ident.Offset // largest config offset that a fleet record has named
	File          *fleet.File  // the accepted configuration; never nil
	Publisher     Publisher
	Planner       Planner

	vms        table[ident.VMID, *VM]
	pools      []poolLife
	partials   []partial                       // unfinished publishes, oldest first
	left       recent[ident.VMID, struct{}]    // VMs that the file no longer names
	seenConfig recent[ident.RecordID, Outcome] // ids of config records and publishes
	seenFleet  recent[ident.RecordID, Outcome]
}

// poolLife is the span of config offsets within which the file names a pool.
type poolLife struct {
	ID   ident.PoolID `cbor:"id"`
	Born ident.Offset `cbor:"born"`
	Died ident.Offset `cbor:"died"` // 0 while the file names it
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{
		File:       &fleet.File{},
		left:       recent[ident.VMID, struct{}]{limit: leftLimit},
		seenConfig: recent[ident.RecordID, Outcome]{limit: seenLimit},
		seenFleet:  recent[ident.RecordID, Outcome]{limit: seenLimit},
	}
}

// VM returns the VM with the given id, or nil.
func (s *State) VM(id ident.VMID) *VM {
	vm, _ := s.vms.get(id)
	return vm
}

// VMs calls yield for each VM, in an order that depends only on the ids.
func (s *State) VMs(yield func(*VM) bool) {
	for _, vm := range s.vms.all {
		if !yield(vm) {
			return
		}
	}
}

// Len returns the number of VMs.
func (s *State) Len() int { return s.vms.size }

// Outcome returns what became of the record or publish with the given id, if
// that is still remembered.
func (s *State) Outcome(id ident.RecordID) (Outcome, bool) {
	if v, ok := s.seenConfig.get(id); ok {
		return v, ok
	}
	return s.seenFleet.get(id)
}

// MustWait reports whether a record cannot be applied yet, because it was decided
// on a part of the config stream that this state has not read.
func (s *State) MustWait(r Record) bool {
	return !IsConfig(r) && r.header().ConfigRead > s.ConfigOffset
}

// Newer reports whether s has read further than o in one stream and not less far in the other.
func (s *State) Newer(o *State) bool {
	return s.ConfigOffset >= o.ConfigOffset && s.FleetOffset >= o.FleetOffset &&
		(s.ConfigOffset > o.ConfigOffset || s.FleetOffset > o.FleetOffset)
}
