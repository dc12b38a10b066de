// Package permit bounds how long a process acts on what it was told.
//
// A permit is made from a confirmation, travels with the order in its context
// and is checked again by the adapter that sends the order, right before its
// bytes leave: calls that wait may lie between the decision and that moment,
// and so may a pause of the whole process.
package permit

import (
	"context"
	"errors"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// ErrExpired means that an order was not sent, since its permit had run out.
var ErrExpired = errors.New("not sent: the permission to give the order has run out")

// Permit allows orders until a point in time. The zero value allows everything.
type Permit struct {
	Until time.Time
	Clock clock.Clock // that Until is measured on; it must count the time in which the process is suspended
}

// Valid reports whether orders may still be sent.
func (p Permit) Valid() bool { return p.Clock == nil || p.Clock.Now().Before(p.Until) }

type key struct{}

// With returns a context for orders that may be sent as long as p is valid.
func With(ctx context.Context, p Permit) context.Context { return context.WithValue(ctx, key{}, p) }

// Check returns ErrExpired if ctx carries a permit that has run out.
func Check(ctx context.Context) error {
	if p, ok := ctx.Value(key{}).(Permit); ok && !p.Valid() {
		return ErrExpired
	}
	return nil
}
