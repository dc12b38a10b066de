package stall

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// Guards against a transfer that is given up although it makes progress, and one that is waited for although it doesn't.
func TestTimeoutCountsFromTheLastProgress(t *testing.T) {
	const timeout = 200 * time.Millisecond
	outer, cancelOuter := WithTimeout(t.Context(), timeout)
	defer cancelOuter()
	ctx, cancel := WithTimeout(outer, timeout)
	defer cancel()
	for range 8 {
		time.Sleep(timeout / 4)
		Progress(ctx, 1)
	}
	if ctx.Err() != nil || outer.Err() != nil {
		t.Fatalf("ended after %v with progress each %v: %v, %v", 2*timeout, timeout/4, ctx.Err(), outer.Err())
	}
	select {
	case <-ctx.Done():
	case <-time.After(10 * timeout):
		t.Fatalf("not ended %v after the last progress, want %v", 10*timeout, timeout)
	}
	if got, want := context.Cause(ctx), context.DeadlineExceeded; !errors.Is(got, want) {
		t.Errorf("cause %v, want %v", got, want)
	}
}

// Guards against small messages that count as a transfer in progress.
func TestMeterCountsLargeTransfers(t *testing.T) {
	c := clock.NewManual(time.Unix(0, 0))
	m := &Meter{Clock: c}
	for _, test := range []struct {
		size int
		want bool
	}{{0, false}, {LargeTransfer - 1, false}, {LargeTransfer, true}} {
		if _, err := io.Copy(io.Discard, Reader(WithMeter(t.Context(), m), strings.NewReader(strings.Repeat("x", test.size)))); err != nil {
			t.Fatal(err)
		}
		if got := m.MovedWithin(time.Second); got != test.want {
			t.Errorf("after %d bytes: moved %v, want %v", test.size, got, test.want)
		}
	}
	c.Advance(2 * time.Second)
	if m.MovedWithin(time.Second) {
		t.Error("moved within the last second, although nothing has arrived for two")
	}
}
