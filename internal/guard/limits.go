package guard

import (
	"cmp"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/intake"
	"github.com/toucanhatch/toucanhatch/internal/netopt"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// defaultBodyTime is several times as long as a small body takes on a crowded slow link.
const defaultBodyTime = 10 * time.Second

// Limits are the limits of a [Guard].
type Limits struct {
	intake.Limits
	BodyTime time.Duration // for a body of [intake.SmallBody] bytes
}

// Derive returns the limits by the settings of a process with some memory, 0 if that isn't known.
func Derive(s config.Limits, memory ident.Bytes) Limits {
	set := intake.Limits{Bodies: s.Bodies, Clients: s.Clients, Peers: s.Peers, Others: s.Others}
	return Limits{set.Derive(memory, netopt.MaxFiles()), cmp.Or(s.BodyTime.Duration, defaultBodyTime)}
}
