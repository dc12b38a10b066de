package keys

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// newFleet runs one service in each of the zones.
func newFleet(t *testing.T, window time.Duration, zones ...ident.ZoneID) []*Service {
	t.Helper()
	network := peer.NewMemNetwork()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var out []*Service
	var links []*peer.MemTransport
	for i, z := range zones {
		links = append(links, network.Join(ident.EntryID(fmt.Sprintf("entry-%d", i)), z))
	}
	for _, l := range links {
		s := New(l, clock.System())
		s.Window, s.MaxBytes, s.MaxBody = window, 3000, 64
		out = append(out, s)
		go l.Run(ctx.Done())
		go func() { _ = s.Run(ctx) }()
	}
	return out
}

// claimEventually repeats a claim while it returns ErrUnavailable, as it does until the fleet has been up for a window.
func claimEventually(t *testing.T, s *Service, key ident.KeyID) Claim {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		c, err := s.Claim(context.Background(), key, "print")
		if err == nil {
			return c
		}
		if !errors.Is(err, ErrUnavailable) {
			t.Fatal(err)
		}
	}
	t.Fatal("no claim succeeds within 10 s")
	return nil
}

// Guards against wrong responses to a repeated key: a second run, the response of another request, a response without its
// body that counts as complete, a key that stays claimed although nothing was sent, and unlimited memory.
func TestRepeatedKeyGetsStoredResponse(t *testing.T) {
	s := newFleet(t, time.Second, "a", "b", "c")
	ctx := context.Background()
	c := claimEventually(t, s[0], "k")
	if err := c.Abandon(ctx); err != nil {
		t.Fatal(err)
	}
	for _, x := range s {
		x.mu.Lock()
		x.table.window = time.Hour // no key is removed from here on
		x.mu.Unlock()
		x.Window = time.Hour
	}
	c = claimEventually(t, s[1], "k")
	if _, err := s[2].Claim(ctx, "k", "print"); !errors.Is(err, ErrInUse) {
		t.Errorf("claim of a claimed key: %v, want %v", err, ErrInUse)
	}
	if err := errors.Join(c.MarkSent(ctx), c.Finish(ctx, &Response{Status: 200, Body: []byte("first")})); err != nil {
		t.Fatal(err)
	}
	for i, x := range s {
		again, err := x.Claim(ctx, "k", "print")
		if err != nil || again.Stored() == nil || string(again.Stored().Body) != "first" {
			t.Errorf("repeat through entry %d: %+v, %v; want the first response", i, again, err)
		}
	}
	if _, err := s[0].Claim(ctx, "k", "another print"); !errors.Is(err, ErrMismatch) {
		t.Errorf("claim for another request: %v, want %v", err, ErrMismatch)
	}
	c = claimEventually(t, s[0], "large")
	if err := errors.Join(c.MarkSent(ctx), c.Finish(ctx, &Response{Status: 200, Body: make([]byte, 100)})); err != nil {
		t.Fatal(err)
	}
	if again, err := s[1].Claim(ctx, "large", "print"); err != nil || !again.Stored().BodyDropped {
		t.Errorf("repeat of a large response: %+v, %v; want one without body", again, err)
	}
	var err error
	for i := 0; err == nil && i < 100; i++ {
		_, err = s[0].Claim(ctx, ident.KeyID(fmt.Sprint("more ", i)), "print")
	}
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("claims beyond the memory limit: %v, want %v", err, ErrUnavailable)
	}
	if _, err := s[2].Claim(ctx, "k", "print"); err != nil {
		t.Errorf("claim of an old key under full memory: %v, want its response", err)
	}
}

// Guards against a settled fleet that refuses keys after the loss of one process, or of one zone, although the standbys
// have their claims.
func TestServesAfterOneLoss(t *testing.T) {
	s := newSim("a", "b", "c", "a", "b", "c")
	if got := s.countGranted(20); got != 20 {
		t.Errorf("claims granted by a settled fleet = %d of 20, want all", got)
	}
	for i := range 3 { // one after another, in different zones, in less than a window
		s.nodes[i].alive = false
		s.updateViews()
		s.settle(3 * time.Second)
		if got := s.countGranted(20); got != 20 {
			t.Errorf("after loss %d: claims granted = %d of 20, want all", i+1, got)
		}
	}
	s.nodes[0].alive, s.nodes[3].alive = false, false
	s.start(s.nodes[0])
	s.updateViews()
	s.settle(3 * time.Second)
	if got := s.countGranted(20); got != 20 {
		t.Errorf("after the loss of the rest of a zone and a new entry: claims granted = %d of 20, want all", got)
	}
}

// countGranted claims new keys through a process that is alive and returns how many claims succeed.
func (s *sim) countGranted(count int) int {
	n := 0
	for range count {
		r := s.startRequest(s.nodes[5], ident.KeyID(fmt.Sprint("key-", s.lastNumber)))
		s.flush(panicFataler{})
		if r.op == opSent {
			n++
		}
	}
	return n
}
