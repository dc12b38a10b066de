package jobd

import (
	"context"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/panics"
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
	// firstConfigPeers is how many peers are asked at first. Each further group has twice as many.
	firstConfigPeers = 2
	// maxConfigPeers bounds the peers that are asked one group after the other: three groups.
	maxConfigPeers = 14
	// configTimeoutsWithinTarget divides ApplyWithin into the times that groups of peers have to answer.
	configTimeoutsWithinTarget = 8
)

// followPeers asks other daemons for the configuration if the log hasn't confirmed it for longer than a read takes, or
// refuses reads, or if another daemon has a newer one. A round in which no peer had a recent one is followed by a longer
// pause: the log may be down for all.
func (c *configuration) followPeers(ctx context.Context) {
	limit := c.ApplyWithin / 2
	if c.watcher.Failing() {
		limit = c.ApplyWithin / 4
	}
	begin := c.Clock.Now()
	if c.newestWithin(limit) || begin.Before(c.nextAsk) {
		return
	}
	c.askPeers(ctx)
	pause := c.ApplyWithin / 8
	if c.Age() > c.ApplyWithin/2 {
		pause = c.ApplyWithin / 4
	}
	c.nextAsk = begin.Add(pause)
}

// askPeers asks groups of other daemons for a newer configuration until one has shown what was the newest less than half
// of ApplyWithin ago. Some peers may not reach the log either.
func (c *configuration) askPeers(ctx context.Context) {
	peers := c.SomePeers(maxConfigPeers)
	for n := firstConfigPeers; len(peers) > 0 && ctx.Err() == nil; n *= 2 {
		n = min(n, len(peers))
		c.askGroup(ctx, peers[:n])
		peers = peers[n:]
		if c.newestWithin(c.ApplyWithin / 2) {
			return
		}
	}
}

// askGroup asks some daemons at a time.
func (c *configuration) askGroup(ctx context.Context, peers []string) {
	ctx, cancel := context.WithTimeout(ctx, c.ApplyWithin/configTimeoutsWithinTarget)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range peers {
		wg.Go(func() { c.askPeer(ctx, addr) })
	}
	wg.Wait()
}

// askPeer asks another daemon for a newer configuration.
func (c *configuration) askPeer(ctx context.Context, addr string) {
	sent := c.Clock.Now()
	r, err := link.Call[configReply](ctx, c.PeerClient, addr, methodConfig, configQuery{Version: c.version()})
	if err != nil {
		countTransfer(sourcePeer, transferGivenUp, 0)
		c.Logger.Info("a peer has not sent its configuration", "peer", addr, "version", c.version(), "waited", c.Clock.Now().Sub(sent), "error", err)
		return // another daemon may have it
	}
	if r.Version == 0 {
		return
	}
	if len(r.Encoded) > 0 {
		c.Logger.Info("a peer has a newer configuration", "peer", addr, "version", r.Version, "unconfirmed", r.Age)
		c.applyConfig(r.Encoded, sourcePeer)
	}
	c.confirmByPeer(r.Version, sent.Add(-r.Age))
}

// catchUp reads the configuration from the log and from some peers at the same time, until the version in force is not
// behind any more.
func (c *configuration) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := c.SomePeers(firstConfigPeers)
	results := make(chan error, 1+len(peers))
	start := func(read func() error) {
		go func() {
			err := errReadPanicked
			panics.Catch(c.Logger, "read of the configuration", func() { err = read() })
			results <- err
		}()
	}
	start(func() error { return c.readLog(ctx) })
	for _, addr := range peers {
		start(func() error {
			c.askPeer(ctx, addr)
			return errBehind
		})
	}
	err := errBehind
	for range cap(results) {
		if err = <-results; !c.behind() {
			return nil
		}
	}
	return err
}

// reply answers the query of another daemon.
func (c *configuration) reply(q configQuery) configReply {
	current := c.snapshot()
	r := configReply{Version: current.version(), Age: c.ageOf(current)}
	if r.Version > q.Version {
		r.Encoded = current.encoded
	}
	return r
}
