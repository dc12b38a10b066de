// Package group keeps a process in the group that deals out the partitions,
// starts an owner for each partition that it gets and stops those that it loses.
package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

const (
	// JoinPeriod is the time between two joins; it leaves several of them within the ttl.
	JoinPeriod = 300 * time.Millisecond
	// joinTimeout is under the ttl, so that a lost answer is followed by another join in time.
	joinTimeout  = 800 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
	// startsPerGeneration keeps the epochs of owners apart that this process starts in one generation.
	startsPerGeneration = 1 << 10
)

// Owner serves one partition until Stop, or until it ends by itself.
type Owner interface {
	// Stop ends the owner and returns when it no longer acts.
	Stop()
	// Done is closed when the owner has ended.
	Done() <-chan struct{}
}

// Member is this process in the group. Set its exported fields before Run.
type Member struct {
	Log    plog.Log
	Group  string
	ID     plog.MemberID
	Topics []plog.Topic
	// TTL is how long the partitions stay with a silent member.
	TTL time.Duration
	// Standby, if set, tells whether to leave the partitions to others at present.
	Standby func() bool
	// AfterLeave, if set, is called after this process has left the group to stand by.
	AfterLeave func()
	// StartOwner makes an owner of a partition, with an epoch above all former ones.
	StartOwner func(p plog.TopicPartition, epoch plog.Epoch) Owner
	Clock      clock.Clock
	Logger     hclog.Logger

	confirmed  atomic.Int64 // Unix nanoseconds of Clock
	generation plog.Generation
	mu         sync.Mutex
	owners     map[plog.TopicPartition]Owner
	starts     map[plog.TopicPartition]int // owners of this partition that were started
	wake       chan struct{}
	lost       bool
}

// Init prepares the member; it must be called before any other method.
func (m *Member) Init() {
	m.owners = map[plog.TopicPartition]Owner{}
	m.starts = map[plog.TopicPartition]int{}
	m.wake = make(chan struct{}, 1)
}

// ConfirmedAt returns when the request was sent by which the log last confirmed what this process owns.
func (m *Member) ConfirmedAt() time.Time { return time.Unix(0, m.confirmed.Load()) }

// Owner returns the running owner of a partition, or nil.
func (m *Member) Owner(p plog.TopicPartition) Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[p]
}

// OwnsAny reports whether this process owns any partition.
func (m *Member) OwnsAny() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owners) > 0
}

// JoinNow makes the next join happen at once, for example because another member has left.
func (m *Member) JoinNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run stays in the group until ctx is done, then stops the owners and leaves.
func (m *Member) Run(ctx context.Context) {
	joined := false
	for ctx.Err() == nil {
		if m.Standby != nil && m.Standby() {
			if joined {
				joined = false
				m.keep(nil)
				m.leave(ctx)
				m.Logger.Info("standing by: stronger members hold the partitions")
				m.AfterLeave()
			}
			_ = clock.Sleep(ctx, m.Clock, JoinPeriod) // the loop checks the context
			continue
		}
		joined = true
		again := m.join(ctx)
		if again {
			continue
		}
		pause, cancel := context.WithTimeout(ctx, JoinPeriod)
		select {
		case <-m.wake:
		case <-pause.Done():
		}
		cancel()
	}
	m.keep(nil)
	if joined {
		m.leave(ctx)
	}
}

// leave gives the partitions to the others at once.
func (m *Member) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := m.Log.Leave(ctx, m.membership()); err != nil {
		m.Logger.Warn("could not leave the group; the partitions pass on after the ttl", "error", err)
	}
	m.generation = 0
}

func (m *Member) membership() plog.Membership {
	return plog.Membership{Group: m.Group, Member: m.ID, Topics: m.Topics, TTL: m.TTL, Generation: m.generation}
}

// join sends one request; true asks for another one at once, which releases the partitions that were lost.
func (m *Member) join(ctx context.Context) bool {
	sent := m.Clock.Now()
	call, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	a, err := m.Log.Join(call, m.membership())
	if err != nil {
		if !m.lost && ctx.Err() == nil {
			m.Logger.Warn("the group is out of reach", "error", err)
		}
		m.lost = true
		return false
	}
	if m.lost {
		m.Logger.Info("the group is in reach again", "generation", a.Generation)
	}
	m.lost = false
	if ctx.Err() != nil {
		return false
	}
	changed := a.Generation != m.generation
	if changed {
		m.Logger.Info("partitions dealt", "generation", a.Generation, "held", len(a.Partitions))
	}
	m.generation = a.Generation
	released := m.keep(a.Partitions)
	m.confirmed.Store(sent.UnixNano())
	m.begin(a)
	return released
}

// keep stops the owners of all other partitions and reports whether there were any.
func (m *Member) keep(held []plog.TopicPartition) bool {
	wanted := map[plog.TopicPartition]bool{}
	for _, p := range held {
		wanted[p] = true
	}
	var ended []Owner
	m.mu.Lock()
	for p, o := range m.owners {
		select {
		case <-o.Done():
			delete(m.owners, p)
			continue
		default:
		}
		if !wanted[p] {
			delete(m.owners, p)
			ended = append(ended, o)
		}
	}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, o := range ended {
		wg.Go(o.Stop)
	}
	wg.Wait()
	return len(ended) > 0
}

// begin starts the owners of partitions that are new here. The generation is
// higher than at any time when another member held the partition.
func (m *Member) begin(a plog.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range a.Partitions {
		if m.owners[p] == nil {
			m.starts[p]++
			m.owners[p] = m.StartOwner(p, plog.Epoch(a.Generation)*startsPerGeneration+plog.Epoch(m.starts[p]%startsPerGeneration))
		}
	}
}
