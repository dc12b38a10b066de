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
	// ownersPeriod is how often the holders of the partitions are read without a reason.
	ownersPeriod = 2 * time.Second
	// ownersPause is the least time between two reads.
	ownersPause   = 100 * time.Millisecond
	ownersTimeout = time.Second
	// relayTimeout bounds a question to another process for what it has read.
	relayTimeout = 300 * time.Millisecond
	// relayPeers is how many are asked at a time; some of them may not reach the log either.
	relayPeers = 4
)

// owners knows at which address the owner of each partition answers.
type owners struct {
	Log    plog.Log
	Group  string
	Self   string // peer address of this process
	Links  *link.Client
	Clock  clock.Clock
	Logger hclog.Logger

	mu     sync.Mutex
	byPart map[plog.TopicPartition]string
	readAt time.Time // when the log was asked for byPart, by this process or another one
	wake   chan struct{}
}

// holding says at which address the owner of a partition answers.
type holding struct {
	_         struct{} `cbor:",toarray"`
	Topic     plog.Topic
	Partition plog.Partition
	Address   string
}

// holdings is what a process knows of the owners.
type holdings struct {
	Age      time.Duration `cbor:"1,keyasint"` // since the log was asked
	Holdings []holding     `cbor:"2,keyasint"`
}

// newMemberID names a process in the group by its peer address and the time of its start.
func newMemberID(peer string, start time.Time) plog.MemberID {
	return plog.MemberID(peer + "/" + start.UTC().Format("20060102T150405.000000000"))
}

func memberAddress(id plog.MemberID) string {
	addr, _, _ := strings.Cut(string(id), "/")
	return addr
}

// Address returns the peer address of a partition's owner; empty if none is known.
func (o *owners) Address(p plog.TopicPartition) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byPart[p]
}

// Addresses returns the peer addresses of all known owners.
func (o *owners) Addresses() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	for _, a := range o.byPart {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

// Known reports whether the holders have been read.
func (o *owners) Known() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byPart) > 0
}

// Hint asks for a fresh read, since an owner did not answer or has changed.
func (o *owners) Hint() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Held returns how many partitions have a holder.
func (o *owners) Held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byPart)
}

// Run keeps the addresses fresh until ctx is done.
func (o *owners) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := o.read(ctx)
		if err != nil && !lost && ctx.Err() == nil {
			o.Logger.Warn("the holders of the partitions can't be read; other processes are asked", "error", err)
		}
		lost = err != nil
		if lost {
			o.relay(ctx)
		}
		_ = clock.Sleep(ctx, o.Clock, ownersPause) // the loop checks the context
		wait, cancel := context.WithTimeout(ctx, ownersPeriod)
		select {
		case <-o.wake:
		case <-wait.Done():
		}
		cancel()
	}
}

func (o *owners) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	sent := o.Clock.Now()
	holders, err := o.Log.Holders(ctx, o.Group)
	if err != nil {
		return err
	}
	byPart := map[plog.TopicPartition]string{}
	for _, h := range holders {
		byPart[h.TopicPartition] = memberAddress(h.Member)
	}
	o.adopt(sent, byPart)
	return nil
}

// adopt takes what the log answered at a time, unless something newer is known.
func (o *owners) adopt(at time.Time, byPart map[plog.TopicPartition]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at.Before(o.readAt) {
		return
	}
	for p, a := range byPart {
		if o.byPart[p] != a {
			o.Logger.Debug("owner changed", "partition", p.Partition, "owner", a)
		}
	}
	o.byPart, o.readAt = byPart, at
}

// known returns what this process knows, for others that don't reach the log.
func (o *owners) known() holdings {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := holdings{Age: o.Clock.Now().Sub(o.readAt)}
	for p, a := range o.byPart {
		out.Holdings = append(out.Holdings, holding{Topic: p.Topic, Partition: p.Partition, Address: a})
	}
	return out
}

// relay asks some other processes for what they have read, since the log does
// not answer here. A process that the log refuses can serve clients through its peers only if it knows the owners.
func (o *owners) relay(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	addrs := slices.DeleteFunc(o.Addresses(), func(addr string) bool { return addr == o.Self })
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	var wg sync.WaitGroup
	for _, addr := range addrs[:min(len(addrs), relayPeers)] {
		wg.Go(func() {
			sent := o.Clock.Now()
			h, err := link.Call[holdings](ctx, o.Links, addr, methodOwners, struct{}{})
			if err != nil || len(h.Holdings) == 0 {
				return // another one may know
			}
			byPart := map[plog.TopicPartition]string{}
			for _, x := range h.Holdings {
				byPart[plog.TopicPartition{Topic: x.Topic, Partition: x.Partition}] = x.Address
			}
			o.adopt(sent.Add(-h.Age), byPart)
		})
	}
	wg.Wait()
}
