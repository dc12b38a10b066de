package intake

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1e9, 0)

// body is a claim that notes whether it has been stopped.
type body struct {
	*Claim
	stopped bool
}

func newBody(b *Budget) *body {
	x := &body{}
	x.Claim = b.Claim(func() { x.stopped = true })
	return x
}

// Guards against memory that grows with the number of bodies that stop short: the ones of which nothing arrives give way.
func TestStalledBodiesGiveWay(t *testing.T) {
	const total, large = 1 << 20, 100 << 10
	b := NewBudget(total)
	var crowd []*body
	for range 100 {
		x := newBody(b)
		x.Grow(large, start)
		crowd = append(crowd, x)
	}
	if got, want := b.Used(), int64(total); got > want {
		t.Errorf("%d bytes are held, want %d at most", got, want)
	}
	late := newBody(b)
	if late.Grow(large, start.Add(stallTime-1)) {
		t.Error("a large body took the place of one that arrives")
	}
	if !late.Grow(large, start.Add(stallTime)) {
		t.Error("a large body was refused beside stalled ones")
	}
	stopped := 0
	for _, x := range crowd {
		if x.stopped {
			stopped++
			if x.Completed() {
				t.Error("a body that was stopped counts as complete")
			}
		}
	}
	if stopped != 1 {
		t.Errorf("%d bodies were stopped for one, want 1", stopped)
	}
}

// Guards against ordinary requests that are refused because of a crowd of large bodies, even one that keeps sending.
func TestSmallBodiesGoFirst(t *testing.T) {
	b := NewBudget(1 << 20)
	for range 100 {
		newBody(b).Grow(100<<10, start)
	}
	for i := range 100 { // these use up what is kept for small bodies, and the place of a large one
		if !newBody(b).Grow(4<<10, start) {
			t.Fatalf("small body %d, beside others, was refused", i)
		}
	}
	for i := range 1000 {
		x := newBody(b)
		if !x.Grow(4<<10, start) {
			t.Fatalf("small body %d was refused", i)
		}
		if !x.Completed() {
			t.Fatalf("small body %d was stopped", i)
		}
		x.Release()
	}
}

// Guards against a body of legal size that is refused although nothing else is received, because it exceeds the budget.
func TestSingleLargeBodyIsAdmitted(t *testing.T) {
	b := NewBudget(100 << 10)
	newBody(b).Grow(1<<10, start)
	x := newBody(b)
	for n := range 64 {
		if !x.Grow(16<<10, start) {
			t.Fatalf("a single body was refused after %d KB", n*16)
		}
	}
	if newBody(b).Grow(SmallBody+1, start) {
		t.Error("a second large body was admitted beyond the budget")
	}
	x.Release()
	if !newBody(b).Grow(64<<10, start) {
		t.Error("a large body was refused after the first one had ended")
	}
}

// Guards against shedding that outruns the end of the shed requests, whose memory isn't free yet, and against bytes that are
// lost or returned twice.
func TestBytesStayBoundedAndReturn(t *testing.T) {
	const total = 1 << 20
	r := rand.New(rand.NewPCG(1, 2))
	b := NewBudget(total)
	var open []*body
	now := start
	for range 100_000 {
		now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
		switch r.IntN(4) {
		case 0:
			open = append(open, newBody(b))
		case 1, 2:
			if len(open) > 0 {
				x := open[r.IntN(len(open))]
				x.Grow(1+r.Int64N(64<<10), now)
			}
		case 3:
			if len(open) > 0 && r.IntN(3) == 0 {
				i := r.IntN(len(open))
				open[i].Completed()
				open[i].Release()
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			}
		}
		// One body may exceed the budget alone; here it holds 64 KB at most before another one is large.
		if got, want := b.Used(), int64(total+total/leavingShare+64<<10); got > want {
			held := int64(0)
			for _, x := range open {
				held = max(held, x.held)
			}
			if got-held > want {
				t.Fatalf("%d bytes are held, want %d at most", got, want)
			}
		}
	}
	for _, x := range open {
		x.Release()
	}
	if got := b.Used(); got != 0 || b.large != 0 || len(b.receiving) != 0 {
		t.Errorf("%d bytes, %d large bodies, %d receiving remain, want none", got, b.large, len(b.receiving))
	}
}

// BenchmarkSmallBody measures what the budget costs an ordinary request.
func BenchmarkSmallBody(bench *testing.B) {
	b := NewBudget(1 << 20)
	for bench.Loop() {
		c := b.Claim(nil)
		c.Grow(1<<10, start)
		c.Progressed(start)
		c.Completed()
		c.Release()
	}
}
