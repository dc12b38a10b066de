package fold

import (
	"cmp"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// checkpointForm is the encoded form of a State. Equal states have equal bytes.
type checkpointForm struct {
	Format       int             `cbor:"format"`
	Version      ident.Version   `cbor:"version"`
	ConfigOffset ident.Offset    `cbor:"config_offset"`
	FleetOffset  ident.Offset    `cbor:"fleet_offset"`
	Basis        ident.Offset    `cbor:"basis"`
	File         *fleet.File     `cbor:"file"`
	Publisher    Publisher       `cbor:"publisher"`
	Planner      Planner         `cbor:"planner"`
	VMs          []vmForm        `cbor:"vms"`
	Pools        []poolLife      `cbor:"pools"`
	Partials     []partial       `cbor:"partials"`
	Left         [2][]ident.VMID `cbor:"left"` // younger and older half
	SeenConfig   [2][]seenForm   `cbor:"seen_config"`
	SeenFleet    [2][]seenForm   `cbor:"seen_fleet"`
}

// vmForm is a VM without the description that the file already holds.
type vmForm struct {
	ID             ident.VMID    `cbor:"id"`
	Pool           ident.PoolID  `cbor:"pool"`
	Phase          Phase         `cbor:"phase"`
	Epoch          ident.Epoch   `cbor:"epoch,omitempty"`
	Since          time.Time     `cbor:"since"`
	LastMaintained *time.Time    `cbor:"last_maintained,omitempty"`
	Wave           ident.WaveID  `cbor:"wave,omitempty"`
	Config         ident.Version `cbor:"config"`
	ConfigOffset   ident.Offset  `cbor:"config_offset"`
	ReturnBy       *time.Time    `cbor:"return_by,omitempty"`
	Left           *fleet.VM     `cbor:"left,omitempty"` // description when the VM has left the file
}

type seenForm struct {
	ID      ident.RecordID `cbor:"id"`
	Verdict Outcome        `cbor:"verdict"`
}

// Checkpoint returns the state in an encoded form from which [Restore] makes an equal state.
func (s *State) Checkpoint() ([]byte, error) {
	form := checkpointForm{
		Format: format, Version: s.Version, ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset, Basis: s.MaxConfigRead,
		File: s.File, Publisher: s.Publisher, Planner: s.Planner, Pools: s.pools, Partials: s.partials,
		Left:       [2][]ident.VMID{keys(s.left.young), keys(s.left.old)},
		SeenConfig: seenForms(s.seenConfig), SeenFleet: seenForms(s.seenFleet),
	}
	for _, x := range s.vms.sorted() {
		vm := x.value
		v := vmForm{
			ID: vm.ID, Pool: vm.Pool, Phase: vm.Phase, Epoch: vm.Epoch, Since: vm.Since, LastMaintained: optional(vm.LastMaintained),
			Wave: vm.Wave, Config: vm.FirstVersion, ConfigOffset: vm.FirstOffset, ReturnBy: optional(vm.ReturnBy),
		}
		if vm.Removed {
			v.Left = &vm.VM
		}
		form.VMs = append(form.VMs, v)
	}
	data, err := wire.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return data, nil
}

// Restore returns the state that was encoded by Checkpoint. A checkpoint of a
// later version gives a *LaterFormatError.
func Restore(data []byte) (*State, error) {
	head, err := wire.Unmarshal[struct {
		Format int `cbor:"format"`
	}](data)
	if err != nil {
		return nil, &BadRecordError{Cause: fmt.Sprintf("checkpoint: %v", err)}
	}
	if head.Format > format {
		return nil, &LaterFormatError{Cause: fmt.Sprintf("format %d of a checkpoint, the newest known is %d", head.Format, format)}
	}
	form, err := wire.Unmarshal[checkpointForm](data)
	if err != nil || form.File == nil {
		return nil, &BadRecordError{Cause: fmt.Sprintf("checkpoint: %v", err)}
	}
	s := Empty()
	s.Version, s.ConfigOffset, s.FleetOffset, s.MaxConfigRead = form.Version, form.ConfigOffset, form.FleetOffset, form.Basis
	s.File, s.Publisher, s.Planner, s.pools, s.partials = form.File, form.Publisher, form.Planner, form.Pools, form.Partials
	for i := range s.partials {
		for _, c := range s.partials[i].Chunks {
			s.partials[i].size += ident.Bytes(len(c))
		}
	}
	s.left.young, s.left.old = keySet(form.Left[0]), keySet(form.Left[1])
	s.seenConfig.young, s.seenConfig.old = seenTable(form.SeenConfig[0]), seenTable(form.SeenConfig[1])
	s.seenFleet.young, s.seenFleet.old = seenTable(form.SeenFleet[0]), seenTable(form.SeenFleet[1])
	return s, s.restoreVMs(form.VMs)
}

func (s *State) restoreVMs(forms []vmForm) error {
	published := make(map[ident.VMID]*fleet.VM, len(s.File.VMs))
	for i := range s.File.VMs {
		published[s.File.VMs[i].ID] = &s.File.VMs[i]
	}
	for _, v := range forms {
		description := cmp.Or(v.Left, published[v.ID])
		if description == nil {
			return &BadRecordError{Cause: fmt.Sprintf("checkpoint: vm %q has no description", v.ID)}
		}
		vm := &VM{
			VM: *description, Phase: v.Phase, Epoch: v.Epoch, Since: v.Since, LastMaintained: valueOf(v.LastMaintained), Wave: v.Wave,
			FirstVersion: v.Config, FirstOffset: v.ConfigOffset, ReturnBy: valueOf(v.ReturnBy), Removed: v.Left != nil,
		}
		vm.Pool = v.Pool
		s.vms = s.vms.set(v.ID, vm)
	}
	return nil
}

// CheckpointChunks returns the records that carry a checkpoint of s in the
// fleet stream. The id in h names the checkpoint.
func CheckpointChunks(s *State, h Header) ([]CheckpointChunk, error) {
	data, err := s.Checkpoint()
	if err != nil {
		return nil, err
	}
	pieces := split(data)
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

func optional(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func valueOf(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}

func keys[K ~string, V any](t table[K, V]) []K {
	var out []K
	for _, x := range t.sorted() {
		out = append(out, x.key)
	}
	return out
}

func keySet[K ~string](in []K) table[K, struct{}] {
	var t table[K, struct{}]
	for _, k := range in {
		t = t.set(k, struct{}{})
	}
	return t
}

func seenForms(r recent[ident.RecordID, Outcome]) [2][]seenForm {
	var out [2][]seenForm
	for i, t := range []table[ident.RecordID, Outcome]{r.young, r.old} {
		for _, x := range t.sorted() {
			out[i] = append(out[i], seenForm{ID: x.key, Verdict: x.value})
		}
	}
	return out
}

func seenTable(in []seenForm) table[ident.RecordID, Outcome] {
	var t table[ident.RecordID, Outcome]
	for _, x := range in {
		t = t.set(x.ID, x.Verdict)
	}
	return t
}
