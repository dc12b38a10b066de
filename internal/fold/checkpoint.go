package fold

import (
	"cmp"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// encodedState is the encoded form of a State. Equal states have equal encodings.
type encodedState struct {
	Format        int                 `cbor:"format"`
	Version       ident.Version       `cbor:"version"`
	ConfigOffset  ident.Offset        `cbor:"config_offset"`
	FleetOffset   ident.Offset        `cbor:"fleet_offset"`
	MaxConfigRead ident.Offset        `cbor:"basis"`
	File          *fleet.File         `cbor:"file"`
	Publisher     Publisher           `cbor:"publisher"`
	Planner       Planner             `cbor:"planner"`
	VMs           []encodedVM         `cbor:"vms"`
	Pools         []poolSpan          `cbor:"pools"`
	Partials      []partialPublish    `cbor:"partials"`
	Removed       [2][]ident.VMID     `cbor:"left"` // newer and older generation
	SeenConfig    [2][]encodedOutcome `cbor:"seen_config"`
	SeenFleet     [2][]encodedOutcome `cbor:"seen_fleet"`
}

// encodedVM is the encoded form of a VM, without the description that the file already holds.
type encodedVM struct {
	ID             ident.VMID    `cbor:"id"`
	Pool           ident.PoolID  `cbor:"pool"`
	Phase          Phase         `cbor:"phase"`
	Epoch          ident.Epoch   `cbor:"epoch,omitempty"`
	Since          time.Time     `cbor:"since"`
	LastMaintained *time.Time    `cbor:"last_maintained,omitempty"`
	Wave           ident.WaveID  `cbor:"wave,omitempty"`
	FirstVersion   ident.Version `cbor:"config"`
	FirstOffset    ident.Offset  `cbor:"config_offset"`
	ReturnBy       *time.Time    `cbor:"return_by,omitempty"`
	RemovedVM      *fleet.VM     `cbor:"left,omitempty"` // description, if the VM is no longer listed in the file
}

type encodedOutcome struct {
	ID      ident.RecordID `cbor:"id"`
	Outcome Outcome        `cbor:"verdict"`
}

// Checkpoint encodes the state. [Restore] decodes it to an equal state.
func (s *State) Checkpoint() ([]byte, error) {
	encoded := encodedState{
		Format: latestFormat, Version: s.Version, ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset, MaxConfigRead: s.MaxConfigRead,
		File: s.File, Publisher: s.Publisher, Planner: s.Planner, Pools: s.pools, Partials: s.partials,
		Removed:    [2][]ident.VMID{sortedKeys(s.removed.newer), sortedKeys(s.removed.older)},
		SeenConfig: encodeOutcomes(s.seenConfig), SeenFleet: encodeOutcomes(s.seenFleet),
	}
	for _, x := range s.vms.sorted() {
		vm := x.value
		v := encodedVM{
			ID: vm.ID, Pool: vm.Pool, Phase: vm.Phase, Epoch: vm.Epoch, Since: vm.Since, LastMaintained: timeOrNil(vm.LastMaintained),
			Wave: vm.Wave, FirstVersion: vm.FirstVersion, FirstOffset: vm.FirstOffset, ReturnBy: timeOrNil(vm.ReturnBy),
		}
		if vm.Removed {
			v.RemovedVM = &vm.VM
		}
		encoded.VMs = append(encoded.VMs, v)
	}
	data, err := wire.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return data, nil
}

// Restore returns the state that was encoded by [State.Checkpoint]. Its error
// is a *LaterFormatError if a later version of the program encoded the state.
func Restore(data []byte) (*State, error) {
	head, err := wire.Unmarshal[struct {
		Format int `cbor:"format"`
	}](data)
	if err != nil {
		return nil, &BadRecordError{Cause: fmt.Sprintf("checkpoint: %v", err)}
	}
	if head.Format > latestFormat {
		return nil, &LaterFormatError{Cause: fmt.Sprintf("format %d of a checkpoint, the newest known is %d", head.Format, latestFormat)}
	}
	encoded, err := wire.Unmarshal[encodedState](data)
	if err != nil {
		return nil, &BadRecordError{Cause: fmt.Sprintf("checkpoint: %v", err)}
	}
	if encoded.File == nil {
		return nil, &BadRecordError{Cause: "checkpoint: it holds no published file"}
	}
	s := Empty()
	s.Version, s.ConfigOffset, s.FleetOffset, s.MaxConfigRead = encoded.Version, encoded.ConfigOffset, encoded.FleetOffset, encoded.MaxConfigRead
	s.File, s.Publisher, s.Planner, s.pools, s.partials = encoded.File, encoded.Publisher, encoded.Planner, encoded.Pools, encoded.Partials
	for i := range s.partials {
		for _, c := range s.partials[i].Chunks {
			s.partials[i].size += ident.Bytes(len(c))
		}
	}
	s.removed.newer, s.removed.older = keySet(encoded.Removed[0]), keySet(encoded.Removed[1])
	s.seenConfig.newer, s.seenConfig.older = decodeOutcomes(encoded.SeenConfig[0]), decodeOutcomes(encoded.SeenConfig[1])
	s.seenFleet.newer, s.seenFleet.older = decodeOutcomes(encoded.SeenFleet[0]), decodeOutcomes(encoded.SeenFleet[1])
	return s, s.restoreVMs(encoded.VMs)
}

func (s *State) restoreVMs(encoded []encodedVM) error {
	published := make(map[ident.VMID]*fleet.VM, len(s.File.VMs))
	for i := range s.File.VMs {
		published[s.File.VMs[i].ID] = &s.File.VMs[i]
	}
	for _, v := range encoded {
		description := cmp.Or(v.RemovedVM, published[v.ID])
		if description == nil {
			return &BadRecordError{Cause: fmt.Sprintf("checkpoint: vm %q has no description", v.ID)}
		}
		vm := &VM{
			VM: *description, Phase: v.Phase, Epoch: v.Epoch, Since: v.Since, LastMaintained: timeOrZero(v.LastMaintained), Wave: v.Wave,
			FirstVersion: v.FirstVersion, FirstOffset: v.FirstOffset, ReturnBy: timeOrZero(v.ReturnBy), Removed: v.RemovedVM != nil,
		}
		vm.Pool = v.Pool
		s.vms = s.vms.set(v.ID, vm)
	}
	return nil
}

// CheckpointChunks encodes s and splits the result into records for the fleet
// stream. The id in h is the id of the whole checkpoint.
func CheckpointChunks(s *State, h Header) ([]CheckpointChunk, error) {
	data, err := s.Checkpoint()
	if err != nil {
		return nil, err
	}
	pieces := splitIntoChunks(data)
	out := make([]CheckpointChunk, len(pieces))
	for i, piece := range pieces {
		c := CheckpointChunk{
			Header: h, CheckpointID: string(h.ID), ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset,
			Index: i, Count: len(pieces), Data: piece,
		}
		c.ID = ident.RecordID(fmt.Sprintf("%s/%d", h.ID, i))
		c.ConfigRead = s.ConfigOffset
		out[i] = c
	}
	return out, nil
}

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func timeOrZero(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}

func sortedKeys[K ~string, V any](t persistentMap[K, V]) []K {
	var out []K
	for _, x := range t.sorted() {
		out = append(out, x.key)
	}
	return out
}

func keySet[K ~string](in []K) persistentMap[K, struct{}] {
	var t persistentMap[K, struct{}]
	for _, k := range in {
		t = t.set(k, struct{}{})
	}
	return t
}

func encodeOutcomes(r recentMap[ident.RecordID, Outcome]) [2][]encodedOutcome {
	var out [2][]encodedOutcome
	for i, t := range []persistentMap[ident.RecordID, Outcome]{r.newer, r.older} {
		for _, x := range t.sorted() {
			out[i] = append(out[i], encodedOutcome{ID: x.key, Outcome: x.value})
		}
	}
	return out
}

func decodeOutcomes(in []encodedOutcome) persistentMap[ident.RecordID, Outcome] {
	var t persistentMap[ident.RecordID, Outcome]
	for _, x := range in {
		t = t.set(x.ID, x.Outcome)
	}
	return t
}
