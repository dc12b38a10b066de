package jobd

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fresh"
	"github.com/toucanhatch/toucanhatch/internal/hedge"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/route"
	"github.com/toucanhatch/toucanhatch/internal/stall"
	"github.com/toucanhatch/toucanhatch/internal/watch"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
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

	current        atomic.Pointer[configSnapshot] // nil until a configuration has been read
	watcher        *watch.Watcher
	transfers      *stall.Meter // of whole versions, from the log or a peer
	transferClient *link.Client // with connections for transfers alone
	fetching       sync.Mutex   // held during a transfer from a peer
	decoding       atomic.Int32 // versions that are being decoded
	check          fresh.Check
	outdated       atomic.Bool // as last logged
	mu             sync.Mutex  // held while a snapshot replaces another
	nextAsk        time.Time   // when peers may be asked again
	published      logVersion
	announced      atomic.Int64 // newest version that another daemon has named
}

// logVersion is the newest version that has been read from the log.
type logVersion struct {
	offset  ident.Offset // of its record, or of a later one
	version int64        // 0 if none could be read
	readAt  time.Time    // when its record had been read
}

// configSnapshot is the configuration in force at a moment. It is immutable, so that a decision by its table is not made
// with the age of another one.
type configSnapshot struct {
	table       *route.Table
	encoded     []byte        // as published by the operators
	shared      func() []byte // returns it without keys, as it is sent to other daemons
	deflated    func() []byte // returns shared, compressed
	confirmedAt time.Time     // by the clock of this daemon, the latest time as of which no newer version existed; zero if unknown
}

// configSource is where a configuration was read.
type configSource string

const (
	sourceLog  configSource = "log"
	sourcePeer configSource = "peer"
)

const (
	// ageChecksWithinTarget is how often the age of the configuration is checked within ApplyWithin.
	ageChecksWithinTarget = 8
	// denialsWithinTarget, readTimeoutsWithinTarget and failurePausesWithinTarget divide ApplyWithin: how recently a
	// configuration must have been the newest to deny a queue, how long the log has to show that, and for how long after
	// a failure it isn't asked again.
	denialsWithinTarget       = 20
	readTimeoutsWithinTarget  = 8
	failurePausesWithinTarget = 8
	// repeatsWithinDecision divides maxDecisionWait into the times after which a read without an answer is repeated.
	repeatsWithinDecision = 2
)

var (
	errBehind         = errors.New("another daemon has a newer configuration")
	errQueueChanged   = errors.New("the newer configuration has no such queue there")
	errLogShorter     = errors.New("the log ends before records that have been read")
	errReadPanicked   = errors.New("the read ended by a panic")
	errDecodePanicked = errors.New("the decoding ended by a panic")
)

func (c *configuration) init() {
	c.transfers, c.transferClient = &stall.Meter{Clock: c.Clock}, &link.Client{Dial: c.PeerClient.Dial}
	c.watcher = &watch.Watcher{
		Log: c.Platform.Log, Partition: c.Platform.OperatorPartition, ApplyWithin: c.ApplyWithin, Clock: c.Clock, Logger: c.Logger,
		Replace: c.replace, Apply: c.apply, Confirm: c.confirm, SkipSuperseded: true, Transfers: c.transfers,
	}
	c.watcher.Init()
	c.check = fresh.Check{
		ConfirmedAt: c.confirmedAt, Read: c.readNewer,
		Timeout: c.ApplyWithin / readTimeoutsWithinTarget, FailurePause: c.ApplyWithin / failurePausesWithinTarget, Clock: c.Clock,
	}
}

// Run reads the operators' records until ctx is done. While the log refuses reads or leaves them unanswered here, it asks
// other daemons for the configuration.
func (c *configuration) Run(ctx context.Context) {
	checks := c.Clock.Every(c.ApplyWithin/ageChecksWithinTarget, func() {
		c.reportAge()
		panics.Catch(c.Logger, "configuration of peers", func() { c.followPeers(ctx) })
	})
	defer checks.Stop()
	c.watcher.Run(ctx)
}

// snapshot returns the configuration in force; its table is nil if none has been read.
func (c *configuration) snapshot() configSnapshot {
	if current := c.current.Load(); current != nil {
		return *current
	}
	return configSnapshot{}
}

// version returns the version of the configuration, 0 if there is none.
func (s *configSnapshot) version() int64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Table returns the routes and pools of the configuration that is in force; nil if none has been read.
func (c *configuration) Table() *route.Table { return c.snapshot().table }

// version returns the version in force, 0 if there is none.
func (c *configuration) version() int64 {
	s := c.snapshot()
	return s.version()
}

// Age returns the time since the configuration in force was known to be the newest.
func (c *configuration) Age() time.Duration { return c.ageOf(c.snapshot()) }

// ageOf returns the time since a configuration was known to be the newest.
func (c *configuration) ageOf(s configSnapshot) time.Duration {
	return c.Clock.Now().Sub(s.confirmedAt)
}

// MaxDenialAge returns how long before a request the configuration must have been the newest to deny it.
func (c *configuration) MaxDenialAge() time.Duration { return c.ApplyWithin / denialsWithinTarget }

// noteVersion notes that another daemon has a version in force.
func (c *configuration) noteVersion(version int64) {
	for known := c.announced.Load(); version > known; known = c.announced.Load() {
		if c.announced.CompareAndSwap(known, version) {
			if own := c.version(); version > own {
				c.Logger.Info("another daemon has a newer configuration", "version", own, "newer", version)
			}
			return
		}
	}
}

// newestWithin reports whether the configuration in force was the newest at most d ago, and no newer one is known of.
func (c *configuration) newestWithin(d time.Duration) bool { return c.Age() <= d && !c.behind() }

// behind reports whether another daemon has named a version that is newer than the one in force.
func (c *configuration) behind() bool { return c.announced.Load() > c.version() }

// decideAgain returns the queue and the caller of a request that another daemon, or this one, has decided by an older version
// than the one in force. The error says why the request may not be carried out: the newer version has another queue or
// tenant for it, or none, or a version is known that is newer than both.
func (c *configuration) decideAgain(m link.Method, req request) (work.Queue, work.Caller, error) {
	s := c.snapshot()
	queue, err := s.decideQueue(m, req)
	if err != nil {
		return work.Queue{}, work.Caller{}, err
	}
	caller, err := s.decideCaller(m, req, queue)
	return queue, caller, err
}

// decideQueue returns the queue of a request, as for decideAgain.
func (s *configSnapshot) decideQueue(m link.Method, req request) (work.Queue, error) {
	switch {
	case req.Known > max(req.Version, s.version()):
		return work.Queue{}, errBehind
	case req.Version == 0 || req.Version >= s.version():
		return req.Queue, nil
	case req.Host == "": // of a daemon that doesn't tell
		if m == methodSubmit && !slices.ContainsFunc(s.table.Queues, func(q work.Queue) bool { return q.ID == req.Queue.ID && q.Pool == req.Queue.Pool }) {
			return work.Queue{}, errQueueChanged
		}
		return req.Queue, nil
	}
	queue, rest, found := s.table.Find(req.Host, req.Path)
	if !found || queue.ID != req.Queue.ID || queue.Pool != req.Queue.Pool || rest != string(req.Job) {
		return work.Queue{}, errQueueChanged
	}
	return queue, nil
}

// confirmedAt returns the latest time at which the configuration in force was the newest, the zero time if it is known not
// to be the newest any more.
func (c *configuration) confirmedAt() time.Time {
	if c.behind() {
		return time.Time{}
	}
	return c.snapshot().confirmedAt
}

// readNewer asks whether there is a newer version than the one in force, and waits for it.
func (c *configuration) readNewer(ctx context.Context) error {
	err := errReadPanicked
	panics.Catch(c.Logger, "read of the configuration", func() {
		if c.behind() {
			err = c.catchUp(ctx)
		} else {
			err = c.readLog(ctx)
		}
	})
	return err
}

// readLog asks the log where the operators' records end, and waits for those that have not been read yet. Open connections
// to the log may have gone silent, so that the question is soon repeated on others.
func (c *configuration) readLog(ctx context.Context) error {
	found, err := hedge.Do(ctx, c.hedgePolicy(nil), func(ctx context.Context, n int) (logEnd, error) {
		if n > 0 {
			ctx = plog.Repeat(ctx)
		}
		e := logEnd{sent: c.Clock.Now()}
		var err error
		e.offset, err = c.Platform.Log.End(ctx, c.Platform.OperatorPartition)
		return e, err
	})
	if err != nil {
		return err
	}
	if err := c.awaitOffset(ctx, found.offset); err != nil {
		return err
	}
	c.confirm(found.sent)
	return nil
}

// logEnd is where the operators' records ended, and when that was asked.
type logEnd struct {
	offset ident.Offset
	sent   time.Time
}

// hedgePolicy is that of reads for which a request waits.
func (c *configuration) hedgePolicy(moved func() bool) hedge.Policy {
	const step = maxDecisionWait / repeatsWithinDecision
	return hedge.Policy{After: step, Interval: step, Moved: moved, Clock: c.Clock, Logger: c.Logger}
}

// awaitOffset waits until the watcher has read the records before an offset, where they end.
func (c *configuration) awaitOffset(ctx context.Context, end ident.Offset) error {
	if end < c.watcher.Offset() {
		return errLogShorter
	}
	_, err := hedge.Do(ctx, c.hedgePolicy(c.versionArrives), func(ctx context.Context, n int) (struct{}, error) {
		if n > 0 {
			c.watcher.Hurry()
		}
		return struct{}{}, c.await(ctx, func() bool { return c.watcher.Offset() >= end })
	})
	return err
}

// await waits until done returns true. What arrives meanwhile counts as progress of ctx.
func (c *configuration) await(ctx context.Context, done func() bool) error {
	for !done() {
		if c.receiving(transferPollPeriod * 2) {
			stall.Progress(ctx, 1)
		}
		if err := clock.Sleep(ctx, c.Clock, transferPollPeriod); err != nil {
			return err
		}
	}
	return nil
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

// confirm notes that a read of the log, sent at a time, has shown all versions. It shows nothing while the newest of them
// can't be read, or is older than the version in force: the log then lacks versions that it had.
func (c *configuration) confirm(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.snapshot(); s.table != nil && c.published.version == s.version() {
		c.confirmSnapshot(s, sent)
	}
}

// confirmByPeer notes that a version was the newest at a time, as another daemon says. It shows nothing if the log had a
// version before then that can't be read here, or if another version is in force.
func (c *configuration) confirmByPeer(version int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := c.published.version == 0 && !c.published.readAt.IsZero()
	if s := c.snapshot(); s.table != nil && s.version() == version && (!unread || at.After(c.published.readAt)) {
		c.confirmSnapshot(s, at)
	}
}

// confirmSnapshot moves the time of the snapshot in force. The caller holds c.mu.
func (c *configuration) confirmSnapshot(s configSnapshot, at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
		c.current.Store(&s)
	}
}

// replace processes the newest records of all keys.
func (c *configuration) replace(end ident.Offset, records []plog.Record) {
	published := logVersion{offset: end, readAt: c.Clock.Now()}
	for _, r := range records {
		if r.Key == c.Platform.ConfigKey && len(r.Value) > 0 {
			published.version = c.applyConfig(r.Value, sourceLog)
		} else {
			c.applyWave(r)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.published.version == 0 && end <= c.published.offset {
		return // another read was faster, and has found a record that can't be read
	}
	c.published = published
}

// apply processes a record that was appended at an offset.
func (c *configuration) apply(at ident.Offset, r plog.Record) {
	published := logVersion{offset: at, readAt: c.Clock.Now()}
	switch {
	case !r.Readable():
	case r.Key == c.Platform.ConfigKey && len(r.Value) > 0:
		published.version = c.applyConfig(r.Value, sourceLog)
	default:
		c.applyWave(r)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at >= c.published.offset { // another read may have been faster
		c.published = published
	}
}

// applyWave passes a wave of the operators on.
func (c *configuration) applyWave(r plog.Record) {
	if len(r.Value) == 0 || !c.Platform.IsWaveKey(r.Key) {
		return
	}
	w, err := c.Platform.DecodeWave(r.Value)
	if err != nil {
		c.Logger.Error("cannot decode a wave", "key", r.Key, "error", err)
		return
	}
	c.SetWave(w)
}

// decode decodes a configuration, and returns an error if that panics.
func (c *configuration) decode(value []byte) (next *configSnapshot, err error) {
	c.decoding.Add(1)
	defer c.decoding.Add(-1)
	err = errDecodePanicked
	panics.Catch(c.Logger, "configuration", func() {
		var config *work.Config
		if config, err = c.Platform.DecodeConfig(value); err == nil {
			shared := sync.OnceValue(func() []byte { return c.Platform.withoutKeys(c.Logger, config, value) })
			next = &configSnapshot{table: route.New(config), encoded: value, shared: shared, deflated: sync.OnceValue(func() []byte { return deflate(shared()) })}
		}
	})
	return next, err
}

// applyConfig puts an encoded configuration in force, unless a newer one is. It returns its version, 0 if it can't be
// decoded.
func (c *configuration) applyConfig(value []byte, from configSource) int64 {
	if s := c.snapshot(); s.table != nil && bytes.Equal(value, s.encoded) {
		c.noteKnown(s.version(), from, len(value))
		return s.version()
	}
	next, err := c.decode(value)
	if err != nil {
		countTransfer(from, transferUnusable, len(value))
		c.Logger.Error("cannot decode the configuration; the previous one stays in use", "version", c.version(), "source", from, "error", err)
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	version := next.version()
	var unconfirmed time.Duration
	if s := c.snapshot(); s.table != nil {
		if version <= s.version() {
			c.noteKnown(version, from, len(value))
			return version
		}
		next.confirmedAt, unconfirmed = s.confirmedAt, c.ageOf(s)
	}
	c.current.Store(next)
	countTransfer(from, transferNewer, len(value))
	c.Logger.Info("configuration applied", "version", version, "routes", len(next.table.Queues), "pools", len(next.table.Pools), "source", from, "bytes", len(value), "unconfirmed", unconfirmed)
	return version
}

// noteKnown notes that a version has been received although that one, or a newer one, is in force.
func (c *configuration) noteKnown(version int64, from configSource, size int) {
	countTransfer(from, transferKnown, size)
	c.Logger.Info("the configuration has been received again", "version", version, "in_force", c.version(), "source", from, "bytes", size)
}
