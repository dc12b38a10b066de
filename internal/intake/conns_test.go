package intake

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against descriptors and memory that grow with the number of connections, and against a crowd without requests
// that takes the place of connections that are in use.
func TestConnectionsWithoutRequestsCloseFirst(t *testing.T) {
	c := NewConns(8)
	closed := map[ConnState]int{}
	states := []ConnState{Busy, Idle, Reading, Responding, Fresh, Busy, Idle, Fresh}
	for _, s := range states {
		c.Open(func() { closed[s]++ }, start).Set(s, start)
	}
	if c.Open(func() {}, start.Add(freshAfter-1)) != nil {
		t.Error("a connection took the place of one that has just been opened")
	}
	now := start.Add(time.Minute)
	for n, want := range []ConnState{Fresh, Fresh} {
		if c.Open(func() {}, now) == nil || closed[want] != n+1 {
			t.Errorf("connection %d over the limit: closed %v, want one that is %s", n+1, closed, want)
		}
	}
	if c.Open(func() {}, now) != nil {
		t.Error("connections that are being closed don't count")
	}
	if got, want := c.Count(), 10; got != want {
		t.Errorf("%d connections are open, want %d", got, want)
	}
}

// Guards against requests that are cut because their connection is closed for another one.
func TestBusyConnectionsStay(t *testing.T) {
	c := NewConns(3)
	for range 3 {
		c.Open(func() { t.Error("a connection with a request was closed") }, start).Set(Busy, start)
	}
	if c.Open(func() {}, start.Add(time.Hour)) != nil {
		t.Error("a connection beyond the limit was admitted")
	}
}

// Guards against a connection that counts twice, or no more although it is open.
func TestClosedConnectionsAreCountedOnce(t *testing.T) {
	c := NewConns(64)
	var conns []*Conn
	for range 64 {
		conns = append(conns, c.Open(func() {}, start))
	}
	over := c.Open(func() {}, start.Add(time.Second)) // conns[0] is closed for it
	conns[0].Set(Idle, start)
	for _, x := range append(conns, over) {
		x.Closed()
		x.Closed()
		x.Set(Idle, start)
	}
	if got := c.Count(); got != 0 {
		t.Errorf("%d connections are open, want 0", got)
	}
	for state, root := range c.states {
		if root.next != root || root.previous != root {
			t.Errorf("closed connections are listed as %s, want none", state)
		}
	}
}

// Guards against limits that an ordinary deployment meets, or that its memory and descriptors don't allow.
func TestDerivedLimits(t *testing.T) {
	for _, test := range []struct {
		memory ident.Bytes
		files  int
	}{{160_000_000, 4100}, {184_000_000, 4100}, {536_000_000, 8192}, {0, 0}, {0, 20_000}} {
		got := Limits{}.Derive(test.memory, test.files)
		memory, files := test.memory, test.files
		if memory == 0 {
			memory = DefaultMemory
		}
		if files == 0 {
			files = DefaultFiles
		}
		if got.Clients < 500 || got.Bodies < 32*(256<<10) || got.Peers < 128 {
			t.Errorf("memory %d, %d files: %+v is less than ordinary clients need", test.memory, test.files, got)
		}
		if total := got.Clients + got.Peers + 2*got.Others; total > files*3/4 {
			t.Errorf("memory %d, %d files: %d connections, want three quarters of the descriptors at most", test.memory, test.files, total)
		}
		// Bodies are held up to three times, frames of other processes have a budget of the same size.
		worst := 3*2*got.Bodies + ident.Bytes(got.Clients+got.Peers/2+2*got.Others)*connMemory
		if worst > memory*3/4 {
			t.Errorf("memory %d: a crowd may take %d, want three quarters at most", test.memory, worst)
		}
	}
	if got, want := (Limits{Bodies: 5, Clients: 6, Peers: 7, Others: 8}).Derive(0, 0), (Limits{5, 6, 7, 8}); got != want {
		t.Errorf("limits that are set: %+v, want %+v", got, want)
	}
}

// BenchmarkRequest measures what the bound costs a request on a connection that is kept open.
func BenchmarkRequest(b *testing.B) {
	c := NewConns(1000)
	x := c.Open(nil, start)
	for b.Loop() {
		for _, s := range []ConnState{Busy, Reading, Busy, Responding, Idle} {
			x.Set(s, start)
		}
	}
}
