package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const testKey = "a key of the tests"

type note struct {
	wire.MessageBase
	N int `cbor:"n"`
}

func init() { wire.Register[note]("test_note") }

// skewClock is the system clock plus a skew. A sudden increase of the skew looks like a pause of the process.
type skewClock struct {
	clock.Clock
	mu   sync.Mutex
	skew time.Duration
}

func (c *skewClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Add(c.skew)
}

type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

type testNode struct {
	*Node
	log   *logBuffer
	clock *skewClock
	got   chan int
	stop  context.CancelFunc
	done  chan struct{}
}

// startNode runs a node; seeds are addresses of other nodes.
func startNode(t *testing.T, id ident.EntryID, l net.Listener, change func(*Node), seeds ...string) *testNode {
	t.Helper()
	c := &skewClock{Clock: clock.System()}
	n := &testNode{Node: NewNode(id, "kg-a", c), log: &logBuffer{}, clock: c, got: make(chan int, 2*maxQueue), done: make(chan struct{})}
	n.Key, n.Seeds = testKey, seeds
	n.Listener, n.Address = l, l.Addr().String() // tests dial before Run has begun
	n.Logger = hclog.New(&hclog.LoggerOptions{Output: n.log, Level: hclog.Debug})
	n.Handle(func(_ ident.EntryID, m wire.Message) {
		if m, ok := m.(note); ok {
			n.got <- m.N
		}
	})
	if change != nil {
		change(n.Node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { defer close(n.done); _ = n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-n.done
		if t.Failed() {
			t.Logf("log of %s:\n%s", id, n.log)
		}
	})
	return n
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func (n *testNode) sees(id ident.EntryID, s State) func() bool {
	return func() bool { return n.View().Members[id].State == s }
}

// Guards against entries that cannot find each other without the platform, messages out of order, and an ended
// process that is not seen as gone or whose next incarnation is not accepted.
func TestLinksWithoutPlatform(t *testing.T) {
	la, lb, lc := listenLocal(t), listenLocal(t), listenLocal(t)
	a := startNode(t, "a", la, nil)
	b := startNode(t, "b", lb, nil, la.Addr().String())
	c := startNode(t, "c", lc, nil, la.Addr().String()) // learns b's address from a
	waitFor(t, "links", func() bool {
		return a.sees("b", Up)() && a.sees("c", Up)() && b.sees("c", Up)() && c.sees("b", Up)() && b.sees("a", Up)()
	})
	const count = 1000
	for i := range count {
		if err := b.Send("c", note{N: i}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range count {
		if got := <-c.got; got != i {
			t.Fatalf("message %d arrived as number %d", got, i)
		}
	}
	b.stop()
	<-b.done
	waitFor(t, "b to be gone", func() bool { return a.sees("b", Gone)() && c.sees("b", Gone)() })
	l, err := net.Listen("tcp", lb.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	startNode(t, "b", l, nil)
	waitFor(t, "the new b", func() bool { return a.sees("b", Up)() && c.sees("b", Up)() })
}

// Guards against messages that are lost or reordered when both sides dial at the same time and the second
// link replaces the first: message 7 arrived as number 0.
func TestReplacedLinkKeepsMessages(t *testing.T) {
	la, lb := listenLocal(t), listenLocal(t)
	a := startNode(t, "a", la, nil)
	b := startNode(t, "b", lb, nil, la.Addr().String())
	waitFor(t, "links", func() bool { return a.sees("b", Up)() && b.sees("a", Up)() })
	const count, replaced = 2000, 20
	go func() {
		for range replaced {
			time.Sleep(time.Millisecond)
			if s, err := a.dialLink(t.Context(), lb.Addr().String()); err == nil {
				a.startDialed(s)
			}
		}
	}()
	for i := range count {
		if err := a.Send("b", note{N: i}); err != nil {
			t.Fatal(err)
		}
		if err := b.Send("a", note{N: i}); err != nil {
			t.Fatal(err)
		}
		if i%20 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for _, n := range []*testNode{a, b} {
		for i := range count {
			if got := <-n.got; got != i {
				t.Fatalf("%s: message %d arrived as number %d", n.ID, got, i)
			}
		}
	}
}

// Guards against the loss of messages on a link that was accepted before the link that wins against it.
func TestLosingLinkDeliversItsMessages(t *testing.T) {
	lb, lc := listenLocal(t), listenLocal(t)
	b, c := startNode(t, "b", lb, nil), startNode(t, "c", lc, nil)
	endDial := c.beginDial(lb.Addr().String())
	losing, err := c.dialLink(t.Context(), lb.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "b to accept the link", b.sees("c", Up))
	const count = 100
	send := func(from, to int) {
		for i := from; i < to; i++ {
			if err := b.Send("c", note{N: i}); err != nil {
				t.Fatal(err)
			}
		}
	}
	send(0, count/2)
	winning, err := b.dialLink(t.Context(), lc.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b.startDialed(winning)
	send(count/2, count)
	time.Sleep(20 * time.Millisecond) // the messages on the winning link have arrived
	c.startDialed(losing)
	endDial()
	for i := range count {
		select {
		case got := <-c.got:
			if got != i {
				t.Fatalf("message %d arrived as number %d", got, i)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("message %d did not arrive", i)
		}
	}
}

// Guards against accepting a wrong key, and against logging each refusal.
func TestWrongKey(t *testing.T) {
	la := listenLocal(t)
	a := startNode(t, "a", la, nil)
	b := startNode(t, "b", listenLocal(t), func(n *Node) { n.Key = "another key" }, la.Addr().String())
	refused := "reason=wrong_key"
	waitFor(t, "refusals", func() bool {
		return strings.Count(b.log.String(), "peer handshake")+strings.Count(b.log.String(), refused) > 0
	})
	waitFor(t, "three attempts", func() bool { return b.seedTries(la.Addr().String()) >= 3 })
	for _, n := range []*testNode{a, b} {
		if got := strings.Count(n.log.String(), refused); got != 1 {
			t.Errorf("%s logged the refusal %d times, want once", n.ID, got)
		}
		if got := len(n.View().Members); got != 1 {
			t.Errorf("%s has %d members, want only itself", n.ID, got)
		}
	}
}

// seedTries returns the number of failed attempts to dial a seed, derived from the backoff, which doubles with each one.
func (n *testNode) seedTries(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	tries := 0
	for b := minBackoff; n.seeds[address].backoff >= b; b *= 2 {
		tries++
	}
	return tries
}

// Guards against a link that stops carrying data without an error and is not detected or replaced.
func TestSilentLinkIsReplaced(t *testing.T) {
	la, lb := listenLocal(t), listenLocal(t)
	toA, addressA := startRelay(t, la)
	toB, addressB := startRelay(t, lb)
	platform := fakes.NewPlatform()
	platform.SetVM(plat.ListedVM{ID: "b", Zone: "kg-b", Kind: plat.KindEntry, Address: addressB})
	srv := httptest.NewServer(platform.Handler())
	defer srv.Close()
	list := (&plat.Client{BaseURL: srv.URL}).List
	a := startNode(t, "a", la, func(n *Node) { n.List, n.Address = list, addressA })
	b := startNode(t, "b", lb, nil)
	waitFor(t, "the link", func() bool { return a.sees("b", Up)() && b.sees("a", Up)() })
	toA.SetMode(fakes.RelayDropAll)
	toB.SetMode(fakes.RelayDropAll)
	waitFor(t, "both entries to be silent", func() bool { return a.sees("b", Silent)() && b.sees("a", Silent)() })
	toA.SetMode(fakes.RelayPass)
	toB.SetMode(fakes.RelayPass)
	waitFor(t, "a new link", func() bool { return a.sees("b", Up)() && b.sees("a", Up)() })
	if err := a.Send("b", note{N: 7}); err != nil {
		t.Fatal(err)
	}
	if got := <-b.got; got != 7 {
		t.Errorf("b got %d, want 7", got)
	}
}

func startRelay(t *testing.T, upstream net.Listener) (*fakes.Relay, string) {
	t.Helper()
	relay := &fakes.Relay{Upstream: upstream.Addr().String()}
	relay.SetMode(fakes.RelayPass)
	l := listenLocal(t)
	t.Cleanup(func() { l.Close() })
	go func() { _ = relay.Serve(l) }()
	return relay, l.Addr().String()
}

// Guards against a process that acts on its outdated view after a pause.
func TestPauseMakesViewStale(t *testing.T) {
	la := listenLocal(t)
	a := startNode(t, "a", la, nil)
	b := startNode(t, "b", listenLocal(t), nil, la.Addr().String())
	waitFor(t, "the link", func() bool { return a.sees("b", Up)() && b.sees("a", Up)() })
	a.clock.mu.Lock()
	a.clock.skew = 10 * time.Second
	a.clock.mu.Unlock()
	if got := a.View().Members["b"].State; got != Silent {
		t.Errorf("after a pause b is %s, want %s", got, Silent)
	}
	waitFor(t, "a new link", func() bool { return a.sees("b", Up)() && b.sees("a", Up)() })
}

// Guards against a sender that blocks, or a queue that grows without limit, if the other side does not receive.
func TestQueueIsBounded(t *testing.T) {
	s := newSessionForTest()
	var err error
	for i := 0; err == nil && i <= maxQueue; i++ {
		err = s.push([]byte(fmt.Sprint(i)))
	}
	if !errors.Is(err, ErrQueueFull) {
		t.Errorf("push to a full queue = %v, want %v", err, ErrQueueFull)
	}
}

func newSessionForTest() *session {
	return &session{messageQueue: newMessageQueue(), done: make(chan struct{})}
}
