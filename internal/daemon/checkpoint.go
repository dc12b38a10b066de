package daemon

import (
	"cmp"
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	checkpointLook    = 15 * time.Second
	checkpointTimeout = time.Minute
	// checkpointsPerRetention writes well before half the retention has passed,
	// so that one failed attempt does no harm.
	checkpointsPerRetention = 4
)

// checkpointer writes a checkpoint of the folded state while this entry holds the planner's term.
type checkpointer struct {
	self      ident.EntryID
	retention time.Duration // how long the platform keeps records
	state     interface{ Snapshot() *fold.State }
	write     func(ctx context.Context, writer string, now time.Time) error
	clock     clock.Clock
	logger    hclog.Logger

	written time.Time // of the newest checkpoint by this process
}

func (d *Daemon) newCheckpointer() *checkpointer {
	return &checkpointer{
		self: d.Settings.Entry, retention: cmp.Or(d.Settings.LogRetention.Duration, config.DefaultLogRetention), state: d.follower,
		write: d.follower.AppendCheckpoint, clock: d.Clock, logger: d.Logger.Named("checkpoint"),
	}
}

// step writes a checkpoint if one is due. A new holder writes at once, since it
// does not know when the one before it last did.
func (c *checkpointer) step(ctx context.Context) {
	s := c.state.Snapshot()
	now := c.clock.Now()
	due := c.written.IsZero() || now.Sub(c.written) >= c.retention/checkpointsPerRetention
	if s.Planner.Holder != c.self || !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if err := c.write(ctx, string(c.self), now); err != nil {
		c.logger.Warn("checkpoint not written; trying again", "error", err)
		return
	}
	c.written = now
	c.logger.Info("checkpoint written", "config_offset", s.ConfigOffset, "fleet_offset", s.FleetOffset)
}

// run steps until ctx is done.
func (c *checkpointer) run(ctx context.Context) error {
	for clock.Sleep(ctx, c.clock, checkpointLook) == nil {
		c.step(ctx)
	}
	return nil
}
