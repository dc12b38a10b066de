package panics

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// Guards against a panic that ends the process or isn't logged.
func TestCatchRecoversAndLogs(t *testing.T) {
	var out bytes.Buffer
	l := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	if !Catch(l, "well", func() {}) {
		t.Error("Catch reports a panic of a function that returned")
	}
	if Catch(l, "broken", func() { panic("a nil map") }) {
		t.Error("Catch reports no panic of a function that panicked")
	}
	for _, want := range []string{`"part":"broken"`, "nil map", "panics_test.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log lacks %q: %s", want, out.String())
		}
	}
}

// Guards against a part that isn't restarted after a panic, or that is restarted after it has returned or its context
// is done.
func TestRestartOnPanic(t *testing.T) {
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
		t.Errorf("the part ran %d times with a context that it cancels, want once", runs-2)
	}
}
