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
	// wallPeriod is how often other processes are asked for their time.
	wallPeriod = 5 * time.Second
	// wallPeers is how many are asked; jumps are seen on under a third of the VMs at a time.
	wallPeers = 4
	// maxTrip is the longest exchange whose answer is used.
	maxTrip = 200 * time.Millisecond
)

// wallClock estimates how far the wall clock that this process read at its start is off, from
// what other processes read at theirs. Each reading may have been taken
// during a jump, so the median decides.
type wallClock struct {
	mu      sync.Mutex
	offsets map[string]time.Duration // by peer address
}

// Offset returns what has to be added to the process's clock.
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

func (w *wallClock) sample(peer string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.offsets == nil {
		w.offsets = map[string]time.Duration{}
	}
	w.offsets[peer] = d
}

// clockReading is the answer to a question for the time.
type clockReading struct {
	Now int64 `cbor:"1,keyasint"` // Unix nanoseconds of the process's clock
}

// watchWall keeps the estimate until ctx is done.
func (s *Service) watchWall(ctx context.Context) {
	for ctx.Err() == nil {
		for i, addr := range s.Owners.Addresses() {
			if addr == s.PeerAddress || i > wallPeers {
				continue
			}
			s.askTime(ctx, addr)
		}
		_ = clock.Sleep(ctx, s.Clock, wallPeriod) // the loop checks the context
	}
}

func (s *Service) askTime(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := s.Clock.Now()
	r, err := link.Call[clockReading](ctx, s.PeerClient, addr, methodTime, struct{}{})
	trip := s.Clock.Now().Sub(sent)
	if err != nil || trip > maxTrip {
		s.Logger.Debug("no time from another process", "peer", addr, "trip", trip, "error", err)
		return
	}
	s.wall.sample(addr, time.Unix(0, r.Now).Sub(sent.Add(trip/2)))
}
