package permit

import (
	"context"
	"errors"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// ErrExpired means that a call was not sent because its permit had expired.
var ErrExpired = errors.New("not sent: the permit of the call has expired")

// Permit allows calls until a point in time. The zero value allows them at any time.
type Permit struct {
	Until time.Time
	Clock clock.Clock // the clock of Until; it must go on while the process is suspended
}

// Valid reports whether calls may still be sent.
func (p Permit) Valid() bool { return p.Clock == nil || p.Clock.Now().Before(p.Until) }

type key struct{}

// With returns a context whose calls may be sent as long as p is valid.
func With(ctx context.Context, p Permit) context.Context { return context.WithValue(ctx, key{}, p) }

// Check returns ErrExpired if ctx carries a permit that has expired.
func Check(ctx context.Context) error {
	if p, ok := ctx.Value(key{}).(Permit); ok && !p.Valid() {
		return ErrExpired
	}
	return nil
}
