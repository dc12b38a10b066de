package jobd

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

// holdersFailLog is a log whose Holders call always fails.
type holdersFailLog struct{ plog.Log }

func (holdersFailLog) Holders(context.Context, string) ([]plog.Holder, error) {
	return nil, plog.ErrNoResponse
}

// Guards against a daemon that can't reach the log and keeps forwarding requests to a previous owner. A pool had
// moved to another daemon, and clients got 249 responses with status 503 in 12 s (deployment grown of deploy/regression,
// scenario scale-2).
func TestOwnersAreReadFromPeers(t *testing.T) {
	part := plog.TopicPartition{Topic: "jobs", Partition: 2}
	snapshot := func(owner string, age time.Duration) ownerSnapshot {
		return ownerSnapshot{Age: age, Entries: []ownerEntry{{Topic: part.Topic, Partition: part.Partition, Address: owner}}}
	}
	stale, recent := startPeer(t, snapshot("previous", time.Minute)), startPeer(t, snapshot("current", time.Second))
	o := &ownerTable{
		Log:        holdersFailLog{},
		PeerClient: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(), refresh: make(chan struct{}, 1),
		readAt:      time.Now().Add(-10 * time.Second),
		byPartition: map[plog.TopicPartition]string{part: "previous", {Partition: 0}: stale, {Partition: 1}: recent},
	}
	go o.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); o.Address(part) != "current"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("owner %q, want \"current\", which the peer with the newer table names", o.Address(part))
		}
	}
	o.askPeers(t.Context())
	if got, want := o.Address(part), "current"; got != want {
		t.Errorf("owner %q after another round of responses, a stale one among them; want %q", got, want)
	}
}

// noHoldersLog is a log whose partitions have lost their holders, and which then rejects the calls of this process.
type noHoldersLog struct {
	plog.Log
	calls atomic.Int32
}

func (l *noHoldersLog) Holders(context.Context, string) ([]plog.Holder, error) {
	if l.calls.Add(1) == 1 {
		return nil, nil
	}
	return nil, plog.ErrRefused
}

// Guards against a daemon that asks nobody any more after the log has taken all partitions away for a moment.
func TestOwnersAreReadFromFormerOwners(t *testing.T) {
	part := plog.TopicPartition{Topic: "jobs", Partition: 2}
	former := startPeer(t, ownerSnapshot{Entries: []ownerEntry{{Topic: part.Topic, Partition: part.Partition, Address: "current"}}})
	log := &noHoldersLog{}
	o := &ownerTable{Log: log, PeerClient: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(), refresh: make(chan struct{}, 1)}
	o.replaceIfNewer(time.Now(), map[plog.TopicPartition]string{part: former})
	go o.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); o.Address(part) != "current"; time.Sleep(10 * time.Millisecond) {
		o.RequestRefresh()
		if time.Now().After(end) {
			t.Fatalf("owner %q after %d reads of the log, want \"current\", which a former owner names", o.Address(part), log.calls.Load())
		}
	}
}
