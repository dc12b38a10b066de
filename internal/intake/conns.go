package intake

import (
	"sync"
	"time"
)

// ConnState is what a connection is doing.
type ConnState string

// The states of a connection.
const (
	Fresh   ConnState = "fresh"   // no request has arrived on it
	Reading ConnState = "reading" // the body of a request is being received
	Idle    ConnState = "idle"    // between requests
	Busy    ConnState = "busy"    // a request is being handled
	// Responding is the state while a response is being written.
	Responding ConnState = "responding"
)

const (
	// freshAfter is how long a connection may be without a request before it is closed for another one. The header of an
	// ordinary request follows its connection at once.
	freshAfter = 250 * time.Millisecond
	// busyAfter is how long a body may be received, or a response be written, before the connection is closed for another
	// one. Ordinary ones take less on a slow link that others share.
	busyAfter = time.Second
	// idleAfter is how long a connection must have been idle before it is closed for another one.
	idleAfter = 250 * time.Millisecond
	// closingShare is the part of the connections by which those that are being closed may exceed the limit.
	closingShare = 8
)

// shedOrder lists the states in the order in which connections are closed for others: those that have never been of use
// come first.
var shedOrder = []struct {
	state ConnState
	after time.Duration
}{{Fresh, freshAfter}, {Reading, busyAfter}, {Responding, busyAfter}, {Idle, idleAfter}}

// Conns bounds the connections of a listener.
type Conns struct {
	mu      sync.Mutex
	limit   int
	open    int // without those that are being closed
	closing int
	states  map[ConnState]*Conn // the root of a ring of connections, in the order in which they entered the state
}

// NewConns returns a bound on connections.
func NewConns(limit int) *Conns {
	c := &Conns{limit: limit, states: map[ConnState]*Conn{}}
	for _, s := range []ConnState{Fresh, Reading, Idle, Busy, Responding} {
		root := &Conn{}
		root.next, root.previous = root, root
		c.states[s] = root
	}
	return c
}

// Conn is an open connection.
type Conn struct {
	conns          *Conns
	close          func()
	state          ConnState
	since          time.Time
	shed           bool
	ended          bool
	next, previous *Conn // in the ring of its state
}

// enter puts the connection at the end of the ring of a state. The caller holds Conns.mu.
func (x *Conn) enter(s ConnState, now time.Time) {
	root := x.conns.states[s]
	x.state, x.since = s, now
	x.previous, x.next = root.previous, root
	x.previous.next, root.previous = x, x
}

// leave takes the connection out of the ring of its state. The caller holds Conns.mu.
func (x *Conn) leave() {
	x.previous.next, x.next.previous = x.next, x.previous
	x.next, x.previous = nil, nil
}

// Open returns the connection if it may stay, or nil. Another one may be closed for it; closeConn closes this one in such a case,
// and must not block.
func (c *Conns) Open(closeConn func(), now time.Time) *Conn {
	c.mu.Lock()
	var victim *Conn
	if c.open >= c.limit {
		if victim = c.victim(now); victim == nil {
			c.mu.Unlock()
			return nil
		}
		victim.shed = true
		victim.leave()
		c.open--
		c.closing++
	}
	x := &Conn{conns: c, close: closeConn}
	x.enter(Fresh, now)
	c.open++
	c.mu.Unlock()
	if victim != nil {
		victim.close()
	}
	return x
}

func (c *Conns) victim(now time.Time) *Conn {
	if c.closing > c.limit/closingShare {
		return nil
	}
	for _, s := range shedOrder {
		root := c.states[s.state]
		if first := root.next; first != root && now.Sub(first.since) >= s.after {
			return first
		}
	}
	return nil
}

// Set notes the state of the connection.
func (x *Conn) Set(s ConnState, now time.Time) {
	c := x.conns
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.shed || x.ended {
		return
	}
	x.leave()
	x.enter(s, now)
}

// Closed notes that the connection is closed. It may be called more than once.
func (x *Conn) Closed() {
	c := x.conns
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case x.ended:
		return
	case x.shed:
		c.closing--
	default:
		c.open--
		x.leave()
	}
	x.ended = true
}

// Count returns the number of connections that are open, including those that are being closed.
func (c *Conns) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open + c.closing
}
