package jobd

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	capPartitions                = 4
	capTestTenant  work.TenantID = "tenant"
	capTestCap                   = 10_000
	capTestVersion               = 1
)

type noTargets struct{}

func (noTargets) Client(work.Registration) agent.Client     { return nil }
func (noTargets) Snapshot(ident.PoolID) []work.Registration { return nil }
func (noTargets) Newest(work.VMID) lookup.NewestTarget      { return lookup.NewestTarget{} }
func (noTargets) WaitSynced(context.Context)                {}

// capProcess is a process with owners of partitions and allocators, and without targets.
type capProcess struct {
	*Daemon
	stop context.CancelFunc
	done chan struct{}
}

// startCapProcess starts a process on a log. A tenant with a cap is configured.
func startCapProcess(t *testing.T, log *fakes.Log, pools []ident.PoolID) *capProcess {
	t.Helper()
	d := &Daemon{Settings: &Settings{}, Platform: &Platform{Log: log}, Clock: clock.System(), Logger: hclog.NewNullLogger()}
	d.Settings.Log.Partitions = capPartitions
	d.Settings.PeerAddress = local.Addr()
	d.activeSettings.Store(d.Settings)
	peerClient := &link.Client{}
	d.owners = &ownerTable{Log: log, Group: "g", PeerAddress: d.Settings.PeerAddress, PeerClient: peerClient, Clock: d.Clock, Logger: d.Logger, refresh: make(chan struct{}, 1)}
	d.member = &group.Member{
		Log: log, Group: "g", ID: newMemberID(d.Settings.PeerAddress, time.Now()), Topics: []plog.Topic{shard.JobsTopic}, TTL: time.Second, Clock: d.Clock, Logger: d.Logger,
		StartOwner: func(p plog.TopicPartition, epoch plog.Epoch) group.Owner {
			s := &shard.Shard{
				Partition: p.Partition, Partitions: capPartitions, Epoch: epoch, Log: log, Targets: noTargets{}, Clock: d.Clock, Logger: d.Logger,
				Queues: d.queues, Tenants: d.tenants, WallOffset: func() time.Duration { return 0 }, LastConfirmed: time.Now,
			}
			s.Init(d.ctx)
			go s.Run()
			go d.runAllocators(s, epoch)
			return s
		},
	}
	d.member.Init()
	c := newTestConfigurationWithin(log, time.Minute)
	c.Platform.DecodeConfig = func(value []byte) (*work.Config, error) {
		version, err := strconv.ParseInt(string(value), 10, 64)
		config := &work.Config{Version: version, Tenants: []work.Tenant{{ID: capTestTenant, Keys: []work.KeyDigest{capTestKey}, Cap: work.Resources{CPU: capTestCap}}}}
		for _, id := range pools {
			config.Pools = append(config.Pools, work.PoolConfig{ID: id})
		}
		return config, err
	}
	c.applyConfig([]byte(strconv.Itoa(capTestVersion)), sourceLog)
	c.published.version = capTestVersion
	c.confirm(time.Now())
	d.service = &Service{Partitions: capPartitions, PeerAddress: d.Settings.PeerAddress, Member: d.member, Owners: d.owners, Config: c, PeerClient: peerClient, Clock: d.Clock, Logger: d.Logger}
	ctx, stop := context.WithCancel(context.Background())
	d.ctx = ctx
	l, err := link.Listen(ctx, d.Settings.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Listener: l, Handler: d.service.HandlePeerRequest, Logger: d.Logger}
	go func() { _ = server.Run(ctx) }() // ends with the process
	p := &capProcess{Daemon: d, stop: stop, done: make(chan struct{})}
	go d.owners.Run(ctx)
	go func() {
		defer close(p.done)
		d.member.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-p.done
	})
	return p
}

var capTestKey = work.DigestKey("key of the tenant")

// allowed returns what the tenant may hold in a pool, as its owner among the processes says.
func allowed(ctx context.Context, pool ident.PoolID, processes ...*capProcess) (work.Millicores, error) {
	for _, p := range processes {
		sh, ok := p.member.Owner(p.service.partitionOf(pool)).(*shard.Shard)
		if !ok || p.ctx.Err() != nil {
			continue
		}
		r, err := sh.Allocate(ctx, quota.Grant{Slot: quota.SlotOf(capTestTenant), Full: true}) // its number is below all others
		if err != nil {
			return 0, err
		}
		for _, e := range r.Entries {
			if e.Pool == pool {
				return e.Limit.Allowed.CPU, nil
			}
		}
		return 0, nil
	}
	return 0, fmt.Errorf("pool %s has no owner", pool)
}

// Guards against allowances that don't reach pools of other processes, that exceed the cap, and that are lost or can't change
// any more after the process of an allocator and a pool is lost.
func TestCapIsSharedAcrossProcesses(t *testing.T) {
	log := &fakes.Log{Partitions: capPartitions}
	pools := []ident.PoolID{"a"}
	for n := 0; len(pools) < 2; n++ { // in the partitions of two processes
		if id := ident.PoolID(fmt.Sprint("b", n)); shard.PartitionOf(id, capPartitions)%2 != shard.PartitionOf("a", capPartitions)%2 {
			pools = append(pools, id)
		}
	}
	first, second := startCapProcess(t, log, pools), startCapProcess(t, log, pools)
	all := []*capProcess{first, second}
	ctx := t.Context()
	submit := func(pool ident.PoolID, id work.JobID, cpu work.Millicores) {
		spec := &work.Spec{Tenant: capTestTenant, Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: cpu}, Service: true}}}
		req := request{Job: id, Queue: work.Queue{ID: "q", Pool: pool, MaxAttempts: 2, SlackFactor: 2, Objective: time.Second}, Spec: spec, Access: work.AccessTenant, Tenant: capTestTenant, Key: &capTestKey}
		for _, p := range all {
			if p.ctx.Err() == nil {
				if r, _ := p.service.callOwner(ctx, methodSubmit, req); r.Outcome != outcomeOK {
					t.Fatalf("submit to %s: %s", pool, r.Outcome)
				}
				return
			}
		}
	}
	await := func(what string, pool ident.PoolID, least work.Millicores) {
		t.Helper()
		var got work.Millicores
		for range 1000 {
			sum, known := work.Millicores(0), 0
			for _, id := range pools {
				n, err := allowed(ctx, id, all...)
				if err != nil {
					continue
				}
				known++
				sum += n
				if id == pool {
					got = n
				}
			}
			if known == len(pools) && sum > capTestCap {
				t.Fatalf("%s: %d allowed in total, cap %d", what, sum, capTestCap)
			}
			if got >= least {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%s: %d allowed in %s after 10 s, want at least %d", what, got, pool, least)
	}
	owned := func() bool {
		n := 0
		for _, p := range all {
			for partition := range plog.Partition(capPartitions) {
				if p.member.Owner(plog.TopicPartition{Topic: shard.JobsTopic, Partition: partition}) != nil {
					n++
				}
			}
		}
		return n == capPartitions && first.member.OwnsAny() && second.member.OwnsAny()
	}
	for range 500 {
		if owned() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !owned() {
		t.Fatal("the partitions have no owners in both processes")
	}
	submit(pools[0], "0000000000000001", 6000)
	await("first pool", pools[0], 6000)
	submit(pools[1], "0000000000000002", 3500)
	await("second pool", pools[1], 3500)

	lost := first // with the tenant's allocator
	if second.member.Owner(plog.TopicPartition{Topic: shard.JobsTopic, Partition: plog.Partition(quota.SlotOf(capTestTenant))}) != nil {
		lost = second
	}
	lost.stop()
	<-lost.done
	submit(pools[1], "0000000000000003", 500)
	await("second pool after the loss of a process", pools[1], 4000)
	await("first pool after the loss of a process", pools[0], 5000)
}

// Guards against a tenant that can't start tasks in a pool while versions of the configuration follow each other so closely
// that the process of its allocator is always behind another one: its own version may still be in force.
func TestAllocatorThatIsBehindRaisesLimits(t *testing.T) {
	const pool = ident.PoolID("a")
	p := startCapProcess(t, &fakes.Log{Partitions: capPartitions}, []ident.PoolID{pool})
	p.service.Config.noteVersion(capTestVersion + 1)
	for range 500 {
		if got, err := allowed(t.Context(), pool, p); err == nil && got > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("nothing is allowed after 5 s, want a part of the cap")
}

// Guards against limits by a configuration that may not be in force any more.
func TestAllocatorWithholdsRaisesByAnOldConfiguration(t *testing.T) {
	const pool = ident.PoolID("a")
	p := startCapProcess(t, &fakes.Log{Partitions: capPartitions}, []ident.PoolID{pool})
	c := &capAllocator{Slot: quota.SlotOf(capTestTenant), Service: p.service, Clock: p.Clock, Logger: p.Logger}
	c.allocator = quota.Allocator{Slot: c.Slot, Epoch: 1, Partitions: capPartitions}
	c.allocator.Init()
	s := *p.service.Config.current.Load()
	for _, test := range []struct {
		age  time.Duration
		want bool
	}{{0, false}, {p.service.Config.ApplyWithin, true}} {
		s.confirmedAt = time.Now().Add(-test.age)
		aged := s
		p.service.Config.current.Store(&aged)
		c.configure()
		if got := c.allocator.Withheld(); got != test.want {
			t.Errorf("age %v: raises withheld %v, want %v", test.age, got, test.want)
		}
	}
}

// Guards against a process that is asked in every other exchange only, since its last response came after the end of the
// exchange before.
func TestLateResponseDoesNotDelayTheNextRequest(t *testing.T) {
	p := startCapProcess(t, &fakes.Log{Partitions: capPartitions}, nil)
	first := plog.TopicPartition{Topic: shard.JobsTopic}
	for range 500 {
		if p.member.Owner(first) != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if p.member.Owner(first) == nil {
		t.Fatal("the partition has no owner")
	}
	c := &capAllocator{Slot: quota.SlotOf(capTestTenant), Service: p.service, Clock: p.Clock, Logger: p.Logger}
	c.allocator = quota.Allocator{Slot: c.Slot, Epoch: 1, Partitions: capPartitions}
	c.allocator.Init()
	c.pending, c.results = map[string]bool{"": true}, make(chan capsResult)
	go func() { c.results <- capsResult{} }()
	time.Sleep(50 * time.Millisecond) // the late response waits by then
	_ = c.exchange(t.Context())       // the owner may know of a later allocator
	if round := c.allocator.Request(0).Round; round != 2 {
		t.Errorf("the next request has round %d, want 2", round)
	}
}
