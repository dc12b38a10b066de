package jobd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// reachPeriod is how often a process checks whether it is cut off.
	reachPeriod = 200 * time.Millisecond
	// reachLimit is how long nothing may have shown that clients can be served. It is twice
	// the time between two joins; the balancer takes up to two seconds more to move clients.
	reachLimit = 2 * group.JoinPeriod
	// freshAnswer is how old the last sign may be for the balancer's check to rely on it: one join, and its way.
	freshAnswer = group.JoinPeriod + 50*time.Millisecond
	// pingTimeout bounds a ping of another process; it is many round trips between zones.
	pingTimeout = 250 * time.Millisecond
	// pingPeers is the number of processes that are pinged at a time.
	pingPeers = 3
)

// standing is what a process says of itself in answer to a ping.
type standing struct {
	Zone     ident.ZoneID  `cbor:"1,keyasint,omitempty"`
	SinceLog time.Duration `cbor:"2,keyasint,omitempty"` // since the log last answered it
}

// proves reports whether the answer of another process shows that this one is
// not cut off. A process of the same zone that doesn't hear from the log may be
// cut off as well. One of another zone shows that it is the log that is out of
// reach, for all alike, so that no other process could serve clients better.
func (s *Service) proves(other standing) bool {
	return other.SinceLog <= reachLimit || other.Zone != s.Zone || s.Zones < 2
}

func (s *Service) standing() standing {
	return standing{Zone: s.Zone, SinceLog: s.Clock.Now().Sub(s.Member.Confirmed())}
}

// Connected reports whether the log, or a process that is not cut off itself, has answered lately.
func (s *Service) Connected() bool { return !s.cutOff.Load() }

// Reachable finds out whether clients can be served here, for the balancer's check.
func (s *Service) Reachable(ctx context.Context) bool {
	if s.sinceAnswer() > freshAnswer {
		s.pingOwners(ctx)
	}
	return s.sinceAnswer() <= freshAnswer+pingTimeout
}

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

// sinceAnswer returns how long ago something last showed that clients can be served here.
func (s *Service) sinceAnswer() time.Duration {
	last := s.Member.Confirmed()
	if r := time.Unix(0, s.reached.Load()); r.After(last) {
		last = r
	}
	return s.Clock.Now().Sub(last)
}

// pingOwners asks some owners, chosen at random so that all zones are asked in a few rounds.
func (s *Service) pingOwners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	addrs := slices.DeleteFunc(s.Owners.Addresses(), func(addr string) bool { return addr == s.Self })
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	var wg sync.WaitGroup
	for _, addr := range addrs[:min(len(addrs), pingPeers)] {
		wg.Go(func() {
			sent := s.Clock.Now()
			other, err := link.Call[standing](ctx, s.Links, addr, methodPing, struct{}{})
			if err == nil && s.proves(other) {
				s.reached.Store(sent.UnixNano())
			}
		})
	}
	wg.Wait()
}
