package jobd

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/route"
	"github.com/toucanhatch/toucanhatch/internal/watch"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// configuration follows what the operators publish: the configuration and the waves. Call init before the first use.
type configuration struct {
	Platform *Platform
	// ApplyWithin is the time in which a confirmed configuration is in force here.
	ApplyWithin time.Duration
	SetWave     func(work.Wave)
	Clock       clock.Clock
	Logger      hclog.Logger

	table   atomic.Pointer[route.Table] // nil until a configuration has been read
	watcher *watch.Watcher
}

func (c *configuration) init() {
	c.watcher = &watch.Watcher{
		Log: c.Platform.Log, Partition: c.Platform.OperatorPartition, ApplyWithin: c.ApplyWithin, Clock: c.Clock, Logger: c.Logger,
		Replace: func(records []plog.Record) {
			for _, r := range records {
				c.apply(r)
			}
		},
		Apply: c.apply,
	}
}

// Run reads the operators' records until ctx is done.
func (c *configuration) Run(ctx context.Context) { c.watcher.Run(ctx) }

// Table returns the routes and pools of the configuration that is in force; nil if none has been read.
func (c *configuration) Table() *route.Table { return c.table.Load() }

// Age returns the time since the configuration was known to be the newest.
func (c *configuration) Age() time.Duration { return c.Clock.Now().Sub(c.watcher.ConfirmedAt()) }

// apply puts a record of the operators in force.
func (c *configuration) apply(r plog.Record) {
	switch {
	case len(r.Value) == 0:
	case c.Platform.IsWaveKey(r.Key):
		w, err := c.Platform.DecodeWave(r.Value)
		if err != nil {
			c.Logger.Error("cannot decode a wave", "key", r.Key, "error", err)
			return
		}
		c.SetWave(w)
	case r.Key == c.Platform.ConfigKey:
		c.applyConfig(r.Value)
	}
}

// applyConfig puts an encoded configuration in force, unless a newer one is.
func (c *configuration) applyConfig(value []byte) {
	config, err := c.Platform.DecodeConfig(value)
	if err != nil {
		c.Logger.Error("cannot decode the configuration; the previous one stays in use", "error", err)
		return
	}
	var unconfirmed time.Duration
	if old := c.Table(); old != nil {
		if config.Version <= old.Version {
			return
		}
		unconfirmed = c.Age()
	}
	c.table.Store(route.New(config))
	c.Logger.Info("configuration applied", "version", config.Version, "routes", len(config.Routes), "pools", len(config.Pools), "unconfirmed", unconfirmed)
}
