package jobd

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/shard"
)

const (
	// capsPeriod is the time between two rounds of an allocator.
	capsPeriod = 150 * time.Millisecond
	// capsTimeout bounds a request for one process. Until it has ended, that process gets no other.
	capsTimeout = 400 * time.Millisecond
	// capsWait is how long a round waits for the responses; later ones count in the next round.
	capsWait = 100 * time.Millisecond
)

// methodCaps is that of an allocator's request to a process that owns partitions.
const methodCaps link.Method = "caps"

// capsRequest holds the grants for all partitions of one process.
type capsRequest struct {
	Version int64       `cbor:"1,keyasint"` // of the configuration in force
	Grants  []capsGrant `cbor:"2,keyasint"`
}

type capsGrant struct {
	Partition plog.Partition `cbor:"1,keyasint"`
	Grant     quota.Grant    `cbor:"2,keyasint"`
}

// capsResponse holds the reports of those partitions that the process owns.
type capsResponse struct {
	Version int64        `cbor:"1,keyasint"`
	Reports []capsReport `cbor:"2,keyasint"`
}

type capsReport struct {
	Partition plog.Partition `cbor:"1,keyasint"`
	Report    quota.Report   `cbor:"2,keyasint"`
}

// handleCaps passes the grants to the partitions that this daemon owns.
func (s *Service) handleCaps(ctx context.Context, req capsRequest) (capsResponse, error) {
	s.Config.noteVersion(req.Version)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out capsResponse
	for i := range req.Grants {
		g := &req.Grants[i]
		sh, ok := s.Member.Owner(plog.TopicPartition{Topic: shard.JobsTopic, Partition: g.Partition}).(*shard.Shard)
		if !ok {
			continue
		}
		select {
		case <-sh.Ready():
		default:
			continue // the other partitions shall not wait for its takeover
		}
		wg.Go(func() {
			panics.Catch(s.Logger, "caps request", func() {
				r, err := sh.Allocate(ctx, g.Grant)
				if err != nil {
					return // without a report, the allocator counts the partition in full
				}
				mu.Lock()
				defer mu.Unlock()
				out.Reports = append(out.Reports, capsReport{g.Partition, r})
			})
		})
	}
	wg.Wait()
	out.Version = s.Config.version()
	return out, nil
}

// capAllocator runs the allocator of one slot. Set its exported fields before Run.
type capAllocator struct {
	Slot    quota.Slot
	Epoch   plog.Epoch
	Service *Service
	MaySend func() bool
	Clock   clock.Clock
	Logger  hclog.Logger

	allocator quota.Allocator
	used      bool            // there has been a tenant with a cap
	pending   map[string]bool // addresses with a request that has not ended
	results   chan capsResult
	ready     bool // as last logged
}

// capsResult is the end of a request to the process at an address, which is empty for this one.
type capsResult struct {
	addr     string
	response capsResponse
	err      error
}

// Run does rounds until ctx is done, or a later allocator is at work.
func (c *capAllocator) Run(ctx context.Context) {
	c.allocator = quota.Allocator{Slot: c.Slot, Epoch: int64(c.Epoch), Partitions: max(c.Service.Partitions, 1)}
	c.allocator.Init()
	c.pending, c.results = map[string]bool{}, make(chan capsResult)
	for ctx.Err() == nil {
		if c.MaySend() && c.configure() {
			if err := c.round(ctx); err != nil {
				c.Logger.Info("allocator of caps ended", "slot", c.Slot, "epoch", c.Epoch, "error", err)
				return
			}
		}
		_ = clock.Sleep(ctx, c.Clock, capsPeriod) // the loop checks the context
	}
}

// configure passes the configuration in force to the allocator, and reports whether there is something to allocate: a tenant
// has a cap, or had one since the allocator was started.
func (c *capAllocator) configure() bool {
	table := c.Service.Config.Table()
	if table == nil {
		return false
	}
	var tenants []quota.Tenant
	for i := range table.Tenants {
		t := &table.Tenants[i]
		c.used = c.used || quota.Limits(t.Cap)
		tenants = append(tenants, quota.Tenant{ID: t.ID, Cap: t.Cap})
	}
	if !c.used {
		return false
	}
	var pools []quota.Pool
	for _, p := range table.Pools {
		pools = append(pools, quota.Pool{ID: p.ID, Partition: int(shard.PartitionOf(p.ID, c.Service.Partitions))})
	}
	c.allocator.Configure(table.Version, tenants, pools)
	c.allocator.Withhold(c.Service.Config.Age() > c.Service.Config.ApplyWithin*9/10)
	return true
}

// round asks all partitions, decides, and sends what it has decided at once.
func (c *capAllocator) round(ctx context.Context) error {
	if err := c.exchange(ctx); err != nil {
		return err
	}
	changed := c.allocator.Rebalance()
	if ready := c.allocator.Ready(); ready != c.ready {
		c.ready = ready
		c.Logger.Info("whether an allocator of caps knows all partitions has changed", "slot", c.Slot, "epoch", c.Epoch, "ready", ready)
	}
	raised, lowered := c.allocator.Changed()
	capChanges.Add("raised", int64(raised))
	capChanges.Add("lowered", int64(lowered))
	if !changed {
		return nil
	}
	return c.exchange(ctx)
}

// exchange sends a request to each process that owns partitions, and handles the responses that come within capsWait.
func (c *capAllocator) exchange(ctx context.Context) error {
	if err := c.handleLate(); err != nil {
		return err
	}
	partitions := map[string][]plog.Partition{}
	for n := range max(c.Service.Partitions, 1) {
		p := plog.TopicPartition{Topic: shard.JobsTopic, Partition: plog.Partition(n)}
		addr := ""
		if c.Service.Member.Owner(p) == nil {
			if addr = c.Service.Owners.Address(p); addr == "" {
				c.allocator.NoteUnasked(n)
				continue
			}
		}
		partitions[addr] = append(partitions[addr], p.Partition)
	}
	for addr, list := range partitions {
		if c.pending[addr] {
			continue
		}
		req := capsRequest{Version: c.Service.Config.version()}
		for _, p := range list {
			req.Grants = append(req.Grants, capsGrant{p, c.allocator.Request(int(p))})
		}
		c.pending[addr] = true
		go c.call(ctx, addr, req)
	}
	wait, cancel := context.WithTimeout(ctx, capsWait)
	defer cancel()
	for len(c.pending) > 0 {
		select {
		case r := <-c.results:
			if err := c.handle(r); err != nil {
				return err
			}
		case <-wait.Done():
			return nil
		}
	}
	return nil
}

// handleLate handles the responses that have come since the last exchange, so that their processes are asked again now.
func (c *capAllocator) handleLate() error {
	for {
		select {
		case r := <-c.results:
			if err := c.handle(r); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// call sends one request.
func (c *capAllocator) call(ctx context.Context, addr string, req capsRequest) {
	callCtx, cancel := context.WithTimeout(ctx, capsTimeout)
	defer cancel()
	result := capsResult{addr: addr, err: errors.New("the request ended by a panic")}
	panics.Catch(c.Logger, "caps", func() {
		if addr == "" {
			result.response, result.err = c.Service.handleCaps(callCtx, req)
		} else {
			result.response, result.err = link.Call[capsResponse](callCtx, c.Service.PeerClient, addr, methodCaps, req)
		}
	})
	select {
	case c.results <- result:
	case <-ctx.Done():
	}
}

// handle handles the end of a request.
func (c *capAllocator) handle(r capsResult) error {
	delete(c.pending, r.addr)
	if r.err != nil {
		capRequests.Add("unanswered", 1)
		c.Service.Owners.RequestRefresh()
		return nil
	}
	capRequests.Add("answered", 1)
	c.Service.Config.noteVersion(r.response.Version)
	for i := range r.response.Reports {
		x := &r.response.Reports[i]
		if int(x.Partition) >= max(c.Service.Partitions, 1) || x.Partition < 0 {
			continue
		}
		if err := c.allocator.Handle(int(x.Partition), &x.Report); err != nil {
			return err
		}
	}
	return nil
}

// runAllocators runs the allocators of the slots that belong to a partition until its owner ends.
func (d *Daemon) runAllocators(owner *shard.Shard, epoch plog.Epoch) {
	select {
	case <-owner.Ready():
	case <-owner.Done():
		return
	}
	ctx, cancel := d.ownerContext(owner)
	defer cancel()
	var wg sync.WaitGroup
	for slot := range quota.Slots {
		if plog.Partition(slot%max(d.Settings.Log.Partitions, 1)) != owner.Partition {
			continue
		}
		wg.Go(func() {
			c := &capAllocator{Slot: quota.Slot(slot), Epoch: epoch, Service: d.service, MaySend: owner.MaySend, Clock: d.Clock, Logger: d.Logger}
			if !panics.Catch(d.Logger, "allocator of caps", func() { c.Run(ctx) }) {
				owner.Abandon() // another allocator needs a higher epoch
			}
		})
	}
	wg.Wait()
	<-owner.Done()
	capUses.record(owner.Partition, nil)
}

var (
	capChanges  = expvar.NewMap("cap_changes")  // allowances, by raised or lowered
	capRequests = expvar.NewMap("cap_requests") // by answered or unanswered
	capUses     = &capUseTable{}                // of all partitions of this process
)

func init() { expvar.Publish("cap_uses", expvar.Func(func() any { return capUses.nearest() })) }

// capUseTable holds what the pools of each partition have last recorded.
type capUseTable struct {
	mu   sync.Mutex
	uses map[plog.Partition][]jobs.CapUse
}

func (t *capUseTable) record(p plog.Partition, uses []jobs.CapUse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.uses == nil {
		t.uses = map[plog.Partition][]jobs.CapUse{}
	}
	if len(uses) == 0 {
		delete(t.uses, p)
		return
	}
	t.uses[p] = uses
}

// nearest returns the uses of at most shard.MaxCapUses tenants, those nearest to what they may hold.
func (t *capUseTable) nearest() []jobs.CapUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []jobs.CapUse{}
	for _, uses := range t.uses {
		all = append(all, uses...)
	}
	slices.SortFunc(all, jobs.CompareCapUses)
	return all[:min(len(all), shard.MaxCapUses)]
}

// recordCaps returns the function with which the owner of a partition records the uses of its pools.
func recordCaps(p plog.Partition) func([]jobs.CapUse) {
	return func(uses []jobs.CapUse) { capUses.record(p, uses) }
}
