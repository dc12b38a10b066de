package jobd

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/hedge"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/stall"
)

// configForm is how a daemon wants to receive a configuration.
type configForm string

const (
	formPlain    configForm = "" // of daemons that know no other
	formNone     configForm = "none"
	formDeflated configForm = "deflated"
)

// configQuery asks another daemon for a newer configuration than that of a version.
type configQuery struct {
	Version int64      `cbor:"1,keyasint"`
	Form    configForm `cbor:"2,keyasint,omitempty"`
}

// configReply is the response to a [configQuery].
type configReply struct {
	Version  int64         `cbor:"1,keyasint"`           // that the daemon has in force; 0 if none
	Age      time.Duration `cbor:"2,keyasint"`           // since that version was known to be the newest
	Encoded  []byte        `cbor:"3,keyasint,omitempty"` // of that version, if it is newer than the one asked for
	Deflated []byte        `cbor:"4,keyasint,omitempty"` // the same, compressed
}

const (
	// firstConfigPeers is how many peers are asked for their version at first. Each further group has twice as many.
	firstConfigPeers = 2
	// maxConfigPeers bounds the peers that are asked one group after the other: three groups.
	maxConfigPeers = 14
	// configTimeoutsWithinTarget divides ApplyWithin into the times that groups of peers have to name their version, and for
	// which a transfer may make no progress.
	configTimeoutsWithinTarget = 8
	// maxConfigBytes bounds a configuration that a peer sends.
	maxConfigBytes = 8 << 20
	// transferPollPeriod is how often a transfer is looked at that others wait for.
	transferPollPeriod = 10 * time.Millisecond
)

var (
	errTransferInProgress = errors.New("a transfer of the configuration is in progress")
	errNoNewerVersion     = errors.New("the peer has no newer configuration")
)

// deflate compresses an encoded configuration.
func deflate(encoded []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil // only an invalid level fails
	}
	_, _ = w.Write(encoded) // a bytes.Buffer takes all
	_ = w.Close()
	return out.Bytes()
}

// encoded returns the encoded configuration of a reply; empty if it has none.
func (r *configReply) encoded() ([]byte, error) {
	if len(r.Deflated) == 0 {
		return r.Encoded, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), maxConfigBytes+1))
	if err == nil && len(data) > maxConfigBytes {
		err = errors.Newf("the configuration exceeds %d bytes", maxConfigBytes)
	}
	return data, err
}

// reply answers the query of another daemon.
func (c *configuration) reply(q configQuery) configReply {
	current := c.snapshot()
	r := configReply{Version: current.version(), Age: c.ageOf(current)}
	if r.Version > q.Version {
		switch q.Form {
		case formPlain:
			r.Encoded = current.shared()
		case formDeflated:
			r.Deflated = current.deflated()
		case formNone:
		}
	}
	return r
}

// receiving reports whether a version has been on its way here within a time, or is being decoded.
func (c *configuration) receiving(within time.Duration) bool {
	return c.decoding.Load() > 0 || c.transfers.MovedWithin(within)
}

// versionArrives reports whether a version is on its way here, as far as a request that waits for it is concerned.
func (c *configuration) versionArrives() bool {
	return c.receiving(maxDecisionWait / repeatsWithinDecision)
}

// stallTimeout is how long a transfer may make no progress until it is given up, or another one is begun.
func (c *configuration) stallTimeout() time.Duration {
	return c.ApplyWithin / configTimeoutsWithinTarget
}

// followPeers asks other daemons for the configuration if the log hasn't confirmed it for longer than a read takes, or
// refuses reads, or if another daemon has a newer one, unless a version is on its way. A round in which no peer had a
// recent one is followed by a longer pause: the log may be down for all.
func (c *configuration) followPeers(ctx context.Context) {
	limit := c.ApplyWithin / 2
	if c.watcher.Failing() {
		limit = c.ApplyWithin / 4
	}
	begin := c.Clock.Now()
	if c.newestWithin(limit) || begin.Before(c.nextAsk) || c.receiving(c.stallTimeout()) {
		return
	}
	c.askPeers(ctx)
	pause := c.ApplyWithin / 8
	if c.Age() > c.ApplyWithin/2 {
		pause = c.ApplyWithin / 4
	}
	c.nextAsk = begin.Add(pause)
}

// askPeers asks groups of other daemons for their versions until one has shown what was the newest less than half of
// ApplyWithin ago, and reads a newer one from a single peer. Some peers may not reach the log either.
func (c *configuration) askPeers(ctx context.Context) {
	peers := c.SomePeers(maxConfigPeers)
	for n := firstConfigPeers; len(peers) > 0 && ctx.Err() == nil; n *= 2 {
		n = min(n, len(peers))
		if addr := c.askGroup(ctx, peers[:n]); addr != "" {
			fetchCtx, cancel := stall.WithTimeout(ctx, c.stallTimeout())
			_ = c.fetch(fetchCtx, addr) // logged; the next group may have the version as well
			cancel()
		}
		peers = peers[n:]
		if c.newestWithin(c.ApplyWithin / 2) {
			return
		}
	}
}

// askGroup asks some daemons at a time for their versions. It returns the address of one with the newest of them, if that
// is newer than the version in force here.
func (c *configuration) askGroup(ctx context.Context, peers []string) (newest string) {
	ctx, cancel := context.WithTimeout(ctx, c.stallTimeout())
	defer cancel()
	var mu sync.Mutex
	var version int64
	var wg sync.WaitGroup
	for _, addr := range peers {
		wg.Go(func() {
			r, err := c.ask(ctx, c.PeerClient, addr, formNone)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && r.Version > max(version, c.version()) {
				newest, version = addr, r.Version
			}
		})
	}
	wg.Wait()
	return newest
}

// ask sends a query to another daemon, and puts a version that it sends in force.
func (c *configuration) ask(ctx context.Context, client *link.Client, addr string, form configForm) (configReply, error) {
	sent := c.Clock.Now()
	r, err := link.Call[configReply](ctx, client, addr, methodConfig, configQuery{Version: c.version(), Form: form})
	if err != nil {
		if form != formNone {
			countTransfer(sourcePeer, transferGivenUp, 0)
		}
		c.Logger.Info("a peer has not sent its configuration", "peer", addr, "form", form, "version", c.version(), "waited", c.Clock.Now().Sub(sent), "error", err)
		return r, err
	}
	if r.Version == 0 {
		return r, errNoNewerVersion
	}
	c.noteVersion(r.Version)
	encoded, err := r.encoded()
	if err != nil {
		c.Logger.Error("a peer has sent a configuration that can't be read", "peer", addr, "version", r.Version, "error", err)
		return r, err
	}
	if len(encoded) > 0 {
		c.Logger.Info("a peer has a newer configuration", "peer", addr, "version", r.Version, "bytes", len(r.Deflated)+len(r.Encoded), "unconfirmed", r.Age, "took", c.Clock.Now().Sub(sent))
		c.applyConfig(encoded, sourcePeer)
	}
	c.confirmByPeer(r.Version, sent.Add(-r.Age))
	return r, nil
}

// fetch reads a newer version from another daemon, on a connection for transfers alone, unless another fetch is in
// progress.
func (c *configuration) fetch(ctx context.Context, addr string) error {
	if !c.fetching.TryLock() {
		return errTransferInProgress
	}
	defer c.fetching.Unlock()
	before := c.version()
	_, err := c.ask(stall.WithMeter(ctx, c.transfers), c.transferClient, addr, formDeflated)
	if err == nil && c.version() == before {
		err = errNoNewerVersion
	}
	return err
}

// catchUp waits until the version in force is not behind any more. As long as no version is on its way, it reads the
// configuration from one peer after the other, and has the watcher repeat its read.
func (c *configuration) catchUp(ctx context.Context) error {
	policy := c.hedgePolicy(c.versionArrives)
	if c.watcher.Failing() {
		policy.After = 0
	}
	peers := c.SomePeers(maxConfigPeers)
	_, err := hedge.Do(ctx, policy, func(ctx context.Context, n int) (struct{}, error) {
		switch {
		case n == 0:
			return struct{}{}, c.await(ctx, func() bool { return !c.behind() })
		case len(peers) == 0:
			c.watcher.Hurry()
			return struct{}{}, errBehind
		case n > 1:
			c.watcher.Hurry()
		}
		return struct{}{}, c.fetch(ctx, peers[n%len(peers)])
	})
	return err
}
