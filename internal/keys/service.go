package keys

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Defaults of a Service.
const (
	DefaultWindow   = 10 * time.Minute
	DefaultMaxBytes = 16 * ident.MiB
	DefaultMaxBody  = 64 * ident.KiB
	DefaultTimeout  = 2 * time.Second
)

const (
	tickPeriod      = 100 * time.Millisecond
	firstRetryPause = 5 * time.Millisecond   // between two attempts of an operation; it doubles with each attempt
	maxRetryPause   = 100 * time.Millisecond // upper limit of that pause
	replyTimeout    = 400 * time.Millisecond // of one attempt
)

// Service implements Claims over the links to other entries. Set its exported fields before Run.
type Service struct {
	Window   time.Duration // how long a key is remembered; DefaultWindow when 0
	MaxBytes ident.Bytes   // memory for keys; DefaultMaxBytes when 0
	MaxBody  ident.Bytes   // larger response bodies are not kept; DefaultMaxBody when 0
	Timeout  time.Duration // of an operation including all its attempts; DefaultTimeout when 0
	// FirstStart states that no entry of this fleet ran within the last window, so there are no claims to recover.
	FirstStart bool
	// MembersKnown reports whether this process can know of the other entries; nil means that it can.
	MembersKnown func() bool

	links peer.Links
	clock clock.Clock

	mu         sync.Mutex
	table      *table
	lastNumber uint64                  // of an opRequest
	replies    map[uint64]chan opReply // of the opRequests that wait for a reply, by number
}

var _ Claims = (*Service)(nil)

// New returns a service and registers it with the links, which must not run yet.
func New(links peer.Links, c clock.Clock) *Service {
	s := &Service{links: links, clock: c, replies: map[uint64]chan opReply{}}
	links.Handle(s.handle)
	links.OnView(s.handleView)
	return s
}

// Run serves until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.handleView(s.links.View())
	tick := s.clock.Every(tickPeriod, func() {
		s.handleEvent(func(t *table) []output { return t.tick(s.clock.Now()) })
	})
	<-ctx.Done()
	tick.Stop()
	return nil
}

// limits returns the limits of the table, with defaults applied.
func (s *Service) limits() limits {
	l := limits{window: s.Window, maxBytes: s.MaxBytes, maxBody: s.MaxBody}
	if l.window == 0 {
		l.window = DefaultWindow
	}
	if l.maxBytes == 0 {
		l.maxBytes = DefaultMaxBytes
	}
	if l.maxBody == 0 {
		l.maxBody = DefaultMaxBody
	}
	return l
}

// handleView passes a view to the table. Under a new incarnation this process counts as a new one and starts with an empty
// table.
func (s *Service) handleView(v *peer.View) {
	me := v.Members[s.links.Self()]
	s.mu.Lock()
	if s.table == nil || s.table.self.Incarnation != me.Incarnation {
		s.table = newTable(s.limits(), process{ID: me.ID, Incarnation: me.Incarnation, Zone: me.Zone}, s.clock.Now())
		if s.FirstStart {
			s.table.started = s.table.started.Add(-s.table.window)
		}
	}
	s.mu.Unlock()
	s.handleEvent(func(t *table) []output { return t.handleView(s.clock.Now(), v) })
}

func (s *Service) handle(from ident.EntryID, m wire.Message) {
	if r, ok := m.(opReply); ok {
		s.mu.Lock()
		waiter := s.replies[r.Number]
		s.mu.Unlock()
		if waiter != nil {
			select {
			case waiter <- r:
			default: // a second reply to the same request
			}
		}
		return
	}
	s.handleEvent(func(t *table) []output { return t.handleMessage(s.clock.Now(), from, m) })
}

// handleEvent calls f with the table and sends the messages that it returns. A message that cannot be queued is lost, and
// the table repeats it.
func (s *Service) handleEvent(f func(*table) []output) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	for _, o := range f(s.table) {
		_ = s.links.Send(o.to, o.msg)
	}
}

// Claim implements Claims.
func (s *Service) Claim(ctx context.Context, key ident.KeyID, fingerprint Fingerprint) (Claim, error) {
	if s.MembersKnown != nil && !s.MembersKnown() {
		return nil, fmt.Errorf("%w: the other entries are not known", ErrUnavailable)
	}
	var id [16]byte
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	c := &claim{service: s, key: key, fingerprint: fingerprint, id: claimID(hex.EncodeToString(id[:]))}
	r, err := s.call(ctx, opClaim, c, nil)
	if err != nil {
		go s.abandon(context.WithoutCancel(ctx), c) // the home may have stored the claim
		return nil, err
	}
	switch r.Status {
	case statusOK:
		return c, nil
	case statusStored:
		c.stored = r.Response
		return c, nil
	case statusInUse:
		return nil, ErrInUse
	case statusMismatch:
		return nil, ErrMismatch
	case statusUncertain:
		return nil, ErrUncertain
	case statusFull:
		return nil, fmt.Errorf("%w: the memory for keys is used up", ErrUnavailable)
	default:
		return nil, ErrUnavailable
	}
}

func (s *Service) abandon(ctx context.Context, c *claim) {
	_, _ = s.call(ctx, opAbandon, c, nil) // if it fails, the key stays claimed for the window
}

// call repeats an operation until the key's home has replied to it under the membership that both see, or until the
// timeout has passed or ctx is done.
func (s *Service) call(ctx context.Context, op operation, c *claim, resp *Response) (opReply, error) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, ErrUnavailable)
	defer cancel()
	for pause := firstRetryPause; ; pause = min(2*pause, maxRetryPause) {
		r, ok := s.callOnce(ctx, op, c, resp)
		if ok && r.Status != statusRetry {
			return r, nil
		}
		if err := clock.Sleep(ctx, s.clock, pause); err != nil {
			return opReply{}, context.Cause(ctx)
		}
	}
}

// callOnce sends an operation to the key's home and waits for the reply; it returns false if there is none.
func (s *Service) callOnce(ctx context.Context, op operation, c *claim, resp *Response) (opReply, bool) {
	s.links.View() // renews the view if this process was paused
	s.mu.Lock()
	t := s.table
	if t == nil {
		s.mu.Unlock()
		return opReply{}, false
	}
	s.lastNumber++
	number := s.lastNumber
	waiter := make(chan opReply, 1)
	s.replies[number] = waiter
	m := opRequest{
		Number: number, Digest: t.digest, Operation: op, Key: c.key, ClaimID: c.id, Fingerprint: c.fingerprint,
		Incarnation: t.self.Incarnation, Response: resp,
	}
	err := s.links.Send(t.members.home(c.key).ID, m)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.replies, number)
		s.mu.Unlock()
	}()
	if err != nil {
		return opReply{}, false
	}
	timeout := s.clock.AfterFunc(replyTimeout, func() {
		select {
		case waiter <- opReply{Status: statusRetry}:
		default:
		}
	})
	defer timeout.Stop()
	select {
	case r := <-waiter:
		return r, true
	case <-ctx.Done():
		return opReply{}, false
	}
}

// claim implements Claim.
type claim struct {
	service     *Service
	key         ident.KeyID
	fingerprint Fingerprint
	id          claimID
	stored      *Response
}

// Stored implements Claim.
func (c *claim) Stored() *Response { return c.stored }

// MarkSent implements Claim. It returns an error if the confirmation took more than half of the window, since this process
// may have been paused and the home may soon remove the key.
func (c *claim) MarkSent(ctx context.Context) error {
	start := c.service.clock.Now()
	if err := c.do(ctx, opSent, nil); err != nil {
		return err
	}
	if c.service.clock.Now().Sub(start) > c.service.limits().window/2 {
		return ErrUnavailable
	}
	return nil
}

// Finish implements Claim.
func (c *claim) Finish(ctx context.Context, resp *Response) error {
	if int64(len(resp.Body)) > int64(c.service.limits().maxBody) {
		resp = &Response{Status: resp.Status, Header: resp.Header, BodyDropped: true}
	}
	return c.do(ctx, opFinish, resp)
}

// Abandon implements Claim.
func (c *claim) Abandon(ctx context.Context) error { return c.do(ctx, opAbandon, nil) }

func (c *claim) do(ctx context.Context, op operation, resp *Response) error {
	r, err := c.service.call(ctx, op, c, resp)
	if err != nil {
		return err
	}
	if r.Status != statusOK {
		return ErrUnavailable
	}
	return nil
}

// KeyStatus describes a key as this entry sees it.
type KeyStatus struct {
	Home   ident.EntryID
	Proved bool // this entry is the key's home and can prove that it knows every claim of the key
}

// KeyStatus returns the status of a key in the present view.
func (s *Service) KeyStatus(key ident.KeyID) KeyStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return KeyStatus{}
	}
	home := s.table.members.home(key)
	return KeyStatus{Home: home.ID, Proved: home == s.table.self && s.table.canProve(key)}
}
