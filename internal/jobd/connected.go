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
	pingTimeout = 200 * time.Millisecond
	// firstPings is the number of owners that are asked first; as a rule one of them hears from the log.
	firstPings = 2
)

// standing is what a process says of itself in answer to a ping.
type standing struct {
	SinceLog time.Duration `cbor:"1,keyasint,omitempty"` // since the log last answered it
}

// serves reports whether clients can be served here as well as anywhere, by what the owners answered: one of them
// hears from the log, or most of them answer, so that it is the log that is out of reach, for all alike. A few that
// don't hear from the log may be cut off together with this process.
func serves(owners int, answers []standing) bool {
	return hearsLog(answers) || 2*len(answers) > owners
}

func hearsLog(answers []standing) bool {
	return slices.ContainsFunc(answers, func(a standing) bool { return a.SinceLog <= reachLimit })
}

func (s *Service) standing() standing {
	return standing{SinceLog: s.Clock.Now().Sub(s.Member.ConfirmedAt())}
}

// Connected reports whether something has lately shown that clients can be served here.
func (s *Service) Connected() bool { return !s.cutOff.Load() }

// CheckConnected finds out whether clients can be served here, for the balancer's check.
func (s *Service) CheckConnected(ctx context.Context) bool {
	return s.sinceAnswer() <= freshAnswer || s.pingOwners(ctx)
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
	last := s.Member.ConfirmedAt()
	if r := time.Unix(0, s.reached.Load()); r.After(last) {
		last = r
	}
	return s.Clock.Now().Sub(last)
}

// pingOwners asks a few owners, and all others only if none of these hears from the log. It reports whether clients can be served here.
func (s *Service) pingOwners(ctx context.Context) bool {
	sent := s.Clock.Now()
	addrs := s.Owners.Addresses()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	few := min(len(addrs), firstPings)
	answers := s.ping(ctx, addrs[:few])
	if !hearsLog(answers) {
		answers = append(answers, s.ping(ctx, addrs[few:])...)
	}
	ok := serves(len(addrs), answers)
	if ok {
		s.reached.Store(sent.UnixNano())
	}
	return ok
}

// ping asks processes, perhaps this one among them, and returns what those that answer say.
func (s *Service) ping(ctx context.Context, addrs []string) []standing {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []standing
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			answer := s.standing()
			if addr != s.PeerAddress {
				var err error
				if answer, err = link.Call[standing](ctx, s.PeerClient, addr, methodPing, struct{}{}); err != nil {
					return // silence speaks for itself
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	wg.Wait()
	return answers
}
