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

// panics counts the recovered panics by part. The names of parts are keys of this metric, so they stay as they are when
// the code that they name is renamed.
var panics = expvar.NewMap("panics")

// restartPause keeps a part that panics again immediately from using all CPU time.
const restartPause = 500 * time.Millisecond

// Catch runs f and reports whether it returned without a panic. It logs and counts a panic under the part's name.
func Catch(l hclog.Logger, part string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			panics.Add(part, 1)
			l.Error("recovered from panic", "part", part, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

// RestartOnPanic runs f until it returns without a panic, or ctx is done.
func RestartOnPanic(ctx context.Context, c clock.Clock, l hclog.Logger, part string, f func()) {
	for !Catch(l, part, f) && ctx.Err() == nil {
		_ = clock.Sleep(ctx, c, restartPause) // the loop checks the context
	}
}
