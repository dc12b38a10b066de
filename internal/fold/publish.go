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
	// chunkData leaves room for the header, so that a chunk stays below
	// 200 KiB and well below the platform's limit of 256 KiB for a record.
	chunkData     = 180 * ident.KiB
	maxChunkData  = 200 * ident.KiB
	maxChunks     = 64
	maxPartials   = 32
	partialMemory = 16 * ident.MiB
	maxFaults     = 10 // faults named in a verdict
)

// partial is a publish of which some chunks are still missing.
type partial struct {
	ID     ident.RecordID `cbor:"id"`
	Chunks [][]byte       `cbor:"chunks"` // nil where missing
	Sum    []byte         `cbor:"sum"`
	size   ident.Bytes
}

// PublishChunks splits a publish into the records that carry it in the log; base is
// the file of version p.Base.
func PublishChunks(p Publish, base *fleet.File) ([]PublishChunk, error) {
	data, err := wire.Marshal(*fleet.Diff(base, p.File))
	if err != nil {
		return nil, fmt.Errorf("encode publish: %w", err)
	}
	sum := sha256.Sum256(data)
	pieces := split(data)
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

func split(data []byte) [][]byte {
	return slices.Collect(slices.Chunk(data, int(chunkData)))
}

func (s *State) publish(r Publish) Outcome {
	if v, ok := s.stale(r.Base); ok {
		return v
	}
	if r.File == nil {
		return rejected("the publish has no file")
	}
	return s.accept(r.Header, r.File, fleet.Diff(s.File, r.File))
}

// stale returns the verdict on a publish that was not made from the version in force.
func (s *State) stale(base ident.Version) (Outcome, bool) {
	if base == s.Version {
		return Outcome{}, false
	}
	v := conflict("made from version %d, but version %d by %s is in force", base, s.Version, s.Publisher.Name)
	v.Version, v.Publisher = s.Version, s.Publisher.Name
	return v, true
}

func (s *State) publishChunk(r PublishChunk) Outcome {
	if v, ok := s.seenConfig.get(r.PublishID); ok {
		return v
	}
	if r.Count < 1 || r.Count > maxChunks || r.Index < 0 || r.Index >= r.Count || len(r.Data) > int(maxChunkData) {
		return rejected("chunk %d of %d with %d bytes is not within the limits", r.Index, r.Count, len(r.Data))
	}
	if v, ok := s.stale(r.Base); ok {
		s.conclude(r.PublishID, v)
		return v
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
	v := s.assemble(r, p)
	s.conclude(r.PublishID, v)
	return v
}

// addChunk stores a chunk with the others of its publish. Beyond its limits it
// gives up the oldest unfinished publishes, which their publishers may append again.
func (s *State) addChunk(r PublishChunk) (partial, bool) {
	p := partial{ID: r.PublishID, Chunks: make([][]byte, r.Count), Sum: r.Sum}
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
	for len(s.partials) > maxPartials || s.partialSize() > partialMemory && len(s.partials) > 1 {
		s.partials = s.partials[1:]
	}
	return p, true
}

func (s *State) findPartial(id ident.RecordID) int {
	return slices.IndexFunc(s.partials, func(p partial) bool { return p.ID == id })
}

func (s *State) partialSize() ident.Bytes {
	var sum ident.Bytes
	for _, p := range s.partials {
		sum += p.size
	}
	return sum
}

// dropPartial removes an unfinished publish and leaves a slice that may be appended to.
func (s *State) dropPartial(id ident.RecordID) {
	s.partials = slices.DeleteFunc(slices.Clone(s.partials), func(p partial) bool { return p.ID == id })
}

// conclude keeps the verdict on a whole publish.
func (s *State) conclude(id ident.RecordID, v Outcome) {
	s.dropPartial(id)
	s.seenConfig = s.seenConfig.set(id, v)
}

func (s *State) assemble(r PublishChunk, p partial) Outcome {
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

// accept puts a file in force unless it has a fault.
func (s *State) accept(h Header, f *fleet.File, delta *fleet.Delta) Outcome {
	if faults := s.faults(f, delta); len(faults) > 0 {
		if more := len(faults) - maxFaults; more > 0 {
			faults = append(faults[:maxFaults], fmt.Sprintf("and %d more", more))
		}
		return rejected("%s", strings.Join(faults, "; "))
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
			s.leave(id)
		}
	}
	for _, p := range s.partials {
		v, _ := s.stale(s.Version - 1)
		s.seenConfig = s.seenConfig.set(p.ID, v)
	}
	s.partials = nil
	return Outcome{Result: Accepted, Version: s.Version}
}

func (s *State) faults(f *fleet.File, delta *fleet.Delta) []string {
	var out []string
	for _, x := range fleet.Check(f, s.File) {
		out = append(out, x.Text)
	}
	for i := range delta.VMs.Adds {
		id := delta.VMs.Adds[i].Value.ID
		if _, gone := s.left.get(id); gone {
			out = append(out, fmt.Sprintf("vm %q has left the fleet; publish it under a new id", id))
		}
	}
	return out
}

// mergeVM adds a published VM, or updates its description but not its pool,
// which only Assign changes.
func (s *State) mergeVM(pub *fleet.VM, at time.Time) {
	vm := VM{Phase: s.activePhase(pub.Pool), Since: at, FirstVersion: s.Version, FirstOffset: s.ConfigOffset}
	pool := pub.Pool
	if old := s.VM(pub.ID); old != nil {
		vm = *old
		pool = old.Pool
	}
	vm.VM = *pub
	vm.Pool = pool
	vm.Removed = false
	s.vms = s.vms.set(pub.ID, &vm)
}

// leave marks a VM that the file no longer names; it stays until it has been returned.
func (s *State) leave(id ident.VMID) {
	s.left = s.left.set(id, struct{}{})
	old := s.VM(id)
	if old == nil || old.Phase == Returned {
		s.vms = s.vms.remove(id)
		return
	}
	vm := *old
	vm.Removed = true
	s.vms = s.vms.set(id, &vm)
}

// updateReturns sets the deadlines of the VMs that f returns. A VM that has
// left the file keeps its deadline.
func (s *State) updateReturns(old, f *fleet.File) {
	deadline := map[ident.VMID]time.Time{}
	named := map[ident.VMID]bool{}
	for i := range f.VMs {
		named[f.VMs[i].ID] = true
	}
	for _, r := range old.Returns {
		for _, id := range r.VMs {
			if named[id] {
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

// updatePools notes which pools the file in force names.
func (s *State) updatePools(f *fleet.File) {
	lives := slices.Clone(s.pools)
	named := map[ident.PoolID]bool{}
	for i := range f.Pools {
		named[f.Pools[i].ID] = true
	}
	for i := range lives {
		switch {
		case lives[i].Died != 0:
		case named[lives[i].ID]:
			delete(named, lives[i].ID)
		default:
			lives[i].Died = s.ConfigOffset
		}
	}
	for i := range f.Pools {
		if named[f.Pools[i].ID] {
			lives = append(lives, poolLife{ID: f.Pools[i].ID, Born: s.ConfigOffset})
		}
	}
	s.pools = lives
	s.prunePools()
}
