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
	// JoinPeriod is the time between two joins; several of them fit into the ttl of the membership.
	JoinPeriod = 300 * time.Millisecond
	// joinTimeout is shorter than the ttl, so that a lost response is followed by another join in time.
	joinTimeout  = 800 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
	// startsPerGeneration is the number of epochs for each generation of the group, so that owners of a partition that
	// this process starts within one generation have different epochs.
	startsPerGeneration = 1 << 10
)

// Owner serves one partition until Stop is called, or until it ends by itself.
type Owner interface {
	// Stop ends the owner and returns once it has stopped all its activity.
	Stop()
	// Done is closed when the owner has ended.
	Done() <-chan struct{}
}

// Member is the membership of this process in a group. Set its exported fields before Run.
type Member struct {
	Log    plog.Log
	Group  string
	ID     plog.MemberID
	Topics []plog.Topic
	// TTL is how long the partitions stay assigned to a member that no longer joins.
	TTL time.Duration
	// Standby, if set, reports whether to leave the partitions to other members at present.
	Standby func() bool
	// AfterLeave, if set, is called after this process has left the group to stand by.
	AfterLeave func()
	// StartOwner starts an owner of a partition, with an epoch above those of all previous owners.
	StartOwner func(p plog.TopicPartition, epoch plog.Epoch) Owner
	Clock      clock.Clock
	Logger     hclog.Logger

	confirmed   atomic.Int64 // Unix nanoseconds of Clock, see ConfirmedAt
	generation  plog.Generation
	mu          sync.Mutex
	owners      map[plog.TopicPartition]Owner
	startCounts map[plog.TopicPartition]int // number of owners started so far
	joinNow     chan struct{}
	unreachable bool // the last join failed
}

// Init prepares the member; it must be called before any other method.
func (m *Member) Init() {
	m.owners = map[plog.TopicPartition]Owner{}
	m.startCounts = map[plog.TopicPartition]int{}
	m.joinNow = make(chan struct{}, 1)
}

// ConfirmedAt returns when the last answered join was sent, that is, when the log last confirmed which partitions this
// process owns.
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

// JoinNow makes Run send the next join at once, for example because another member has left.
func (m *Member) JoinNow() {
	select {
	case m.joinNow <- struct{}{}:
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
				m.stopOthers(nil)
				m.leave(ctx)
				m.Logger.Info("standing by; daemons on stronger VMs take over the partitions")
				m.AfterLeave()
			}
			_ = clock.Sleep(ctx, m.Clock, JoinPeriod) // the loop checks the context
			continue
		}
		joined = true
		joinAgain := m.join(ctx)
		if joinAgain {
			continue
		}
		pauseCtx, cancel := context.WithTimeout(ctx, JoinPeriod)
		select {
		case <-m.joinNow:
		case <-pauseCtx.Done():
		}
		cancel()
	}
	m.stopOthers(nil)
	if joined {
		m.leave(ctx)
	}
}

// leave leaves the group, which assigns the partitions to other members at once.
func (m *Member) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := m.Log.Leave(ctx, m.membership()); err != nil {
		m.Logger.Warn("cannot leave the group; its partitions are reassigned after the ttl", "error", err)
	}
	m.generation = 0
}

func (m *Member) membership() plog.Membership {
	return plog.Membership{Group: m.Group, Member: m.ID, Topics: m.Topics, TTL: m.TTL, Generation: m.generation}
}

// join sends one join request and applies the assignment. It returns true if the next one must follow at once, because it
// releases partitions whose owners were stopped.
func (m *Member) join(ctx context.Context) bool {
	sent := m.Clock.Now()
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	assignment, err := m.Log.Join(joinCtx, m.membership())
	if err != nil {
		if !m.unreachable && ctx.Err() == nil {
			m.Logger.Warn("cannot join the group; retrying", "error", err)
		}
		m.unreachable = true
		return false
	}
	if m.unreachable {
		m.Logger.Info("joined the group again", "generation", assignment.Generation)
	}
	m.unreachable = false
	if ctx.Err() != nil {
		return false
	}
	changed := assignment.Generation != m.generation
	if changed {
		m.Logger.Info("partitions assigned", "generation", assignment.Generation, "held", len(assignment.Partitions))
	}
	m.generation = assignment.Generation
	stopped := m.stopOthers(assignment.Partitions)
	m.confirmed.Store(sent.UnixNano())
	m.startOwners(assignment)
	return stopped
}

// stopOthers stops the owners of all partitions except the assigned ones and reports whether there were any. It also
// forgets owners that ended by themselves.
func (m *Member) stopOthers(assigned []plog.TopicPartition) bool {
	keep := map[plog.TopicPartition]bool{}
	for _, p := range assigned {
		keep[p] = true
	}
	var lost []Owner
	m.mu.Lock()
	for p, o := range m.owners {
		select {
		case <-o.Done():
			delete(m.owners, p)
			continue
		default:
		}
		if !keep[p] {
			delete(m.owners, p)
			lost = append(lost, o)
		}
	}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, o := range lost {
		wg.Go(o.Stop)
	}
	wg.Wait()
	return len(lost) > 0
}

// startOwners starts owners for assigned partitions that have none. The generation, and with it the epoch, is higher than
// it was whenever another member owned the partition.
func (m *Member) startOwners(a plog.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range a.Partitions {
		if m.owners[p] == nil {
			m.startCounts[p]++
			m.owners[p] = m.StartOwner(p, plog.Epoch(a.Generation)*startsPerGeneration+plog.Epoch(m.startCounts[p]%startsPerGeneration))
		}
	}
}
