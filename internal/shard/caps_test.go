package shard

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const testTenant work.TenantID = "tenant"

// testGrant returns a grant that allows the tenant an amount in the pool p.
func testGrant(epoch int64, seq, base uint64, allowed work.Millicores) quota.Grant {
	limit := quota.Limit{Allowed: work.Resources{CPU: allowed}, Cap: work.Resources{CPU: 10000}, Version: 1}
	return quota.Grant{
		Slot: quota.SlotOf(testTenant), Number: quota.Number{Epoch: epoch, Seq: seq}, Base: base, Full: true,
		Changes: []quota.Change{{Pool: "p", Tenant: testTenant, Limit: limit}},
	}
}

// allocate passes a grant to a shard, and returns what is allowed there then, and the newest durable grant.
func allocate(t *testing.T, s *Shard, g quota.Grant) (work.Millicores, quota.Number) {
	t.Helper()
	r, err := s.Allocate(t.Context(), g)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range r.Entries {
		if e.Tenant == testTenant {
			return e.Limit.Allowed.CPU, r.Stored
		}
	}
	return 0, r.Stored
}

func awaitStored(t *testing.T, s *Shard, g quota.Grant) {
	t.Helper()
	await(t, "the grant is stored", func() bool {
		_, stored := allocate(t, s, g)
		return stored == g.Number
	})
}

// Guards against a grant that is reported as stored while its write has no response, and against one that is lost when the
// log refuses a write.
func TestGrantIsStoredBeforeItIsReported(t *testing.T) {
	log := &fakes.Log{}
	var refuse, hold atomic.Bool
	held := make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	defer release()
	log.BeforeCall = func(call string, _ plog.TopicPartition) (bool, error) {
		switch {
		case call != "append":
		case hold.Load():
			<-held
		case refuse.Swap(false):
			return false, plog.ErrRefused
		}
		return true, nil
	}
	s := startShard(t, log, 1)
	refuse.Store(true)
	awaitStored(t, s, testGrant(1, 1, 0, 3000))
	hold.Store(true)
	second := testGrant(1, 2, 1, 2000)
	for range 5 {
		if allowed, stored := allocate(t, s, second); allowed != 2000 || stored.Seq != 1 {
			t.Fatalf("%d allowed, %v stored while the write has no response, want 2000 and number 1", allowed, stored)
		}
	}
	release()
	awaitStored(t, s, second)
}

// Guards against a next owner that begins without the allowances, against a late grant of a former allocator, and against a
// former owner whose grants count as stored.
func TestNextOwnerKnowsAllowances(t *testing.T) {
	log := &fakes.Log{}
	previous := startShard(t, log, 1)
	awaitStored(t, previous, testGrant(7, 4, 0, 3000))
	next := startShard(t, log, 2)
	for _, test := range []struct {
		name  string
		grant quota.Grant
		want  work.Millicores
	}{
		{"nothing new", quota.Grant{Slot: quota.SlotOf(testTenant), Full: true}, 3000},
		{"former allocator", testGrant(6, 9, 0, 9000), 3000},
		{"repeated grant", testGrant(7, 4, 0, 9000), 3000},
		{"earlier grant", testGrant(7, 3, 0, 9000), 3000},
		{"next grant", testGrant(7, 5, 4, 2000), 2000},
		{"next allocator", testGrant(8, 1, 0, 1000), 1000},
	} {
		if got, _ := allocate(t, next, test.grant); got != test.want {
			t.Errorf("%s: %d allowed, want %d", test.name, got, test.want)
		}
	}
	if r, err := previous.Allocate(t.Context(), testGrant(9, 1, 0, 9000)); err == nil && r.Stored.Epoch > 7 {
		t.Errorf("the previous owner reports %v as stored", r.Stored)
	}
}

// Guards against records of allowances that are taken for those of jobs, by this program or one that doesn't know their keys,
// and that are then removed.
func TestAllowancesAreNoJobs(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	awaitStored(t, s, testGrant(1, 1, 0, 3000))
	page, err := log.Newest(t.Context(), plog.TopicPartition{Topic: JobsTopic}, "")
	if err != nil {
		t.Fatal(err)
	}
	stored := jobs.Stored{}
	found := 0
	for _, r := range page.Records {
		if strings.HasPrefix(r.Key, "~caps") {
			found++
			if err := stored.Add(jobs.Entry(r)); err == nil {
				t.Errorf("record %q is decoded as that of a job", r.Key)
			}
		}
	}
	if found != 2 {
		t.Errorf("%d records of allowances, want one of the pool and one of the numbers", found)
	}
	if next := startShard(t, log, 2); len(next.undecoded) != 0 {
		t.Errorf("undecoded jobs %v after a takeover, want none", next.undecoded)
	}
}

// Guards against records in the log of a deployment without tenants.
func TestNoAllowancesAreStoredWithoutGrants(t *testing.T) {
	log := &fakes.Log{}
	s := startShard(t, log, 1)
	if err := s.Submit(t.Context(), testQueue, "0000000000000001", testSpec); err != nil {
		t.Fatal(err)
	}
	page, err := log.Newest(t.Context(), plog.TopicPartition{Topic: JobsTopic}, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		if quota.IsRecord(r.Key) {
			t.Errorf("record %q is stored", r.Key)
		}
	}
}

// Guards against a report whose digest of caps is not that of the owner's version, by which an allocator would raise limits
// while a pool plans by another cap.
func TestReportHasTheDigestOfCaps(t *testing.T) {
	slot := quota.SlotOf(testTenant)
	other := work.TenantID("")
	for n := 0; other == "" || quota.SlotOf(other) == slot; n++ {
		other = work.TenantID(strconv.Itoa(n))
	}
	var version atomic.Int64
	s := &Shard{
		Partitions: 1, Epoch: 1, Log: &fakes.Log{}, Targets: noTargets{}, Clock: clock.System(), Logger: hclog.NewNullLogger(),
		Queues: func() []work.Queue { return nil }, WallOffset: func() time.Duration { return 0 }, LastConfirmed: time.Now,
		Tenants: func() (int64, []work.Tenant) {
			v := version.Load()
			return v, []work.Tenant{{ID: other, Cap: work.Resources{CPU: 7}}, {ID: testTenant, Cap: work.Resources{CPU: work.Millicores(v)}}}
		},
	}
	s.Init(context.Background())
	go s.Run()
	t.Cleanup(s.Stop)
	<-s.Ready()
	for v := range int64(3) {
		version.Store(v + 1)
		r, err := s.Allocate(t.Context(), testGrant(1, uint64(v+1), 0, 100))
		if err != nil {
			t.Fatal(err)
		}
		if want := quota.CapsDigest(0, testTenant, work.Resources{CPU: work.Millicores(v + 1)}); r.Caps != want || r.Version != v+1 {
			t.Errorf("digest %d of version %d, want %d of version %d", r.Caps, r.Version, want, v+1)
		}
	}
}
