package ctrl

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// FleetTopic holds the intents of VM commands and the progress of the waves.
const FleetTopic plog.Topic = "fleet"

const (
	// writerName names the fleet controller as a writer to the log.
	writerName = "steer"
	// writePause is the time until a refused write is repeated.
	writePause = 50 * time.Millisecond
	// maxSkew is the largest difference between the wall times of two VMs, each corrected by the median of several VMs.
	maxSkew    = time.Second
	vmPrefix   = "machine/"
	wavePrefix = "wave/"
)

// encodeMode encodes times with fractions of seconds, which the library drops by default.
var encodeMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// store holds the durable state, which the next controller reads. Only one round uses it at a time.
type store struct {
	log    plog.Log
	epoch  plog.Epoch
	clock  clock.Clock
	logger hclog.Logger
	// wallOffset returns what to add to clock's time to get the wall time.
	wallOffset func() time.Duration

	seq     map[plog.TopicPartition]int64
	mu      sync.Mutex
	waves   map[int64]*waveState
	intents map[work.VMID]intent // of previous controllers
	loaded  time.Time            // when intents was read
}

// intent announces a command for a VM before it is sent. The newest one of each VM is kept.
type intent struct {
	At    time.Time  `cbor:"1,keyasint"` // wall time
	Token work.Fence `cbor:"2,keyasint"`
}

// waveState is the progress of a wave.
type waveState struct {
	Started   time.Time   `cbor:"1,keyasint"` // wall time at which the wave was first seen
	Begun     []work.VMID `cbor:"2,keyasint,omitempty"`
	Completed bool        `cbor:"3,keyasint,omitempty"`
	Published bool        `cbor:"-"` // this controller has written its status
	Changed   bool        `cbor:"-"`
}

// has reports whether the maintenance of a VM has begun.
func (w *waveState) has(id work.VMID) bool { return slices.Contains(w.Begun, id) }

func fleetPartition() plog.TopicPartition { return plog.TopicPartition{Topic: FleetTopic} }

// load fences previous controllers and reads the state that they stored.
func (s *store) load(ctx context.Context) error {
	s.seq = map[plog.TopicPartition]int64{}
	s.waves, s.intents = map[int64]*waveState{}, map[work.VMID]intent{}
	if err := s.append(ctx, fleetPartition(), nil); err != nil {
		return err
	}
	after := ""
	for {
		page, err := s.log.Newest(ctx, fleetPartition(), after)
		if err != nil {
			if clock.Sleep(ctx, s.clock, writePause) != nil {
				return err
			}
			continue
		}
		for _, r := range page.Records {
			after = r.Key
			s.restore(r)
		}
		if !page.More {
			s.loaded = s.clock.Now()
			return nil
		}
	}
}

func (s *store) restore(r plog.Record) {
	if id, ok := strings.CutPrefix(r.Key, vmPrefix); ok {
		var i intent
		if err := cbor.Unmarshal(r.Value, &i); err != nil {
			s.logger.Error("cannot decode intent of a command", "key", r.Key, "error", err)
			return
		}
		s.intents[work.VMID(id)] = i
	}
	if id, ok := strings.CutPrefix(r.Key, wavePrefix); ok {
		n, err := strconv.ParseInt(id, 10, 64)
		w := &waveState{}
		if err = errors.CombineErrors(err, cbor.Unmarshal(r.Value, w)); err != nil {
			s.logger.Error("cannot decode state of a wave", "key", r.Key, "error", err)
			return
		}
		s.waves[n] = w
	}
}

// append writes records. It repeats the same write until the log has confirmed it, this writer is fenced, or ctx is done.
func (s *store) append(ctx context.Context, to plog.TopicPartition, records []plog.Record) error {
	s.seq[to]++
	appender := plog.Appender{Log: s.log, Clock: s.clock, Logger: s.logger}
	for {
		err := appender.Append(ctx, to, plog.Writer{Name: writerName, Epoch: s.epoch, Seq: s.seq[to]}, records, false)
		if !errors.Is(err, plog.ErrRefused) || clock.Sleep(ctx, s.clock, writePause) != nil {
			return err
		}
	}
}

// storeIntents stores the intents of commands that are about to be sent.
func (s *store) storeIntents(ctx context.Context, commands []command) error {
	if len(commands) == 0 {
		return nil
	}
	value, err := encodeMode.Marshal(intent{At: s.clock.Now().Add(s.wallOffset()), Token: work.Fence(s.epoch)})
	if err != nil {
		return err
	}
	var records []plog.Record
	for _, c := range commands {
		records = append(records, plog.Record{Key: vmPrefix + string(c.vm), Value: value})
	}
	return s.append(ctx, fleetPartition(), records)
}

// leaseEnd returns until when a VM is left alone because of an intent of a previous controller. The time of the intent is
// the wall time of another VM, so the lease counts at the latest from when the intent was read.
func (s *store) leaseEnd(id work.VMID, lease time.Duration) time.Time {
	i, ok := s.intents[id]
	if !ok {
		return time.Time{}
	}
	until := i.At.Add(-s.wallOffset()).Add(lease + maxSkew)
	if latest := s.loaded.Add(lease); until.After(latest) {
		return latest
	}
	return until
}

// wave returns the state of a wave, which it creates if the wave is new.
func (s *store) wave(now time.Time, id int64) *waveState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.waves[id]
	if state == nil {
		state = &waveState{Started: now}
		s.waves[id] = state
	}
	return state
}

// age returns how long a wave has been known.
func (s *store) age(now time.Time, id int64) time.Duration {
	return now.Sub(s.wave(now, id).Started)
}

// addBegun records that the maintenance of a VM has begun.
func (s *store) addBegun(wave int64, id work.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waves[wave]; w != nil && !w.has(id) {
		w.Begun = append(w.Begun, id)
		w.Changed = true
	}
}

// saveWave stores the state of a wave.
func (s *store) saveWave(ctx context.Context, id int64) error {
	s.mu.Lock()
	w := s.waves[id]
	value, err := encodeMode.Marshal(w)
	w.Changed = false
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.append(ctx, fleetPartition(), []plog.Record{{Key: wavePrefix + strconv.FormatInt(id, 10), Value: value}})
}
