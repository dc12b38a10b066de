package jobd

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

const (
	// ownersReadPeriod is how often the owners are read if nobody requests it.
	ownersReadPeriod = 2 * time.Second
	// ownersReadPause is the shortest time between two reads.
	ownersReadPause   = 100 * time.Millisecond
	ownersReadTimeout = time.Second
	// ownersQueryTimeout bounds a request for another daemon's owner table.
	ownersQueryTimeout = 300 * time.Millisecond
	// ownersQueryPeers is how many daemons are asked at a time; some of them may not reach the log either.
	ownersQueryPeers = 4
	// seenValidity is how long a former owner may be asked.
	seenValidity = 2 * time.Minute
)

// ownerTable holds the peer address of the owner of each partition.
type ownerTable struct {
	Log         plog.Log
	Group       string
	PeerAddress string // of this daemon
	PeerClient  *link.Client
	Clock       clock.Clock
	Logger      hclog.Logger

	mu          sync.Mutex
	byPartition map[plog.TopicPartition]string
	readAt      time.Time            // when byPartition was requested from the log, by this daemon or another one
	seen        map[string]time.Time // when the table last had an address
	refresh     chan struct{}
}

// ownerEntry is the peer address of one partition's owner.
type ownerEntry struct {
	_         struct{} `cbor:",toarray"`
	Topic     plog.Topic
	Partition plog.Partition
	Address   string
}

// ownerSnapshot is the content of an owner table, as sent to other daemons.
type ownerSnapshot struct {
	Age     time.Duration `cbor:"1,keyasint"` // since the entries were requested from the log
	Entries []ownerEntry  `cbor:"2,keyasint"`
}

// newMemberID returns the id of a daemon in the group: its peer address and its start time.
func newMemberID(peer string, start time.Time) plog.MemberID {
	return plog.MemberID(peer + "/" + start.UTC().Format("20060102T150405.000000000"))
}

func memberAddress(id plog.MemberID) string {
	addr, _, _ := strings.Cut(string(id), "/")
	return addr
}

// Address returns the peer address of a partition's owner; empty if none is known.
func (o *ownerTable) Address(p plog.TopicPartition) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byPartition[p]
}

// Addresses returns the peer addresses of all known owners.
func (o *ownerTable) Addresses() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for _, a := range o.byPartition {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

// HasRead reports whether the owners have been read, from the log or another daemon.
func (o *ownerTable) HasRead() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.readAt.IsZero()
}

// AddressesSince returns the peer addresses of all known owners if they were read at a time or later, and none otherwise.
func (o *ownerTable) AddressesSince(t time.Time) []string {
	o.mu.Lock()
	old := o.readAt.Before(t)
	o.mu.Unlock()
	if old {
		return nil
	}
	return o.Addresses()
}

// Loaded reports whether any owner is known.
func (o *ownerTable) Loaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byPartition) > 0
}

// RequestRefresh makes Run read the owners soon, for example because an owner did not answer or has changed.
func (o *ownerTable) RequestRefresh() {
	select {
	case o.refresh <- struct{}{}:
	default:
	}
}

// Count returns how many partitions have a known owner.
func (o *ownerTable) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byPartition)
}

// Run reads the owners periodically and on request until ctx is done. While the log can't be reached, it asks other
// daemons instead.
func (o *ownerTable) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := o.readLog(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			o.Logger.Warn("cannot read the partition owners from the log; asking other daemons", "error", err)
		}
		failing = err != nil
		if failing {
			o.askPeers(ctx)
		}
		_ = clock.Sleep(ctx, o.Clock, ownersReadPause) // the loop checks the context
		waitCtx, cancel := context.WithTimeout(ctx, ownersReadPeriod)
		select {
		case <-o.refresh:
		case <-waitCtx.Done():
		}
		cancel()
	}
}

func (o *ownerTable) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownersReadTimeout)
	defer cancel()
	sent := o.Clock.Now()
	holders, err := o.Log.Holders(ctx, o.Group)
	if err != nil {
		return err
	}
	byPartition := map[plog.TopicPartition]string{}
	for _, h := range holders {
		byPartition[h.TopicPartition] = memberAddress(h.Member)
	}
	o.replaceIfNewer(sent, byPartition)
	return nil
}

// replaceIfNewer replaces the table by what was requested from the log at readAt, unless the table is newer.
func (o *ownerTable) replaceIfNewer(readAt time.Time, byPartition map[plog.TopicPartition]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if readAt.Before(o.readAt) {
		return
	}
	for p, a := range byPartition {
		if o.byPartition[p] != a {
			o.Logger.Debug("owner changed", "partition", p.Partition, "owner", a)
		}
	}
	if before, now := len(o.byPartition), len(byPartition); before != now {
		o.Logger.Info("the number of partitions with an owner has changed", "before", before, "now", now, "age", o.Clock.Now().Sub(readAt))
	}
	o.byPartition, o.readAt = byPartition, readAt
	o.noteSeen()
}

// noteSeen notes the addresses of the table, and forgets those that it has not had for seenValidity. The caller holds o.mu.
func (o *ownerTable) noteSeen() {
	now := o.Clock.Now()
	if o.seen == nil {
		o.seen = map[string]time.Time{}
	}
	for _, addr := range o.byPartition {
		o.seen[addr] = now
	}
	for addr, at := range o.seen {
		if now.Sub(at) > seenValidity {
			delete(o.seen, addr)
		}
	}
}

// snapshot returns the table for daemons that don't reach the log.
func (o *ownerTable) snapshot() ownerSnapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := ownerSnapshot{Age: o.Clock.Now().Sub(o.readAt)}
	for p, a := range o.byPartition {
		out.Entries = append(out.Entries, ownerEntry{Topic: p.Topic, Partition: p.Partition, Address: a})
	}
	return out
}

// SomePeers returns the addresses of n other owners chosen at random. If there are fewer, former owners follow: the log may
// have taken all partitions away, and only they can tell who has them when the log doesn't answer here.
func (o *ownerTable) SomePeers(n int) []string {
	owners := o.Addresses()
	var former []string
	o.mu.Lock()
	for addr := range o.seen {
		if !slices.Contains(owners, addr) {
			former = append(former, addr)
		}
	}
	o.mu.Unlock()
	for _, addrs := range [][]string{owners, former} {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	}
	peers := slices.DeleteFunc(append(owners, former...), func(addr string) bool { return addr == o.PeerAddress })
	return peers[:min(len(peers), n)]
}

// askPeers asks some other daemons for their owner tables. It is called while the log can't be read from here: a daemon
// without access to the log can still forward clients' requests, provided that it knows the owners.
func (o *ownerTable) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownersQueryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range o.SomePeers(ownersQueryPeers) {
		wg.Go(func() {
			sent := o.Clock.Now()
			snapshot, err := link.Call[ownerSnapshot](ctx, o.PeerClient, addr, methodOwners, struct{}{})
			if err != nil || len(snapshot.Entries) == 0 {
				return // another daemon may respond
			}
			byPartition := map[plog.TopicPartition]string{}
			for _, e := range snapshot.Entries {
				byPartition[plog.TopicPartition{Topic: e.Topic, Partition: e.Partition}] = e.Address
			}
			o.replaceIfNewer(sent.Add(-snapshot.Age), byPartition)
		})
	}
	wg.Wait()
}
