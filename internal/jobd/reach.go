package jobd

import (
	"context"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/link"
)

const (
	// reachPeriod is how often a process checks whether it is cut off.
	reachPeriod = 200 * time.Millisecond
	// reachLimit is how long neither the log nor another process may have answered. A
	// process that is cut off can't serve, and the balancer should know soon.
	reachLimit = 900 * time.Millisecond
	// pingTimeout bounds a ping of another process.
	pingTimeout = 400 * time.Millisecond
	// pingPeers is the number of processes that are pinged at a time.
	pingPeers = 2
)

// Connected reports whether the log or another process has answered lately.
func (s *Service) Connected() bool { return !s.cutOff.Load() }

// watchReach notices when this process is cut off from everything, and when that ends.
func (s *Service) watchReach(ctx context.Context) {
	s.reached.Store(s.Clock.Now().UnixNano()) // until it is known otherwise
	for ctx.Err() == nil {
		if s.sinceAnswer() > reachLimit/2 {
			s.pingOwners(ctx)
		}
		cut := s.sinceAnswer() > reachLimit
		if cut != s.cutOff.Swap(cut) {
			s.Logger.Warn("connection to the others has changed", "cut_off", cut, "since_last_answer", s.sinceAnswer())
		}
		_ = clock.Sleep(ctx, s.Clock, reachPeriod) // the loop checks the context
	}
}

// sinceAnswer returns how long ago the log or another process answered.
func (s *Service) sinceAnswer() time.Duration {
	last := s.Member.Confirmed()
	if r := time.Unix(0, s.reached.Load()); r.After(last) {
		last = r
	}
	return s.Clock.Now().Sub(last)
}

func (s *Service) pingOwners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var wg sync.WaitGroup
	n := 0
	for _, addr := range s.Owners.Addresses() {
		if addr == s.Self || n == pingPeers {
			continue
		}
		n++
		wg.Go(func() {
			if _, err := link.Call[struct{}](ctx, s.Links, addr, methodPing, struct{}{}); err == nil {
				s.reached.Store(s.Clock.Now().UnixNano())
			}
		})
	}
	wg.Wait()
}
