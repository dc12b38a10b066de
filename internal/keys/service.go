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
	tickPeriod   = 100 * time.Millisecond
	firstRetry   = 5 * time.Millisecond
	maxRetry     = 100 * time.Millisecond
	replyTimeout = 400 * time.Millisecond
)

// Service implements Claims over the links to other entries. Set its exported fields before Run.
type Service struct {
	Window   time.Duration // how long a key is remembered; DefaultWindow when 0
	MaxBytes ident.Bytes   // memory for keys; DefaultMaxBytes when 0
	MaxBody  ident.Bytes   // larger response bodies are not kept; DefaultMaxBody when 0
	Timeout  time.Duration // how long a home is asked again; DefaultTimeout when 0
	// FirstStart states that no entry of this fleet ran within the last window, so nothing can be forgotten.
	FirstStart bool
	// MembersKnown reports whether this process can know of the other entries; nil means yes.
	MembersKnown func() bool

	links peer.Transport
	clock clock.Clock

	mu      sync.Mutex
	table   *table
	number  uint64
	replies map[uint64]chan reply
}

var _ Claims = (*Service)(nil)

// New returns a service and registers it with links that do not run yet.
func New(links peer.Transport, c clock.Clock) *Service {
	s := &Service{links: links, clock: c, replies: map[uint64]chan reply{}}
	links.Handle(s.handle)
	links.OnView(s.onView)
	return s
}

// Run keeps the claims until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.onView(s.links.View())
	tick := s.clock.Every(tickPeriod, func() {
		s.event(func(t *table) []output { return t.tick(s.clock.Now()) })
	})
	<-ctx.Done()
	tick.Stop()
	return nil
}

func (s *Service) limits() limits {
	l := limits{window: s.Window, maxBytes: s.MaxBytes, maxAnswer: s.MaxBody}
	if l.window == 0 {
		l.window = DefaultWindow
	}
	if l.maxBytes == 0 {
		l.maxBytes = DefaultMaxBytes
	}
	if l.maxAnswer == 0 {
		l.maxAnswer = DefaultMaxBody
	}
	return l
}

// onView passes a view on. Under a new incarnation this process is another one: it knows nothing.
func (s *Service) onView(v *peer.View) {
	me := v.Members[s.links.Self()]
	s.mu.Lock()
	if s.table == nil || s.table.self.Incarnation != me.Incarnation {
		s.table = newTable(s.limits(), process{ID: me.ID, Incarnation: me.Incarnation, Zone: me.Zone}, s.clock.Now())
		if s.FirstStart {
			s.table.started = s.table.started.Add(-s.table.window)
		}
	}
	s.mu.Unlock()
	s.event(func(t *table) []output { return t.view(s.clock.Now(), v) })
}

func (s *Service) handle(from ident.EntryID, m wire.Message) {
	if r, ok := m.(reply); ok {
		s.mu.Lock()
		waiter := s.replies[r.Number]
		s.mu.Unlock()
		if waiter != nil {
			select {
			case waiter <- r:
			default: // a second response to a repeated ask
			}
		}
		return
	}
	s.event(func(t *table) []output { return t.message(s.clock.Now(), from, m) })
}

// event runs one event of the table and sends what it returns; a message that
// cannot be queued is lost, and the table repeats it.
func (s *Service) event(f func(*table) []output) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	for _, o := range f(s.table) {
		_ = s.links.Send(o.to, o.m)
	}
}

// Claim implements Claims.
func (s *Service) Claim(ctx context.Context, key ident.KeyID, print Fingerprint) (Claim, error) {
	if s.MembersKnown != nil && !s.MembersKnown() {
		return nil, fmt.Errorf("%w: the other entries are not known", ErrUnavailable)
	}
	var id [16]byte
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	c := &claim{service: s, key: key, print: print, id: claimID(hex.EncodeToString(id[:]))}
	r, err := s.ask(ctx, opClaim, c, nil)
	if err != nil {
		go s.abandon(context.WithoutCancel(ctx), c) // the home may have noted the claim
		return nil, err
	}
	switch r.Status {
	case statusOK:
		return c, nil
	case statusStored:
		c.stored = r.Answer
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
	_, _ = s.ask(ctx, opAbandon, c, nil) // the key stays claimed for the window if it fails
}

// ask repeats an operation until the key's home has answered it under the membership that both see, or until
// patience or ctx ends.
func (s *Service) ask(ctx context.Context, op operation, c *claim, a *Response) (reply, error) {
	patience := s.Timeout
	if patience == 0 {
		patience = DefaultTimeout
	}
	ctx, cancel := context.WithTimeoutCause(ctx, patience, ErrUnavailable)
	defer cancel()
	for pause := firstRetry; ; pause = min(2*pause, maxRetry) {
		r, ok := s.askOnce(ctx, op, c, a)
		if ok && r.Status != statusRetry {
			return r, nil
		}
		if err := clock.Sleep(ctx, s.clock, pause); err != nil {
			return reply{}, context.Cause(ctx)
		}
	}
}

func (s *Service) askOnce(ctx context.Context, op operation, c *claim, a *Response) (reply, bool) {
	s.links.View() // after a pause of this process the view is renewed first
	s.mu.Lock()
	t := s.table
	if t == nil {
		s.mu.Unlock()
		return reply{}, false
	}
	s.number++
	number := s.number
	waiter := make(chan reply, 1)
	s.replies[number] = waiter
	m := ask{
		Number: number, Digest: t.digest, Op: op, Key: c.key, Claim: c.id, Print: c.print,
		Incarnation: t.self.Incarnation, Answer: a,
	}
	err := s.links.Send(t.members.home(c.key).ID, m)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.replies, number)
		s.mu.Unlock()
	}()
	if err != nil {
		return reply{}, false
	}
	timeout := s.clock.AfterFunc(replyTimeout, func() {
		select {
		case waiter <- reply{Status: statusRetry}:
		default:
		}
	})
	defer timeout.Stop()
	select {
	case r := <-waiter:
		return r, true
	case <-ctx.Done():
		return reply{}, false
	}
}

// claim implements Claim.
type claim struct {
	service *Service
	key     ident.KeyID
	print   Fingerprint
	id      claimID
	stored  *Response
}

// Stored implements Claim.
func (c *claim) Stored() *Response { return c.stored }

// MarkSent implements Claim. A confirmation that took a large part of the window is
// not used: this process may have been paused, and the key may be forgotten soon.
func (c *claim) MarkSent(ctx context.Context) error {
	began := c.service.clock.Now()
	if err := c.do(ctx, opSent, nil); err != nil {
		return err
	}
	if c.service.clock.Now().Sub(began) > c.service.limits().window/2 {
		return ErrUnavailable
	}
	return nil
}

// Finish implements Claim.
func (c *claim) Finish(ctx context.Context, a *Response) error {
	if int64(len(a.Body)) > int64(c.service.limits().maxAnswer) {
		a = &Response{Status: a.Status, Header: a.Header, BodyDropped: true}
	}
	return c.do(ctx, opFinish, a)
}

// Abandon implements Claim.
func (c *claim) Abandon(ctx context.Context) error { return c.do(ctx, opAbandon, nil) }

func (c *claim) do(ctx context.Context, op operation, a *Response) error {
	r, err := c.service.ask(ctx, op, c, a)
	if err != nil {
		return err
	}
	if r.Status != statusOK {
		return ErrUnavailable
	}
	return nil
}

// KeyStatus tells where a key is kept and what is known of it here.
type KeyStatus struct {
	Home   ident.EntryID
	Proved bool // this entry is the home and can prove whether the key is in use
}

// KeyStatus returns the status of a key in the present view.
func (s *Service) KeyStatus(key ident.KeyID) KeyStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return KeyStatus{}
	}
	home := s.table.members.home(key)
	return KeyStatus{Home: home.ID, Proved: home == s.table.self && s.table.vouches(key)}
}
