package jobd

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
)

// silentLog tells nobody who holds the partitions.
type silentLog struct{ plog.Log }

func (silentLog) Holders(context.Context, string) ([]plog.Holder, error) {
	return nil, plog.ErrNoAnswer
}

// Guards against a process that the log doesn't answer and that goes on passing requests to a former owner
// (umurimo-hatch-grown scale-2: 249 answers 503 in 12 s, as the pool had passed to another process).
func TestOwnersAreLearnedFromPeers(t *testing.T) {
	part := plog.TopicPartition{Topic: "jobs", Partition: 2}
	table := func(owner string, age time.Duration) holdings {
		return holdings{Age: age, Holdings: []holding{{Topic: part.Topic, Partition: part.Partition, Address: owner}}}
	}
	stale, fresh := neighbor(t, table("former", time.Minute)), neighbor(t, table("present", time.Second))
	o := &owners{
		Log:   silentLog{},
		Links: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(), wake: make(chan struct{}, 1),
		readAt: time.Now().Add(-10 * time.Second),
		byPart: map[plog.TopicPartition]string{part: "former", {Partition: 0}: stale, {Partition: 1}: fresh},
	}
	go o.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); o.Address(part) != "present"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("owner %q, want the one that a process with a newer view names", o.Address(part))
		}
	}
	o.relay(t.Context())
	if got, want := o.Address(part), "present"; got != want {
		t.Errorf("owner %q after a stale answer, want %q", got, want)
	}
}
