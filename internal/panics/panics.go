// Package panics keeps a panic in one part of a process from ending the others.
//
// A part that has panicked may hold broken state. Whoever starts a part with
// [Catch] or [RestartOnPanic] makes it begin anew from what is stored.
package panics

import (
	"context"
	"expvar"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// panics counts contained panics by part.
var panics = expvar.NewMap("panics")

// restartPause keeps a part that panics again at once from using up the processor.
const restartPause = 500 * time.Millisecond

// Catch runs a part and reports whether it ended without a panic, which it logs.
func Catch(l hclog.Logger, part string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			panics.Add(part, 1)
			l.Error("panic contained", "part", part, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

// RestartOnPanic runs a part until it ends without a panic, or ctx is done.
func RestartOnPanic(ctx context.Context, c clock.Clock, l hclog.Logger, part string, f func()) {
	for !Catch(l, part, f) && ctx.Err() == nil {
		_ = clock.Sleep(ctx, c, restartPause) // the loop checks the context
	}
}
