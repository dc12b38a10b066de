package fold

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// chunkBytes is the size of the data in one chunk. It leaves space for the
	// header, so that an encoded chunk stays below 200 KiB and well below the
	// platform's limit of 256 KiB for a record.
	chunkBytes      = 180 * ident.KiB
	maxChunkBytes   = 200 * ident.KiB // data in one chunk that is accepted
	maxChunks       = 64              // chunks of one publish
	maxPartials     = 32              // partial publishes that a state stores
	maxPartialBytes = 16 * ident.MiB  // data in all of them together, if there is more than one
	maxErrors       = 10              // errors of a file that are listed in an outcome
)

// partialPublish is a publish of which some chunks have not been applied yet.
type partialPublish struct {
	ID     ident.RecordID `cbor:"id"`
	Chunks [][]byte       `cbor:"chunks"` // by index; nil where missing
	Sum    []byte         `cbor:"sum"`
	size   ident.Bytes
}

// PublishChunks splits a publish into records for the config stream. base is
// the file of version p.Base.
func PublishChunks(p Publish, base *fleet.File) ([]PublishChunk, error) {
	data, err := wire.Marshal(*fleet.Diff(base, p.File))
	if err != nil {
		return nil, fmt.Errorf("encode publish: %w", err)
	}
	sum := sha256.Sum256(data)
	pieces := splitIntoChunks(data)
	if len(pieces) > maxChunks {
		return nil, fmt.Errorf("the change takes %d records, the limit is %d; publish it in steps", len(pieces), maxChunks)
	}
	out := make([]PublishChunk, len(pieces))
	for i, piece := range pieces {
		h := p.Header
		h.ID = ident.RecordID(fmt.Sprintf("%s/%d", p.ID, i))
		out[i] = PublishChunk{Header: h, PublishID: p.ID, Base: p.Base, Index: i, Count: len(pieces), Sum: sum[:], Data: piece}
	}
	return out, nil
}

func splitIntoChunks(data []byte) [][]byte {
	return slices.Collect(slices.Chunk(data, int(chunkBytes)))
}

func (s *State) publish(r Publish) Outcome {
	if outcome, ok := s.staleBase(r.Base); ok {
		return outcome
	}
	if r.File == nil {
		return rejected("the publish has no file")
	}
	return s.accept(r.Header, r.File, fleet.Diff(s.File, r.File))
}

// staleBase returns the outcome of a publish that was not made from the
// version in force, or false if base is that version.
func (s *State) staleBase(base ident.Version) (Outcome, bool) {
	if base == s.Version {
		return Outcome{}, false
	}
	outcome := conflict("made from version %d, but version %d by %s is in force", base, s.Version, s.Publisher.Name)
	outcome.Version, outcome.Publisher = s.Version, s.Publisher.Name
	return outcome, true
}

func (s *State) publishChunk(r PublishChunk) Outcome {
	if outcome, ok := s.seenConfig.get(r.PublishID); ok {
		return outcome
	}
	if r.Count < 1 || r.Count > maxChunks || r.Index < 0 || r.Index >= r.Count || len(r.Data) > int(maxChunkBytes) {
		return rejected("chunk %d of %d with %d bytes is not within the limits", r.Index, r.Count, len(r.Data))
	}
	if outcome, ok := s.staleBase(r.Base); ok {
		s.finishPublish(r.PublishID, outcome)
		return outcome
	}
	p, ok := s.addChunk(r)
	if !ok {
		return rejected("chunk %d of %d does not belong to the chunks before", r.Index, r.Count)
	}
	missing := 0
	for _, c := range p.Chunks {
		if c == nil {
			missing++
		}
	}
	if missing > 0 {
		return Outcome{Result: Partial, Reason: fmt.Sprintf("%d of %d chunks are missing", missing, r.Count)}
	}
	outcome := s.assemble(r, p)
	s.finishPublish(r.PublishID, outcome)
	return outcome
}

// addChunk stores a chunk with the others of its publish, or returns false if
// it does not match them. It discards the oldest partial publishes beyond the
// limits; their publishers may append them again.
func (s *State) addChunk(r PublishChunk) (partialPublish, bool) {
	p := partialPublish{ID: r.PublishID, Chunks: make([][]byte, r.Count), Sum: r.Sum}
	if i := s.findPartial(r.PublishID); i >= 0 {
		p = s.partials[i]
		if len(p.Chunks) != r.Count || !bytes.Equal(p.Sum, r.Sum) {
			return p, false
		}
		p.Chunks = slices.Clone(p.Chunks)
	}
	if p.Chunks[r.Index] == nil {
		p.Chunks[r.Index] = append([]byte{}, r.Data...)
		p.size += ident.Bytes(len(r.Data))
	}
	s.dropPartial(r.PublishID)
	s.partials = append(s.partials, p)
	for len(s.partials) > maxPartials || s.partialSize() > maxPartialBytes && len(s.partials) > 1 {
		s.partials = s.partials[1:]
	}
	return p, true
}

func (s *State) findPartial(id ident.RecordID) int {
	return slices.IndexFunc(s.partials, func(p partialPublish) bool { return p.ID == id })
}

func (s *State) partialSize() ident.Bytes {
	var sum ident.Bytes
	for _, p := range s.partials {
		sum += p.size
	}
	return sum
}

// dropPartial removes a partial publish. It copies the slice, which other
// states may share, so that the caller may append to it.
func (s *State) dropPartial(id ident.RecordID) {
	s.partials = slices.DeleteFunc(slices.Clone(s.partials), func(p partialPublish) bool { return p.ID == id })
}

// finishPublish stores the outcome of a whole publish.
func (s *State) finishPublish(id ident.RecordID, outcome Outcome) {
	s.dropPartial(id)
	s.seenConfig = s.seenConfig.set(id, outcome)
}

// assemble decodes the chunks of a complete publish and accepts its file if it is valid.
func (s *State) assemble(r PublishChunk, p partialPublish) Outcome {
	data := slices.Concat(p.Chunks...)
	if sum := sha256.Sum256(data); !bytes.Equal(sum[:], r.Sum) {
		return rejected("the chunks do not have the stated checksum")
	}
	delta, err := wire.Unmarshal[fleet.Delta](data)
	if err != nil {
		return rejected("the change cannot be read: %v", err)
	}
	f, err := fleet.ApplyDiff(s.File, &delta)
	if err != nil {
		return rejected("the change cannot be applied: %v", err)
	}
	return s.accept(r.Header, f, &delta)
}

// accept puts a file in force unless it has errors. delta is the difference
// between the file in force and f.
func (s *State) accept(h Header, f *fleet.File, delta *fleet.Delta) Outcome {
	if errs := s.fileErrors(f, delta); len(errs) > 0 {
		if more := len(errs) - maxErrors; more > 0 {
			errs = append(errs[:maxErrors], fmt.Sprintf("and %d more", more))
		}
		return rejected("%s", strings.Join(errs, "; "))
	}
	old := s.File
	s.Version++
	s.File = f
	s.Publisher = Publisher{Name: h.Writer, Time: h.Time}
	s.updatePools(f)
	for i := range delta.VMs.Changes {
		s.mergeVM(&delta.VMs.Changes[i], h.Time)
	}
	readded := map[ident.VMID]bool{}
	for i := range delta.VMs.Adds {
		readded[delta.VMs.Adds[i].Value.ID] = true
		s.mergeVM(&delta.VMs.Adds[i].Value, h.Time)
	}
	if delta.Returns != nil {
		s.updateReturns(old, f)
	}
	for _, id := range delta.VMs.Drops {
		if !readded[id] {
			s.removeVM(id)
		}
	}
	for _, p := range s.partials { // all of them have the replaced version as base
		outcome, _ := s.staleBase(s.Version - 1)
		s.seenConfig = s.seenConfig.set(p.ID, outcome)
	}
	s.partials = nil
	return Outcome{Result: Accepted, Version: s.Version}
}

// fileErrors returns the errors of a file, and of the ids of the VMs that it adds.
func (s *State) fileErrors(f *fleet.File, delta *fleet.Delta) []string {
	var out []string
	for _, x := range fleet.Check(f, s.File) {
		out = append(out, x.Message)
	}
	for i := range delta.VMs.Adds {
		id := delta.VMs.Adds[i].Value.ID
		if _, gone := s.removed.get(id); gone {
			out = append(out, fmt.Sprintf("vm %q has left the fleet; publish it under a new id", id))
		}
	}
	return out
}

// mergeVM adds a published VM or updates its description. The pool of an
// existing VM stays, since only [Assign] changes it.
func (s *State) mergeVM(published *fleet.VM, at time.Time) {
	vm := VM{Phase: s.activePhase(published.Pool), Since: at, FirstVersion: s.Version, FirstOffset: s.ConfigOffset}
	pool := published.Pool
	if old := s.VM(published.ID); old != nil {
		vm = *old
		pool = old.Pool
	}
	vm.VM = *published
	vm.Pool = pool
	vm.Removed = false
	s.vms = s.vms.set(published.ID, &vm)
}

// removeVM handles a VM that the file no longer lists. The VM is kept until
// it has been returned.
func (s *State) removeVM(id ident.VMID) {
	s.removed = s.removed.set(id, struct{}{})
	old := s.VM(id)
	if old == nil || old.Phase == Returned {
		s.vms = s.vms.remove(id)
		return
	}
	vm := *old
	vm.Removed = true
	s.vms = s.vms.set(id, &vm)
}

// updateReturns sets the return deadlines listed in f, and clears those that
// only the old file lists. A VM that f no longer lists keeps its deadline.
func (s *State) updateReturns(old, f *fleet.File) {
	deadline := map[ident.VMID]time.Time{}
	listed := map[ident.VMID]bool{}
	for i := range f.VMs {
		listed[f.VMs[i].ID] = true
	}
	for _, r := range old.Returns {
		for _, id := range r.VMs {
			if listed[id] {
				deadline[id] = time.Time{}
			}
		}
	}
	for _, r := range f.Returns {
		for _, id := range r.VMs {
			deadline[id] = r.Deadline
		}
	}
	for id, at := range deadline {
		if old := s.VM(id); old != nil && !old.ReturnBy.Equal(at) {
			vm := *old
			vm.ReturnBy = at
			s.vms = s.vms.set(id, &vm)
		}
	}
}

// updatePools updates the pool spans for the file that comes into force.
func (s *State) updatePools(f *fleet.File) {
	spans := slices.Clone(s.pools)
	added := map[ident.PoolID]bool{}
	for i := range f.Pools {
		added[f.Pools[i].ID] = true
	}
	for i := range spans {
		switch {
		case spans[i].RemovedAt != 0:
		case added[spans[i].ID]:
			delete(added, spans[i].ID)
		default:
			spans[i].RemovedAt = s.ConfigOffset
		}
	}
	for i := range f.Pools {
		if added[f.Pools[i].ID] {
			spans = append(spans, poolSpan{ID: f.Pools[i].ID, AddedAt: s.ConfigOffset})
		}
	}
	s.pools = spans
	s.prunePools()
}
