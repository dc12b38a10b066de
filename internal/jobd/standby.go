package jobd

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// entriesTopic holds a [vmRecord] of each daemon, keyed by its peer address.
const entriesTopic plog.Topic = "entries"

const (
	// strongFactor is how many times this VM's processor capacity another VM must have to count as stronger.
	strongFactor = 2
	// minStronger is how many stronger daemons must answer for this one to stand by, so that the loss of one of them
	// doesn't leave the partitions without an owner.
	minStronger = 3
	// standbyPeriod is the time between two checks for stronger daemons.
	standbyPeriod = 2500 * time.Millisecond
	// unownedChecks is how many consecutive checks must find partitions without an owner before a daemon that stands by
	// looks for stronger ones again.
	unownedChecks  = 2
	standbyTimeout = time.Second
	// startupWait is how long a weaker daemon waits at its start for stronger ones that are announced but don't answer
	// yet: after the loss of all daemons they start within a second of each other.
	startupWait = 1500 * time.Millisecond
	// startupPause is the time between two checks for them.
	startupPause = 150 * time.Millisecond
	// ownersValidity is for how long after a read of the owners those count as running. They are read every
	// ownersReadPeriod.
	ownersValidity = 2 * ownersReadPeriod
)

// standby decides whether this daemon stands by, that is, leaves the partitions to daemons on stronger VMs. It is needed
// because the group assigns partitions to all members alike, and says nothing of members without a partition.
type standby struct {
	Log         plog.Log
	PeerAddress string // of this daemon
	CPU         work.Millicores
	PeerClient  *link.Client
	Owners      *ownerTable
	Partitions  int // that must have an owner
	Clock       clock.Clock
	Logger      hclog.Logger

	on           atomic.Bool
	unownedCount int      // consecutive checks that found partitions without an owner
	stronger     []string // addresses of the announced stronger daemons, as last read, whether they answer or not
	strongerRead bool     // stronger has been read
}

// vmRecord describes the VM of a daemon.
type vmRecord struct {
	CPU work.Millicores `cbor:"1,keyasint"`
}

// On reports whether this daemon stands by at present.
func (s *standby) On() bool { return s.on.Load() }

// Run announces this daemon and checks for stronger ones until ctx is done.
func (s *standby) Run(ctx context.Context) {
	if s.CPU == 0 {
		return
	}
	announced := false
	for ctx.Err() == nil {
		if !announced {
			err := s.announce(ctx)
			announced = err == nil
			if err != nil {
				s.Logger.Info("cannot announce this VM; retrying", "error", err)
			}
		}
		s.check(ctx)
		_ = clock.Sleep(ctx, s.Clock, standbyPeriod) // the loop checks the context
	}
}

// announce appends the record of this daemon's VM to the log.
func (s *standby) announce(ctx context.Context) error {
	value, err := cbor.Marshal(vmRecord{CPU: s.CPU})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	to := plog.TopicPartition{Topic: entriesTopic}
	return s.Log.Append(ctx, to, plog.Writer{}, []plog.Record{{Key: s.PeerAddress, Value: value}})
}

// check decides anew whether to stand by: if at least minStronger of the announced stronger daemons own partitions or
// answer. A daemon that stands by continues to do so while all partitions have an owner. The result is false if the
// announced VMs have never been read.
func (s *standby) check(ctx context.Context) bool {
	if s.CPU == 0 {
		return true // the capacity of this VM is not known
	}
	if s.on.Load() {
		if s.Owners.Count() >= s.Partitions {
			s.unownedCount = 0
			return true
		}
		if s.unownedCount++; s.unownedCount < unownedChecks {
			return true
		}
	}
	if peers, err := s.strongerPeers(ctx); err == nil {
		s.stronger, s.strongerRead = peers, true
	} else {
		s.Logger.Info("cannot read the announced VMs", "error", err, "known", len(s.stronger))
	}
	if !s.strongerRead {
		return false
	}
	owning, rest := s.splitOwners(s.stronger)
	running := len(owning)
	if running < minStronger {
		running += s.countAnswering(ctx, rest)
	}
	on := running >= minStronger
	if on != s.on.Swap(on) {
		s.Logger.Info("standby changed", "on", on, "stronger", running, "owning", len(owning), "cpu", s.CPU)
	}
	s.unownedCount = 0
	return true
}

// awaitStronger repeats the check until enough stronger daemons own partitions or answer, or they have had startupWait to
// do so, so that a weaker daemon doesn't join the group only to leave it. While the log can't be reached it goes on waiting,
// which delays nothing: joining needs the log as well.
func (s *standby) awaitStronger(ctx context.Context) {
	var readAt time.Time
	for {
		if s.check(ctx) && s.Owners.HasRead() && readAt.IsZero() {
			readAt = s.Clock.Now()
		}
		if s.CPU == 0 || s.on.Load() || !readAt.IsZero() && (len(s.stronger) < minStronger || s.Clock.Now().Sub(readAt) >= startupWait) {
			return
		}
		if clock.Sleep(ctx, s.Clock, startupPause) != nil {
			return
		}
	}
}

// strongerPeers returns the addresses of the announced daemons on stronger VMs, whether they answer or not.
func (s *standby) strongerPeers(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	var peers []string
	after := ""
	for {
		page, err := s.Log.Newest(ctx, plog.TopicPartition{Topic: entriesTopic}, after)
		if err != nil {
			return nil, errors.Wrap(err, "read the announced VMs")
		}
		for _, r := range page.Records {
			after = r.Key
			var vm vmRecord
			if err := cbor.Unmarshal(r.Value, &vm); err != nil {
				s.Logger.Warn("cannot decode the record of a VM", "key", r.Key, "error", err)
				continue
			}
			if vm.CPU >= strongFactor*s.CPU {
				peers = append(peers, r.Key)
			}
		}
		if !page.More {
			return peers, nil
		}
	}
}

// splitOwners returns which of the peers own partitions, as the log has said recently, and the others. The log takes the
// partitions of a daemon away that it doesn't hear, however busy this one is.
func (s *standby) splitOwners(peers []string) (owning, rest []string) {
	owners := s.Owners.AddressesSince(s.Clock.Now().Add(-ownersValidity))
	for _, addr := range peers {
		if slices.Contains(owners, addr) {
			owning = append(owning, addr)
		} else {
			rest = append(rest, addr)
		}
	}
	return owning, rest
}

// countAnswering counts the peers that answer a ping.
func (s *standby) countAnswering(ctx context.Context, peers []string) int {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var n atomic.Int32
	var wg sync.WaitGroup
	for _, addr := range peers {
		wg.Go(func() {
			if _, err := link.Call[struct{}](ctx, s.PeerClient, addr, methodPing, struct{}{}); err == nil {
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return int(n.Load())
}
