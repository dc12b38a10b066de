package space

import (
	"testing"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const kib ident.Bytes = 1 << 10

// Guards against large jobs that keep small ones out, against a large job that no owner ever takes, and against processes
// that take in more than they have because each of their partitions has room.
func TestFits(t *testing.T) {
	for name, test := range map[string]struct {
		used  map[Use]ident.Bytes
		other ident.Bytes // of other partitions of the process
		use   Use
		size  ident.Bytes
		want  bool
	}{
		"small, nothing there":           {nil, 0, Transient, kib, true},
		"small, the reserve is left":     {map[Use]ident.Bytes{Resident: 75 * kib}, 0, Transient, kib, true},
		"small, all in use":              {map[Use]ident.Bytes{Resident: 75 * kib, Transient: 25 * kib}, 0, Transient, kib, false},
		"small, all used by ended jobs":  {map[Use]ident.Bytes{Finished: 100 * kib}, 0, Transient, kib, false},
		"small, the process has no room": {map[Use]ident.Bytes{Transient: 50 * kib}, 150 * kib, Transient, kib, false},
		"large, room":                    {map[Use]ident.Bytes{Resident: 50 * kib}, 0, Resident, 25 * kib, true},
		"large, only the reserve left":   {map[Use]ident.Bytes{Resident: 75 * kib}, 0, Resident, kib, false},
		"large, the process has no room": {map[Use]ident.Bytes{Resident: 10 * kib}, 140 * kib, Resident, kib, false},
		"larger than all, alone":         {map[Use]ident.Bytes{Transient: 50 * kib}, 0, Resident, 500 * kib, true},
		"larger than all, not alone":     {map[Use]ident.Bytes{Resident: kib}, 0, Resident, 500 * kib, false},
		"runs beside jobs":               {map[Use]ident.Bytes{Transient: 100 * kib}, 0, Runs, 50 * kib, true},
		"too many runs":                  {map[Use]ident.Bytes{Runs: 50 * kib}, 0, Runs, kib, false},
		"large gang, nothing runs":       {nil, 0, Runs, 500 * kib, true},
	} {
		total := &Total{Limit: 200 * kib}
		other := Account{Total: total}
		other.Add(Transient, test.other)
		a := Account{Limit: 100 * kib, Total: total}
		for u, n := range test.used {
			a.Add(u, n)
		}
		if got := a.Fits(test.use, test.size); got != test.want {
			t.Errorf("%s: fits: got %v, want %v", name, got, test.want)
		}
		a.Close()
		if got, want := total.Used(), test.other; got != want {
			t.Errorf("%s: used by the process after the partition was released: got %d, want %d", name, got, want)
		}
	}
	if (&Account{}).Fits(Resident, 1<<40) != true {
		t.Error("an account without a limit: got no room, want some")
	}
}

// Guards against new jobs that take the space which stored ones wait for, and against any number of stored jobs that are
// restored without space because clients cancel them.
func TestDeferredComeFirst(t *testing.T) {
	a := Account{Limit: 100 * kib}
	a.AddDeferred(1)
	for _, test := range []struct {
		use            Use
		size, admitted ident.Bytes
		want           bool
	}{
		{Transient, kib, 0, true},
		{Transient, kib, 25 * kib, false},
		{Resident, kib, 0, false},
	} {
		a.AddAdmitted(test.admitted)
		if got := a.Admits(test.use, test.size); got != test.want {
			t.Errorf("%s job of %d bytes beside %d of new jobs: admitted %v, want %v", test.use, test.size, test.admitted, got, test.want)
		}
		a.AddAdmitted(-test.admitted)
	}
	a.AddDeferred(-1)
	if !a.Admits(Resident, kib) {
		t.Error("a resident job once no job is deferred: got a refusal, want it admitted")
	}
	if !a.MayOverdraw(500 * kib) {
		t.Error("one job without space: got a refusal, want it restored")
	}
	a.AddOverdrawn(20 * kib)
	if got, want := a.MayOverdraw(6*kib), false; got != want {
		t.Errorf("more than a quarter without space: got %v, want %v", got, want)
	}
}

// Guards against a partition that the smallest VM can't own, and against one that is bounded by a large VM.
func TestPartitionLimit(t *testing.T) {
	for _, test := range []struct{ smallest, own, want ident.Bytes }{
		{0, 0, DefaultSmallest / partitionParts},
		{0, 536_000_000, DefaultSmallest / partitionParts},
		{0, 96_000_000, 12_000_000},
		{320_000_000, 536_000_000, 40_000_000},
	} {
		if got := PartitionLimit(test.smallest, test.own); got != test.want {
			t.Errorf("limit for a smallest VM of %d bytes at one of %d: got %d, want %d", test.smallest, test.own, got, test.want)
		}
	}
}
