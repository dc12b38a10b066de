package fold

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

func testFile(base ident.Version, vms ...int) *fleet.File {
	f := &fleet.File{
		Name: "kigali", Base: base, SparePool: "spare",
		Pools: []fleet.Pool{{ID: "spare"}, {ID: "cut", Routes: []string{"/cut/"}}},
	}
	for _, i := range vms {
		f.VMs = append(f.VMs, fleet.VM{ID: vmName(i), Zone: "a", Rack: "r", Pool: f.Pools[i%2].ID, Slots: 8, Connections: 64})
	}
	return f
}

func vmName(i int) ident.VMID { return ident.VMID(fmt.Sprintf("vm-%d", i)) }

func at(n int) time.Time { return time.Unix(int64(n), 0).UTC() }

func apply(t testing.TB, s *State, r Record, want Result) *State {
	t.Helper()
	next, outcome := s.Apply(r)
	if outcome.Result != want {
		t.Fatalf("Apply(%T %s) = %+v, want %s", r, IDOf(r), outcome, want)
	}
	return next
}

func chunks(t testing.TB, id ident.RecordID, writer string, base *fleet.File, f *fleet.File) []PublishChunk {
	t.Helper()
	out, err := PublishChunks(Publish{Header: Header{ID: id, Writer: writer, Time: at(1)}, Base: f.Base, File: f}, base)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a publish that takes effect before its last chunk, takes
// effect twice, or is accepted although another publish replaced its base version.
func TestPublishInChunks(t *testing.T) {
	big := testFile(0)
	for i := range 3000 {
		big.VMs = append(big.VMs, fleet.VM{ID: vmName(i), Zone: "a", Rack: "r", Pool: "cut", Slots: 8, Connections: 64})
	}
	first := chunks(t, "first", "amina", &fleet.File{}, big)
	if len(first) < 2 {
		t.Fatalf("%d chunks, want at least 2", len(first))
	}
	for _, c := range first {
		if b, err := wire.Encode(c); err != nil || len(b) > 200<<10 {
			t.Fatalf("chunk of %d bytes, %v; want less than 200 KiB", len(b), err)
		}
	}
	rival := chunks(t, "rival", "juan", &fleet.File{}, testFile(0, 1))
	s := Empty()
	for _, c := range first[:len(first)-1] {
		s = apply(t, s, c, Partial)
		s = apply(t, s, c, Partial)
	}
	if s.Version != 0 {
		t.Fatalf("version %d before the last chunk", s.Version)
	}
	s = apply(t, s, first[len(first)-1], Accepted)
	s = apply(t, s, first[0], Accepted)
	s = apply(t, s, rival[0], Conflict)
	if v, _ := s.Outcome("rival"); v.Publisher != "amina" || v.Version != 1 {
		t.Errorf("outcome of the conflicting publish = %+v, want publisher amina and version 1", v)
	}
	if s.Version != 1 || s.Len() != 3000 || len(s.partials) != 0 {
		t.Errorf("version %d, %d VMs, %d partial publishes; want 1, 3000, 0", s.Version, s.Len(), len(s.partials))
	}
}

// Guards against a publisher that never gets an outcome because another
// publish was accepted while it was still appending its chunks.
func TestPartialPublishConflictsWithAcceptedOne(t *testing.T) {
	slow := chunks(t, "slow", "juan", &fleet.File{}, testFile(0, 1))[0]
	slow.Count = 2
	s := apply(t, Empty(), slow, Partial)
	s = apply(t, s, chunks(t, "quick", "amina", &fleet.File{}, testFile(0, 1))[0], Accepted)
	if v, ok := s.Outcome("slow"); !ok || v.Result != Conflict || v.Publisher != "amina" {
		t.Errorf("Outcome = %+v, %v; want a conflict with amina", v, ok)
	}
}

// Guards against a VM that is removed from the file and then deleted from the
// state before it has been drained and returned.
func TestVMRemovedFromFile(t *testing.T) {
	s := apply(t, Empty(), Publish{Header: Header{ID: "1"}, File: testFile(0, 1, 2)}, Accepted)
	apply(t, s, Publish{Header: Header{ID: "x"}, Base: 1, File: testFile(1, 2)}, Rejected)
	returning := testFile(1, 1, 2)
	returning.Returns = []fleet.Return{{VMs: []ident.VMID{"vm-1"}, Deadline: at(100)}}
	s = apply(t, s, Publish{Header: Header{ID: "2"}, Base: 1, File: returning}, Accepted)
	s = apply(t, s, Publish{Header: Header{ID: "3"}, Base: 2, File: testFile(2, 2)}, Accepted)
	if vm := s.VM("vm-1"); vm == nil || !vm.Removed || !vm.ReturnBy.Equal(at(100)) {
		t.Fatalf("vm-1 = %+v, want it to be kept with its return deadline", vm)
	}
	step := VMStep{VM: "vm-1", Term: 1}
	s = apply(t, s, TakePlanner{Header: Header{ID: "t"}, Term: 1}, Accepted)
	s = apply(t, s, Drain{Header: Header{ID: "d"}, VMStep: step}, Accepted)
	s = apply(t, s, ReturnVM{Header: Header{ID: "early"}, VMStep: step}, Conflict)
	s = apply(t, s, DrainDone{Header: Header{ID: "dd"}, VMStep: VMStep{VM: "vm-1"}}, Accepted)
	s = apply(t, s, ReturnVM{Header: Header{ID: "r"}, VMStep: step}, Accepted)
	if s.VM("vm-1") != nil {
		t.Error("vm-1 is still in the state after its return")
	}
	apply(t, s, Publish{Header: Header{ID: "4"}, Base: 3, File: testFile(3, 1, 2)}, Rejected)
}

// Guards against records that take effect although they come from a previous
// planner, belong to a previous drain, or are out of order.
func TestStaleAndOutOfOrderRecordsConflict(t *testing.T) {
	s := apply(t, Empty(), Publish{Header: Header{ID: "1"}, File: testFile(0, 1)}, Accepted)
	s = apply(t, s, TakePlanner{Header: Header{ID: "t1"}, Term: 1}, Accepted)
	s = apply(t, s, TakePlanner{Header: Header{ID: "t2"}, Term: 2}, Accepted)
	s = apply(t, s, TakePlanner{Header: Header{ID: "t2b"}, Term: 2}, Conflict)
	current, stale := VMStep{VM: "vm-1", Term: 2}, VMStep{VM: "vm-1", Term: 1}
	s = apply(t, s, Drain{Header: Header{ID: "a"}, VMStep: stale}, Conflict)
	s = apply(t, s, Drain{Header: Header{ID: "a0"}, VMStep: VMStep{VM: "vm-1"}}, Conflict)
	s = apply(t, s, Drain{Header: Header{ID: "b", ConfigRead: 2}, VMStep: current}, Waiting)
	s = apply(t, s, Drain{Header: Header{ID: "b", ConfigRead: 1}, VMStep: current}, Accepted)
	s = apply(t, s, Assign{Header: Header{ID: "c"}, VMStep: current, Pool: "spare"}, Conflict)
	s = apply(t, s, DrainDone{Header: Header{ID: "d"}, VMStep: VMStep{VM: "vm-1"}}, Accepted)
	s = apply(t, s, Assign{Header: Header{ID: "e"}, VMStep: current, Pool: "nowhere"}, Rejected)
	s = apply(t, s, Reboot{Header: Header{ID: "f"}, VMStep: current, Wave: "w"}, Accepted)
	s = apply(t, s, RebootDone{Header: Header{ID: "g", Time: at(9)}, VMStep: VMStep{VM: "vm-1"}}, Accepted)
	if vm := s.VM("vm-1"); vm.Phase != Serving || vm.Epoch != 1 || vm.Wave != "w" || !vm.LastMaintained.Equal(at(9)) {
		t.Errorf("vm-1 = %+v, want phase serving, epoch 1 and wave w", vm)
	}
	current.Epoch = 1
	s = apply(t, s, Drain{Header: Header{ID: "h"}, VMStep: current}, Accepted)
	apply(t, s, DrainDone{Header: Header{ID: "late"}, VMStep: VMStep{VM: "vm-1"}}, Conflict)
}

// Guards against applying a record of a later version as if it were
// understood, and against halting at an entry that is not a record.
func TestDecodeDistinguishesLaterFormats(t *testing.T) {
	encode := func(r Record) []byte {
		b, err := wire.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	unknown, _ := wire.Marshal([]any{"later_kind", map[string]int{}})
	changed, _ := wire.Marshal([]any{"drain", map[string]any{"header": 3}})
	h := Header{ID: "x", ConfigRead: 1}
	tests := []struct {
		name          string
		data          []byte
		config, later bool
		bad           bool
	}{
		{"good", encode(TakePlanner{Header: h}), false, false, false},
		{"unknown kind", unknown, false, true, false},
		{"changed body", changed, false, true, false},
		{"later format", encode(TakePlanner{Header: Header{ID: "x", ConfigRead: 1, Format: latestFormat + 1}}), false, true, false},
		{"garbage", []byte("\xff\x00"), true, false, true},
		{"wrong stream", encode(TakePlanner{Header: h}), true, false, true},
		{"no id", encode(TakePlanner{Header: Header{ConfigRead: 1}}), false, false, true},
		{"no config offset", encode(TakePlanner{Header: Header{ID: "x"}}), false, false, true},
	}
	for _, tt := range tests {
		_, err := Decode(tt.data, tt.config)
		var later *LaterFormatError
		var bad *BadRecordError
		if errors.As(err, &later) != tt.later || errors.As(err, &bad) != tt.bad {
			t.Errorf("%s: Decode = %v, want later %v, bad %v", tt.name, err, tt.later, tt.bad)
		}
	}
}

// Guards against a set of record ids that grows with the number of records.
func TestStoredIDsAreBounded(t *testing.T) {
	s := Empty()
	for i := range 5 * seenLimit {
		s, _ = s.Apply(TakePlanner{Header: Header{ID: ident.RecordID(fmt.Sprint("id-", i))}, Term: 7})
	}
	if n := s.seenFleet.newer.size + s.seenFleet.older.size; n > 2*seenLimit {
		t.Errorf("%d ids are stored, want at most %d", n, 2*seenLimit)
	}
	if _, ok := s.Outcome(ident.RecordID(fmt.Sprint("id-", 5*seenLimit-seenLimit))); !ok {
		t.Errorf("the id of %d records ago is no longer stored", seenLimit)
	}
}

// drawStreams draws a config stream and a fleet stream. Many of the records are
// valid, because each is derived from the state after the records before it.
func drawStreams(t *rapid.T) (config, fleetRecords []Record) {
	s, published := Empty(), Empty()
	for i := range rapid.IntRange(5, 60).Draw(t, "records") {
		h := Header{ID: ident.RecordID(fmt.Sprint("r", i)), Writer: "w", Time: at(i)}
		if rapid.IntRange(0, 9).Draw(t, "repeated id") == 0 {
			h.ID = ident.RecordID(fmt.Sprint("r", rapid.IntRange(0, i).Draw(t, "which")))
		}
		var r Record
		if rapid.IntRange(0, 3).Draw(t, "stream") == 0 {
			r = drawPublish(t, published, h)
			published, _ = published.Apply(r)
			config = append(config, r)
		} else {
			h.ConfigRead = ident.Offset(rapid.IntRange(int(s.MaxConfigRead), int(s.ConfigOffset)).Draw(t, "config read"))
			h.ConfigRead = max(h.ConfigRead, 1)
			if s.ConfigOffset == 0 {
				continue
			}
			r = drawStep(t, s, h)
			fleetRecords = append(fleetRecords, r)
		}
		s, _ = s.Apply(r)
	}
	return config, fleetRecords
}

func drawPublish(t *rapid.T, s *State, h Header) Record {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int]).Draw(t, "vms")
	f := testFile(s.Version, ids...)
	f.Pools = append(f.Pools, fleet.Pool{ID: ident.PoolID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "pool"))})
	for _, i := range ids {
		if rapid.Bool().Draw(t, "return") {
			f.Returns = append(f.Returns, fleet.Return{VMs: []ident.VMID{vmName(i)}, Deadline: at(1000 + i)})
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		f.Base++
	}
	p := Publish{Header: h, Base: f.Base, File: f}
	if rapid.Bool().Draw(t, "whole") {
		return p
	}
	c, _ := PublishChunks(p, s.File)
	if rapid.IntRange(0, 4).Draw(t, "unfinished") == 0 {
		c[0].Count = 2
	}
	return c[0]
}

func drawStep(t *rapid.T, s *State, h Header) Record {
	id := vmName(rapid.IntRange(0, 5).Draw(t, "vm"))
	step := VMStep{VM: id, Term: s.Planner.Term - ident.Term(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "old term"))}
	phase := Phase("")
	if vm := s.VM(id); vm != nil {
		step.Epoch, phase = vm.Epoch, vm.Phase
	}
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	switch {
	case kind == 0:
		return TakePlanner{Header: h, Term: s.Planner.Term + 1, Holder: "e"}
	case kind == 1:
		return ReturnVM{Header: h, VMStep: step}
	case phase == Draining:
		return DrainDone{Header: h, VMStep: VMStep{VM: id, Epoch: step.Epoch}}
	case phase == Rebooting:
		return RebootDone{Header: h, VMStep: VMStep{VM: id, Epoch: step.Epoch}}
	case phase == Drained && kind < 4:
		return Reboot{Header: h, VMStep: step, Wave: "w"}
	case phase == Drained && kind < 7:
		return ReturnVM{Header: h, VMStep: step}
	case phase == Drained:
		return Assign{Header: h, VMStep: step, Pool: ident.PoolID(rapid.SampledFrom([]string{"spare", "cut", "x", "y"}).Draw(t, "to"))}
	default:
		return Drain{Header: h, VMStep: step}
	}
}

// applyInterleaved applies the records of both streams in a drawn interleaving.
// With restarts, it replaces the state by one restored from a checkpoint at
// drawn points.
func applyInterleaved(t *rapid.T, config, fleetRecords []Record, restarts bool) (*State, map[string]Outcome) {
	s, outcomes := Empty(), map[string]Outcome{}
	for c, f := 0, 0; c < len(config) || f < len(fleetRecords); {
		canFleet := f < len(fleetRecords) && !s.MustWait(fleetRecords[f])
		if c < len(config) && (!canFleet || rapid.Bool().Draw(t, "config first")) {
			s, outcomes[fmt.Sprint("config ", c)] = s.Apply(config[c])
			c++
		} else {
			s, outcomes[fmt.Sprint("fleet ", f)] = s.Apply(fleetRecords[f])
			f++
		}
		if restarts && rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			s = restartFromCheckpoint(t, s)
		}
	}
	return s, outcomes
}

func restartFromCheckpoint(t *rapid.T, s *State) *State {
	all, err := CheckpointChunks(s, Header{ID: "c"})
	if err != nil {
		t.Fatal(err)
	}
	var data []byte
	for _, c := range all {
		data = append(data, c.Data...)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// Guards against two entries that give a record different outcomes because they
// read the two streams in a different order, or because one of them started
// from a checkpoint.
//
// The rules for pools and VMs that are removed from the file make a difference
// in about one of 2,000 draws, so the usual 100 draws would miss them.
func TestReadersAgree(t *testing.T) {
	rounds := 25
	if testing.Short() {
		rounds = 1
	}
	for range rounds {
		rapid.Check(t, checkReadersAgree)
	}
}

func checkReadersAgree(t *rapid.T) {
	config, fleetRecords := drawStreams(t)
	a, outcomesA := applyInterleaved(t, config, fleetRecords, false)
	b, outcomesB := applyInterleaved(t, config, fleetRecords, true)
	for k, v := range outcomesA {
		if outcomesB[k] != v {
			t.Fatalf("%s: outcomes %+v and %+v", k, v, outcomesB[k])
		}
	}
	dataA, errA := a.Checkpoint()
	dataB, errB := b.Checkpoint()
	if errA != nil || errB != nil || !bytes.Equal(dataA, dataB) {
		t.Fatalf("states differ after the same records: %v %v\n%+v\n%+v", errA, errB, a, b)
	}
}

// Guards against a log record that makes every entry panic.
func FuzzApply(f *testing.F) {
	base, _ := Empty().Apply(Publish{Header: Header{ID: "1"}, File: testFile(0, 1, 2)})
	chunk := chunks(f, "p", "amina", base.File, testFile(1, 1, 2, 3))[0]
	for _, r := range []Record{chunk, Publish{Header: Header{ID: "2"}, Base: 1, File: testFile(1, 1)}, Drain{Header: Header{ID: "3", ConfigRead: 1}, VMStep: VMStep{VM: "vm-1"}}} {
		data, err := wire.Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, chunk.Data, true)
		f.Add(data, chunk.Data, false)
	}
	f.Fuzz(func(t *testing.T, data, delta []byte, config bool) {
		if r, err := Decode(data, config); err == nil {
			if _, v := base.Apply(r); v.Result == "" {
				t.Errorf("Apply(%+v) gives no result", r)
			}
		}
		sum := sha256.Sum256(delta)
		s, v := base.Apply(PublishChunk{Header: Header{ID: "c"}, PublishID: "q", Base: 1, Count: 1, Sum: sum[:], Data: delta})
		if v.Result == Accepted && len(fleet.Check(s.File, nil)) > 0 {
			t.Errorf("a file with errors is in force: %+v", s.File)
		}
		if _, err := s.Checkpoint(); err != nil {
			t.Error(err)
		}
		_, _ = Restore(data)
	})
}

func largeState(t testing.TB, n int) *State {
	f := testFile(0)
	for i := range n {
		f.VMs = append(f.VMs, fleet.VM{
			ID: vmName(i), Zone: "kg-a", Rack: "kg-a-r1", Address: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200), Pool: "cut", Slots: 8, Connections: 64,
		})
	}
	s := Empty()
	for _, c := range chunks(t, "p", "amina", s.File, f) {
		s, _ = s.Apply(c)
	}
	if s.Version != 1 {
		v, _ := s.Outcome("p")
		t.Fatal(v)
	}
	s, _ = s.Apply(TakePlanner{Header: Header{ID: "t"}, Term: 1})
	return s
}

func benchmarkSizes(b *testing.B, run func(*testing.B, int)) {
	for _, n := range []int{50, 1000, 8000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkStep measures applying one fleet record: Drain, DrainDone and Assign in turn.
func BenchmarkStep(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n int) {
		s := largeState(b, n)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			vm := s.VM(vmName(i / 3 * 7 % n))
			h, step := Header{ID: ident.RecordID(fmt.Sprint("b", i))}, VMStep{VM: vm.ID, Epoch: vm.Epoch, Term: 1}
			var v Outcome
			switch i % 3 {
			case 0:
				s, v = s.Apply(Drain{Header: h, VMStep: step})
			case 1:
				s, v = s.Apply(DrainDone{Header: h, VMStep: step})
			default:
				s, v = s.Apply(Assign{Header: h, VMStep: step, Pool: "cut"})
			}
			if v.Result != Accepted {
				b.Fatal(v)
			}
		}
	})
}

// BenchmarkPublish measures applying a publish that changes one VM.
func BenchmarkPublish(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n int) {
		s := largeState(b, n)
		size := 0
		for i := 0; b.Loop(); i++ {
			b.StopTimer() // the publisher's work is not measured
			vm := s.File.VMs[i%n]
			vm.Slots = 17 - vm.Slots
			delta := fleet.Delta{
				Header: &fleet.Header{Name: "kigali", Base: s.Version, SparePool: "spare"},
				VMs:    fleet.ListDelta[ident.VMID, fleet.VM]{Changes: []fleet.VM{vm}},
			}
			f, _ := fleet.ApplyDiff(s.File, &delta)
			c := chunks(b, ident.RecordID(fmt.Sprint("b", i)), "amina", s.File, f)
			data, _ := wire.Encode(c[0])
			size = len(data)
			b.StartTimer()
			s = apply(b, s, c[0], Accepted)
		}
		b.ReportMetric(float64(size), "bytes/publish")
	})
}

// BenchmarkMemory measures the heap bytes per VM of one state.
func BenchmarkMemory(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n int) {
		heap := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		for b.Loop() {
			before := heap()
			s := checkpointAndRestore(b, largeState(b, n))
			b.ReportMetric(float64(heap()-before)/float64(n), "bytes/vm")
			runtime.KeepAlive(s)
		}
		b.ReportMetric(0, "ns/op")
	})
}

func checkpointAndRestore(b testing.TB, s *State) *State {
	data, err := s.Checkpoint()
	if err != nil {
		b.Fatal(err)
	}
	r, err := Restore(data)
	if err != nil || strings.TrimSpace(r.File.Name) == "" {
		b.Fatal(err)
	}
	return r
}
