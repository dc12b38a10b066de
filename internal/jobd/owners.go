package jobd

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
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
	strong int // members that hold partitions on a VM of at least strongFactor times our processor
	CPU    work.Millicores
	wake   chan struct{}
}

// newMemberID names a process in the group by its peer address, the time of
// its start, and the processor of its VM in thousandths of a core.
func newMemberID(peer string, start time.Time, cpu work.Millicores) plog.MemberID {
	return plog.MemberID(fmt.Sprintf("%s/%s/%d", peer, start.UTC().Format("20060102T150405.000000000"), cpu))
}

func memberAddress(id plog.MemberID) string {
	addr, _, _ := strings.Cut(string(id), "/")
	return addr
}

// memberCPU returns the processor of a member's VM; 0 if it isn't known.
func memberCPU(id plog.MemberID) work.Millicores {
	parts := strings.Split(string(id), "/")
	n, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return 0
	}
	return work.Millicores(n)
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

// countStrong counts the members that are much stronger than this process.
func (o *owners) countStrong(holders []plog.Holder) int {
	strong := map[plog.MemberID]bool{}
	for _, h := range holders {
		if memberCPU(h.Member) >= strongFactor*o.CPU {
			strong[h.Member] = true
		}
	}
	return len(strong)
}

// LeftToOthers reports whether enough members are so much stronger that this process should own nothing.
func (o *owners) LeftToOthers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.CPU > 0 && o.strong >= minStrong
}

const (
	// strongFactor is how many times our processor a member must have for us to stand by.
	strongFactor = 2
	// minStrong members are needed, so that the loss of one doesn't leave the partitions without an owner.
	minStrong = 3
)

// Hint asks for a fresh read, since an owner did not answer or has changed.
func (o *owners) Hint() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// first reads the holders once before this process joins the group; without an answer it joins anyway.
func (o *owners) first(ctx context.Context) {
	if err := o.read(ctx); err != nil {
		o.Logger.Info("the holders can't be read before joining", "error", err)
	}
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
	o.byPart, o.strong = byPart, o.countStrong(holders)
	return nil
}
