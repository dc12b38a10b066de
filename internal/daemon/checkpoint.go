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
	checkpointCheckInterval = 15 * time.Second
	checkpointTimeout       = time.Minute
	// checkpointsPerRetention is the number of checkpoints in one retention time. The next one is
	// due well before half of that time has passed, so that one failed attempt does no harm.
	checkpointsPerRetention = 4
)

// checkpointer writes checkpoints of the fleet state to the log while this entry holds the planner role.
type checkpointer struct {
	self      ident.EntryID
	retention time.Duration // how long the platform keeps records
	state     interface{ Snapshot() *fold.State }
	write     func(ctx context.Context, writer string, now time.Time) error
	clock     clock.Clock
	logger    hclog.Logger

	lastWritten time.Time // time of this process's newest checkpoint; zero if none
}

func (d *Daemon) newCheckpointer() *checkpointer {
	return &checkpointer{
		self: d.Settings.Entry, retention: cmp.Or(d.Settings.LogRetention.Duration, config.DefaultLogRetention), state: d.follower,
		write: d.follower.AppendCheckpoint, clock: d.Clock, logger: d.Logger.Named("checkpoint"),
	}
}

// writeIfDue writes a checkpoint if one is due. A new planner writes one at once, since it
// does not know when the previous planner wrote the last one.
func (c *checkpointer) writeIfDue(ctx context.Context) {
	s := c.state.Snapshot()
	now := c.clock.Now()
	due := c.lastWritten.IsZero() || now.Sub(c.lastWritten) >= c.retention/checkpointsPerRetention
	if s.Planner.Holder != c.self || !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if err := c.write(ctx, string(c.self), now); err != nil {
		c.logger.Warn("failed to write checkpoint; will try again", "error", err)
		return
	}
	c.lastWritten = now
	c.logger.Info("checkpoint written", "config_offset", s.ConfigOffset, "fleet_offset", s.FleetOffset)
}

// run checks at each interval whether a checkpoint is due, until ctx is done.
func (c *checkpointer) run(ctx context.Context) error {
	for clock.Sleep(ctx, c.clock, checkpointCheckInterval) == nil {
		c.writeIfDue(ctx)
	}
	return nil
}
