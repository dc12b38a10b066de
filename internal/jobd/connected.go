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
	// connectivityPeriod is how often a daemon checks whether it is connected.
	connectivityPeriod = 200 * time.Millisecond
	// connectivityTimeout is the time without a response from the log, or from enough owners, after which a daemon counts as
	// isolated. It is twice the time between two joins; the load balancer takes up to two seconds more to move clients.
	connectivityTimeout = 2 * group.JoinPeriod
	// maxConnectedAge is how old the last such response may be for the load balancer's check to rely on it: the time
	// between two joins and a round trip.
	maxConnectedAge = group.JoinPeriod + 50*time.Millisecond
	// pingTimeout bounds a ping of another daemon; it is many round trips between zones.
	pingTimeout = 200 * time.Millisecond
	// firstPingCount is the number of owners that are asked first; usually one of them reaches the log.
	firstPingCount = 2
)

// pingReply is the response to a ping.
type pingReply struct {
	SinceLogResponse time.Duration `cbor:"1,keyasint,omitempty"` // since the log last confirmed the membership of the daemon that answers
	Zone             ident.ZoneID  `cbor:"2,keyasint,omitempty"` // of the daemon that answers
}

// isConnected reports whether clients can be served in a zone as well as anywhere, given the replies of the owners to a
// ping: one of them reaches the log, or most of them reply and some do from other zones, which means that the log is out of
// reach for all daemons alike. A minority that doesn't reach the log may be isolated together with this daemon, and so may
// a majority in its own zone: while processes restart, the owners of one zone can be most of all.
func isConnected(zone ident.ZoneID, owners int, replies []pingReply) bool {
	if anyReachesLog(replies) {
		return true
	}
	elsewhere := slices.ContainsFunc(replies, func(r pingReply) bool { return r.Zone != zone })
	return 2*len(replies) > owners && (elsewhere || len(replies) == owners)
}

func anyReachesLog(replies []pingReply) bool {
	return slices.ContainsFunc(replies, func(r pingReply) bool { return r.SinceLogResponse <= connectivityTimeout })
}

func (s *Service) pingReply() pingReply {
	return pingReply{SinceLogResponse: s.Clock.Now().Sub(s.Member.ConfirmedAt()), Zone: s.Zone}
}

// Connected reports whether clients can be served here, as of the last check.
func (s *Service) Connected() bool { return !s.isolated.Load() }

// CheckConnected reports whether clients can be served here, and pings the owners if the last response is not recent. It
// is for the load balancer's check.
func (s *Service) CheckConnected(ctx context.Context) bool {
	return s.sinceConnected() <= maxConnectedAge || s.pingOwners(ctx)
}

// watchConnectivity keeps the result of [Service.Connected] up to date until ctx is done.
func (s *Service) watchConnectivity(ctx context.Context) {
	s.ownersReachedAt.Store(s.Clock.Now().UnixNano()) // assume a connection until connectivityTimeout has passed
	for ctx.Err() == nil {
		if s.sinceConnected() > connectivityTimeout/2 {
			s.pingOwners(ctx)
		}
		isolated := s.sinceConnected() > connectivityTimeout
		if isolated != s.isolated.Swap(isolated) {
			s.Logger.Warn("connectivity to the log and the other daemons has changed", "cut_off", isolated, "since_last_answer", s.sinceConnected())
		}
		_ = clock.Sleep(ctx, s.Clock, connectivityPeriod) // the loop checks the context
	}
}

// sinceConnected returns the time since the log confirmed the membership, or a ping of the owners showed that clients
// can be served here, whichever is later.
func (s *Service) sinceConnected() time.Duration {
	last := s.Member.ConfirmedAt()
	if t := time.Unix(0, s.ownersReachedAt.Load()); t.After(last) {
		last = t
	}
	return s.Clock.Now().Sub(last)
}

// pingOwners pings a few owners, and all others only if none of these reaches the log. It reports whether clients can
// be served here.
func (s *Service) pingOwners(ctx context.Context) bool {
	sent := s.Clock.Now()
	addrs := s.Owners.Addresses()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	first := min(len(addrs), firstPingCount)
	replies := s.ping(ctx, addrs[:first])
	if !anyReachesLog(replies) {
		replies = append(replies, s.ping(ctx, addrs[first:])...)
	}
	ok := isConnected(s.Zone, len(addrs), replies)
	if ok {
		s.ownersReachedAt.Store(sent.UnixNano())
	}
	return ok
}

// ping pings daemons, of which this one may be one, and returns the replies.
func (s *Service) ping(ctx context.Context, addrs []string) []pingReply {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []pingReply
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			reply := s.pingReply()
			if addr != s.PeerAddress {
				var err error
				if reply, err = link.Call[pingReply](ctx, s.PeerClient, addr, methodPing, struct{}{}); err != nil {
					return // the missing reply counts against the connection
				}
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}
