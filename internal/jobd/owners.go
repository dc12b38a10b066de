package jobd

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

const (
	// ownersPeriod is how often the holders of the partitions are read without a reason.
	ownersPeriod = 2 * time.Second
	// ownersPause is the least time between two reads.
	ownersPause   = 100 * time.Millisecond
	ownersTimeout = time.Second
)

// owners knows at which address the owner of each partition answers.
type owners struct {
	Log    plog.Log
	Group  string
	Clock  clock.Clock
	Logger hclog.Logger

	mu     sync.Mutex
	byPart map[plog.TopicPartition]string
	wake   chan struct{}
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
			o.Logger.Warn("the holders of the partitions can't be read", "error", err)
		}
		lost = err != nil
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
	holders, err := o.Log.Holders(ctx, o.Group)
	if err != nil {
		return err
	}
	byPart := map[plog.TopicPartition]string{}
	for _, h := range holders {
		byPart[h.TopicPartition] = memberAddress(h.Member)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for p, a := range byPart {
		if o.byPart[p] != a {
			o.Logger.Debug("owner changed", "partition", p.Partition, "owner", a)
		}
	}
	o.byPart = byPart
	return nil
}
