package lookup

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// newDirectory returns a directory that knows the pool "cut" and decodes the values in regs; the value "panic" panics.
func newDirectory(regs map[string]work.Registration) (*Directory, *clock.Manual) {
	manual := clock.NewManual(time.Unix(1_700_000_000, 0))
	return &Directory{
		Decode: func(key string, value []byte) (work.Registration, error) {
			if string(value) == "panic" {
				panic("an odd entry")
			}
			reg, ok := regs[string(value)]
			if !ok {
				return reg, errors.New("unreadable")
			}
			reg.ID = work.TargetID(key)
			return reg, nil
		},
		Pools: func() []work.PoolConfig { return []work.PoolConfig{{ID: "cut"}} },
		Clock: manual, Logger: hclog.NewNullLogger(),
	}, manual
}

const bornMillis = 1_700_000_000_000 - 5000

// Guards against a target that is taken for restarted because another writer has registered its VM for a pool that isn't
// configured, or with a start in the far future.
func TestNewestIgnoresOtherWriters(t *testing.T) {
	d, _ := newDirectory(map[string]work.Registration{
		"good":         {Pool: "cut", VM: "m1", Incarnation: bornMillis},
		"unknown pool": {Pool: "print-spooler", VM: "m1", Incarnation: bornMillis + 1000},
		"future":       {Pool: "cut", VM: "m1", Incarnation: bornMillis + 2*maxIncarnationLead.Milliseconds()},
		"next":         {Pool: "cut", VM: "m1", Incarnation: bornMillis + 2000},
	})
	for _, value := range []string{"good", "unknown pool", "future", "unreadable", "panic"} {
		d.Apply(plog.Record{Key: "i-" + value, Value: []byte(value)})
	}
	if got := d.Newest("m1"); got.ID != "i-good" || got.Incarnation != bornMillis {
		t.Errorf("newest target %+v, want i-good", got)
	}
	if got := d.Snapshot("cut"); len(got) != 1 || got[0].ID != "i-good" {
		t.Errorf("registered targets %+v, want i-good", got)
	}
	d.Apply(plog.Record{Key: "i-next", Value: []byte("next")})
	if got := d.Newest("m1"); got.ID != "i-next" {
		t.Errorf("newest target %+v after a restart of the VM, want i-next", got)
	}
}

// Guards against one entry that keeps the others from being read at the start.
func TestReplaceSkipsOddEntries(t *testing.T) {
	d, _ := newDirectory(map[string]work.Registration{"good": {Pool: "cut", VM: "m1", Incarnation: bornMillis}})
	d.Replace([]plog.Record{{Key: "a", Value: []byte("panic")}, {Key: "b", Value: []byte("unreadable")}, {}, {Key: "c", Value: []byte("good")}})
	if got := d.Snapshot("cut"); len(got) != 1 || got[0].ID != "c" {
		t.Errorf("registered targets %+v, want c", got)
	}
}

// Guards against the time at which a newer target was first seen moving with each renewal of its registration: the older
// target has to answer after it.
func TestNewestSinceFirstSeen(t *testing.T) {
	d, manual := newDirectory(map[string]work.Registration{"good": {Pool: "cut", VM: "m1", Incarnation: bornMillis}})
	seen := manual.Now()
	for range 3 {
		d.Apply(plog.Record{Key: "i-1", Value: []byte("good")})
		manual.Advance(time.Second)
	}
	if got := d.Newest("m1").Since; !got.Equal(seen) {
		t.Errorf("first seen at %v, want %v", got, seen)
	}
}
