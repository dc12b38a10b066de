package jobd

import (
	"context"
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

// entriesTopic holds what each process says of its VM, under its peer address.
const entriesTopic plog.Topic = "entries"

const (
	// strongFactor is how many times our processor another VM must have for us to stand by.
	strongFactor = 2
	// minStrong processes have to answer, so that the loss of one doesn't leave the partitions without an owner.
	minStrong = 3
	// standbyPeriod is how often a process looks for stronger ones.
	standbyPeriod = 2500 * time.Millisecond
	// unheldChecks is how many checks in a row have to find partitions without a holder for a process to stop standing by.
	unheldChecks   = 2
	standbyTimeout = time.Second
	// startWait is how long a weak process that starts waits for stronger ones that are entered but don't answer
	// yet: after the loss of all processes they start within a second of each other.
	startWait = 1500 * time.Millisecond
	// startPause is the time between two looks for them.
	startPause = 150 * time.Millisecond
)

// standby decides whether this process leaves the partitions to stronger VMs.
// The group deals partitions to all members alike, and tells only who holds one.
type standby struct {
	Log    plog.Log
	Self   string // peer address
	CPU    work.Millicores
	Links  *link.Client
	Owners *owners
	Parts  int // partitions that have to be held by somebody
	Clock  clock.Clock
	Logger hclog.Logger

	on      atomic.Bool
	unheld  int
	entered int // stronger processes, whether they answer or not
}

// entry is what a process says of its VM.
type entry struct {
	CPU work.Millicores `cbor:"1,keyasint"`
}

// On reports whether to own nothing at present.
func (s *standby) On() bool { return s.on.Load() }

// Run announces this process and looks for stronger ones until ctx is done.
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
				s.Logger.Info("this process can't be announced", "error", err)
			}
		}
		s.check(ctx)
		_ = clock.Sleep(ctx, s.Clock, standbyPeriod) // the loop checks the context
	}
}

func (s *standby) announce(ctx context.Context) error {
	value, err := cbor.Marshal(entry{CPU: s.CPU})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	to := plog.TopicPartition{Topic: entriesTopic}
	return s.Log.Append(ctx, to, plog.Writer{}, []plog.Record{{Key: s.Self, Value: value}})
}

// check counts the stronger processes that answer, and reports whether it could read which there are. While standing
// by, it is enough that all partitions are held.
func (s *standby) check(ctx context.Context) bool {
	if s.CPU == 0 {
		return true // it isn't known how strong this VM is
	}
	if s.on.Load() {
		if s.Owners.Held() >= s.Parts {
			s.unheld = 0
			return true
		}
		if s.unheld++; s.unheld < unheldChecks {
			return true
		}
	}
	peers, err := s.stronger(ctx)
	if err != nil {
		s.Logger.Info("the other processes can't be read", "error", err)
		return false
	}
	s.entered = len(peers)
	strong := s.answering(ctx, peers)
	on := strong >= minStrong
	if on != s.on.Swap(on) {
		s.Logger.Info("standby has changed", "on", on, "stronger", strong, "cpu", s.CPU)
	}
	s.unheld = 0
	return true
}

// await checks until enough of the stronger processes answer, or they have had startWait to do so, so that a weak
// process doesn't join the group only to leave it. Where the log is out of reach, joining has to wait anyway.
func (s *standby) await(ctx context.Context) {
	var read time.Time
	for {
		if s.check(ctx) && read.IsZero() {
			read = s.Clock.Now()
		}
		if s.CPU == 0 || !read.IsZero() && (s.on.Load() || s.entered < minStrong || s.Clock.Now().Sub(read) >= startWait) {
			return
		}
		if clock.Sleep(ctx, s.Clock, startPause) != nil {
			return
		}
	}
}

// stronger returns the addresses of the processes on much stronger VMs, whether they answer or not.
func (s *standby) stronger(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	var peers []string
	after := ""
	for {
		page, err := s.Log.Newest(ctx, plog.TopicPartition{Topic: entriesTopic}, after)
		if err != nil {
			return nil, errors.Wrap(err, "processes")
		}
		for _, r := range page.Records {
			after = r.Key
			var e entry
			if err := cbor.Unmarshal(r.Value, &e); err != nil {
				s.Logger.Warn("a process can't be read", "key", r.Key, "error", err)
				continue
			}
			if e.CPU >= strongFactor*s.CPU {
				peers = append(peers, r.Key)
			}
		}
		if !page.More {
			return peers, nil
		}
	}
}

// answering counts the peers that answer a ping.
func (s *standby) answering(ctx context.Context, peers []string) int {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var n atomic.Int32
	var wg sync.WaitGroup
	for _, addr := range peers {
		wg.Go(func() {
			if _, err := link.Call[struct{}](ctx, s.Links, addr, methodPing, struct{}{}); err == nil {
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return int(n.Load())
}
