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

// FleetTopic holds the intents of machine orders and how far the waves are.
const FleetTopic plog.Topic = "fleet"

const (
	writerName   = "steer"
	writeTimeout = time.Second
	writePause   = 50 * time.Millisecond
	// maxSkew is how far apart two VMs' wall times may be, each corrected by the median of several VMs.
	maxSkew       = time.Second
	machinePrefix = "machine/"
	wavePrefix    = "wave/"
)

// encodeMode keeps the fractions of seconds, which the library's default drops.
var encodeMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// store keeps what a successor has to know. It is used by one round at a time.
type store struct {
	log    plog.Log
	epoch  plog.Epoch
	clock  clock.Clock
	logger hclog.Logger
	// wallOffset is what to add to clock's time for the wall time.
	wallOffset func() time.Duration

	seq    map[plog.TopicPartition]int64
	mu     sync.Mutex
	waves  map[int64]*waveState
	orders map[work.MachineID]intent // of former holders
	loaded time.Time                 // when orders was read
}

// intent is the last order that a holder was about to give for a VM.
type intent struct {
	At    time.Time  `cbor:"1,keyasint"` // wall time
	Token work.Fence `cbor:"2,keyasint"`
}

// waveState is how far a wave is.
type waveState struct {
	Started   time.Time        `cbor:"1,keyasint"` // wall time when it was first seen
	Begun     []work.MachineID `cbor:"2,keyasint,omitempty"`
	Completed bool             `cbor:"3,keyasint,omitempty"`
	Published bool             `cbor:"-"` // its status has been written by this holder
	Dirty     bool             `cbor:"-"`
}

func (w *waveState) has(id work.MachineID) bool { return slices.Contains(w.Begun, id) }

func position() plog.TopicPartition { return plog.TopicPartition{Topic: FleetTopic} }

// load fences former holders and reads what they left.
func (s *store) load(ctx context.Context) error {
	s.seq = map[plog.TopicPartition]int64{}
	s.waves, s.orders = map[int64]*waveState{}, map[work.MachineID]intent{}
	if err := s.append(ctx, position(), nil); err != nil {
		return err
	}
	after := ""
	for {
		page, err := s.log.Newest(ctx, position(), after)
		if err != nil {
			if clock.Sleep(ctx, s.clock, writePause) != nil {
				return err
			}
			continue
		}
		for _, r := range page.Records {
			after = r.Key
			s.read(r)
		}
		if !page.More {
			s.loaded = s.clock.Now()
			return nil
		}
	}
}

func (s *store) read(r plog.Record) {
	if id, ok := strings.CutPrefix(r.Key, machinePrefix); ok {
		var i intent
		if err := cbor.Unmarshal(r.Value, &i); err != nil {
			s.logger.Error("intent can't be read", "key", r.Key, "error", err)
			return
		}
		s.orders[work.MachineID(id)] = i
	}
	if id, ok := strings.CutPrefix(r.Key, wavePrefix); ok {
		n, err := strconv.ParseInt(id, 10, 64)
		w := &waveState{}
		if err = errors.CombineErrors(err, cbor.Unmarshal(r.Value, w)); err != nil {
			s.logger.Error("state of a wave can't be read", "key", r.Key, "error", err)
			return
		}
		s.waves[n] = w
	}
}

// append writes records, repeating the same write until the log has answered.
func (s *store) append(ctx context.Context, to plog.TopicPartition, records []plog.Record) error {
	s.seq[to]++
	for {
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		err := s.log.Append(call, to, plog.Writer{Name: writerName, Epoch: s.epoch, Seq: s.seq[to]}, records)
		cancel()
		if err == nil || errors.Is(err, plog.ErrFenced) || ctx.Err() != nil {
			return err
		}
		var seq *plog.SeqError
		if errors.As(err, &seq) {
			return err
		}
		if clock.Sleep(ctx, s.clock, writePause) != nil {
			return err
		}
	}
}

// intend stores what is about to be ordered.
func (s *store) intend(ctx context.Context, orders []ready) error {
	if len(orders) == 0 {
		return nil
	}
	value, err := encodeMode.Marshal(intent{At: s.clock.Now().Add(s.wallOffset()), Token: work.Fence(s.epoch)})
	if err != nil {
		return err
	}
	var records []plog.Record
	for _, o := range orders {
		records = append(records, plog.Record{Key: machinePrefix + string(o.machine), Value: value})
	}
	return s.append(ctx, position(), records)
}

// leasedUntil returns until when a VM is left to a former holder. The time of its intent is another VM's wall time; the wait
// is never longer than the lease from when it was read.
func (s *store) leasedUntil(id work.MachineID, lease time.Duration) time.Time {
	i, ok := s.orders[id]
	if !ok {
		return time.Time{}
	}
	until := i.At.Add(-s.wallOffset()).Add(lease + maxSkew)
	if all := s.loaded.Add(lease); until.After(all) {
		return all
	}
	return until
}

// wave returns the state of a wave, beginning it if it is new.
func (s *store) wave(now time.Time, id int64) *waveState {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waves[id]
	if w == nil {
		w = &waveState{Started: now}
		s.waves[id] = w
	}
	return w
}

// since returns how long a wave has been known.
func (s *store) since(now time.Time, id int64) time.Duration {
	return now.Sub(s.wave(now, id).Started)
}

// begun notes that the upkeep of a VM has begun.
func (s *store) begun(wave int64, id work.MachineID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waves[wave]; w != nil && !w.has(id) {
		w.Begun = append(w.Begun, id)
		w.Dirty = true
	}
}

// saveWave stores the state of a wave.
func (s *store) saveWave(ctx context.Context, id int64) error {
	s.mu.Lock()
	w := s.waves[id]
	value, err := encodeMode.Marshal(w)
	w.Dirty = false
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.append(ctx, position(), []plog.Record{{Key: wavePrefix + strconv.FormatInt(id, 10), Value: value}})
}
