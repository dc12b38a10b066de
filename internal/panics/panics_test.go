package panics

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// Guards against a panic that ends the process, or that leaves no trace.
func TestPanicIsContainedAndLogged(t *testing.T) {
	var out bytes.Buffer
	l := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	if !Catch(l, "well", func() {}) {
		t.Error("a part that ends is reported as one that panics")
	}
	if Catch(l, "broken", func() { panic("a nil map") }) {
		t.Error("a part that panics is reported as one that ends")
	}
	for _, want := range []string{`"part":"broken"`, "nil map", "panics_test.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %q: %s", want, out.String())
		}
	}
}

// Guards against a part that stays down after a panic, or starts again after its end.
func TestKeepStartsAgain(t *testing.T) {
	runs := 0
	RestartOnPanic(t.Context(), clock.System(), hclog.NewNullLogger(), "part", func() {
		if runs++; runs == 1 {
			panic("once")
		}
	})
	if runs != 2 {
		t.Errorf("the part ran %d times, want 2", runs)
	}
	ctx, cancel := context.WithCancel(t.Context())
	RestartOnPanic(ctx, clock.System(), hclog.NewNullLogger(), "part", func() {
		runs++
		cancel()
		panic("at the end")
	})
	if runs != 3 {
		t.Errorf("the part ran %d times after the end of its context, want once", runs-2)
	}
}
