package jobd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/panics"
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
	// SomePeers returns the addresses of n other daemons at most, chosen anew at each call.
	SomePeers  func(n int) []string
	PeerClient *link.Client
	Clock      clock.Clock
	Logger     hclog.Logger

	current  atomic.Pointer[configSnapshot] // nil until a configuration has been read
	watcher  *watch.Watcher
	outdated atomic.Bool // as last logged
	mu       sync.Mutex  // held while a snapshot replaces another
	unread   bool        // the log has a version that can't be decoded, later than the one in force
}

// configSnapshot is the configuration in force at a moment. It is immutable, so that a decision by its table is not made
// with the age of another one.
type configSnapshot struct {
	table       *route.Table
	encoded     []byte    // as published by the operators
	confirmedAt time.Time // by the clock of this daemon, the latest time as of which no newer version existed; zero if unknown
}

// configSource is where a configuration was read.
type configSource string

const (
	sourceLog  configSource = "log"
	sourcePeer configSource = "peer"
)

// configQuery asks another daemon for a newer configuration than that of a version.
type configQuery struct {
	Version int64 `cbor:"1,keyasint"`
}

// configReply is the response to a [configQuery].
type configReply struct {
	Version int64         `cbor:"1,keyasint"`           // that the daemon has in force; 0 if none
	Age     time.Duration `cbor:"2,keyasint"`           // since that version was known to be the newest
	Encoded []byte        `cbor:"3,keyasint,omitempty"` // of that version, if it is newer than the one asked for
}

const (
	// configQueriesWithinTarget is how often peers are asked within ApplyWithin.
	configQueriesWithinTarget = 4
	// configQueryPeers is how many peers are asked at a time.
	configQueryPeers = 2
)

func (c *configuration) init() {
	c.watcher = &watch.Watcher{
		Log: c.Platform.Log, Partition: c.Platform.OperatorPartition, ApplyWithin: c.ApplyWithin, Clock: c.Clock, Logger: c.Logger,
		Replace: func(records []plog.Record) {
			for _, r := range records {
				c.apply(r)
			}
		},
		Apply: c.apply, Confirm: c.confirm,
	}
}

// Run reads the operators' records until ctx is done. While the log leaves reads unanswered here, it asks other daemons
// for the configuration.
func (c *configuration) Run(ctx context.Context) {
	queries := c.Clock.Every(c.ApplyWithin/configQueriesWithinTarget, func() {
		c.reportAge()
		if c.Age() > c.ApplyWithin/2 {
			panics.Catch(c.Logger, "configuration of peers", func() { c.askPeers(ctx) })
		}
	})
	defer queries.Stop()
	c.watcher.Run(ctx)
}

// Current returns the configuration in force; nil if none has been read.
func (c *configuration) Current() *configSnapshot { return c.current.Load() }

// Table returns the routes and pools of the configuration that is in force; nil if none has been read.
func (c *configuration) Table() *route.Table {
	if current := c.current.Load(); current != nil {
		return current.table
	}
	return nil
}

// version returns the version in force, 0 if there is none.
func (c *configuration) version() int64 {
	if t := c.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Age returns the time since the configuration in force was known to be the newest.
func (c *configuration) Age() time.Duration { return c.ageOf(c.Current()) }

// ageOf returns the time since a configuration was known to be the newest.
func (c *configuration) ageOf(s *configSnapshot) time.Duration {
	if s == nil {
		s = &configSnapshot{}
	}
	return c.Clock.Now().Sub(s.confirmedAt)
}

// reportAge publishes the version and its age, and logs when the age passes the time in which changes must be in force.
func (c *configuration) reportAge() {
	if c.Table() == nil {
		return
	}
	version, age := c.version(), c.Age()
	configVersion.Set(version)
	configAge.Set(age.Milliseconds())
	if outdated := age > c.ApplyWithin; outdated != c.outdated.Swap(outdated) {
		c.Logger.Warn("whether the configuration is known to be the newest has changed", "outdated", outdated, "version", version, "unconfirmed", age)
	}
}

// reply answers the query of another daemon.
func (c *configuration) reply(q configQuery) configReply {
	current := c.Current()
	if current == nil {
		return configReply{Age: c.ageOf(nil)}
	}
	r := configReply{Version: current.table.Version, Age: c.ageOf(current)}
	if r.Version > q.Version {
		r.Encoded = current.encoded
	}
	return r
}

// askPeers asks some other daemons for a newer configuration.
func (c *configuration) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.ApplyWithin/configQueriesWithinTarget)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range c.SomePeers(configQueryPeers) {
		wg.Go(func() {
			sent := c.Clock.Now()
			r, err := link.Call[configReply](ctx, c.PeerClient, addr, methodConfig, configQuery{Version: c.version()})
			if err != nil || r.Version == 0 {
				return // another daemon may have it
			}
			if len(r.Encoded) > 0 {
				c.Logger.Info("a peer has a newer configuration", "peer", addr, "version", r.Version, "unconfirmed", r.Age)
				c.applyConfig(r.Encoded, sourcePeer)
			}
			if c.version() >= r.Version {
				c.confirm(sent.Add(-r.Age))
			}
		})
	}
	wg.Wait()
}

// confirm notes that no version newer than the one in force existed at a time.
func (c *configuration) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.Current(); s != nil && !c.unread && at.After(s.confirmedAt) {
		c.current.Store(&configSnapshot{table: s.table, encoded: s.encoded, confirmedAt: at})
	}
}

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
		c.applyConfig(r.Value, sourceLog)
	}
}

// applyConfig puts an encoded configuration in force, unless a newer one is.
func (c *configuration) applyConfig(value []byte, from configSource) {
	config, err := c.Platform.DecodeConfig(value)
	if err != nil {
		c.Logger.Error("cannot decode the configuration; the previous one stays in use", "version", c.version(), "source", from, "error", err)
		if from == sourceLog {
			c.mu.Lock()
			c.unread = true
			c.mu.Unlock()
		}
		return
	}
	next := &configSnapshot{table: route.New(config), encoded: value}
	c.mu.Lock()
	defer c.mu.Unlock()
	var unconfirmed time.Duration
	if s := c.Current(); s != nil {
		if config.Version <= s.table.Version {
			return
		}
		next.confirmedAt, unconfirmed = s.confirmedAt, c.ageOf(s)
	}
	c.current.Store(next)
	c.unread = false
	c.Logger.Info("configuration applied", "version", config.Version, "routes", len(config.Routes), "pools", len(config.Pools), "source", from, "unconfirmed", unconfirmed)
}
