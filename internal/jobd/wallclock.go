package jobd

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
)

const (
	// wallClockPeriod is the time between two rounds of requests to other daemons for their time.
	wallClockPeriod = 5 * time.Second
	// wallClockPeers is how many daemons are asked in a round. Wall clocks were seen to jump on under a third of the VMs at a time.
	wallClockPeers = 4
	// maxRoundTrip is the longest round trip for which the response is used.
	maxRoundTrip = 200 * time.Millisecond
)

// wallClock estimates the error of the wall clock time that this process read at its start, by comparison with what
// other daemons read at theirs. Any reading may have been taken while the wall clock had jumped, so the median is used.
type wallClock struct {
	mu      sync.Mutex
	offsets map[string]time.Duration // by peer address
}

// Offset returns the duration to add to the time of the process's clock.
func (w *wallClock) Offset() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := []time.Duration{0}
	for _, d := range w.offsets {
		all = append(all, d)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (w *wallClock) addSample(peer string, offset time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.offsets == nil {
		w.offsets = map[string]time.Duration{}
	}
	w.offsets[peer] = offset
}

// clockReading is the response to methodTime.
type clockReading struct {
	Now int64 `cbor:"1,keyasint"` // Unix nanoseconds of the process's clock
}

// watchWallClock samples the clocks of other daemons until ctx is done.
func (s *Service) watchWallClock(ctx context.Context) {
	for ctx.Err() == nil {
		peers := slices.DeleteFunc(s.Owners.Addresses(), func(addr string) bool { return addr == s.PeerAddress })
		for _, addr := range peers[:min(len(peers), wallClockPeers)] {
			s.sampleWallClock(ctx, addr)
		}
		_ = clock.Sleep(ctx, s.Clock, wallClockPeriod) // the loop checks the context
	}
}

func (s *Service) sampleWallClock(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := s.Clock.Now()
	r, err := link.Call[clockReading](ctx, s.PeerClient, addr, methodTime, struct{}{})
	roundTrip := s.Clock.Now().Sub(sent)
	if err != nil || roundTrip > maxRoundTrip {
		s.Logger.Debug("no usable time from another daemon", "peer", addr, "trip", roundTrip, "error", err)
		return
	}
	s.wallClock.addSample(addr, time.Unix(0, r.Now).Sub(sent.Add(roundTrip/2)))
}
