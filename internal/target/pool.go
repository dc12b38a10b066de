package target

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// maxConnections bounds the connections to one target, idle ones included.
	maxConnections = 64
	// maxIdle is the number of idle connections that stay open for longer than surplusIdleLimit.
	// Nine entries with six idle connections each and eight requests in flight stay below the
	// 64 connections that a target accepts in total.
	maxIdle = 6
	// surplusIdleLimit is how long connections beyond maxIdle may be idle.
	surplusIdleLimit = time.Second
	// idleLimit is how long any connection may be idle.
	idleLimit = 30 * time.Second
	// emptyPoolTTL is how long a pool without connections is kept.
	emptyPoolTTL = time.Minute
)

// pool holds the connections to one target. A caller reserves one of maxConnections
// places before it uses an idle connection or opens a new one, which bounds their number.
type pool struct {
	addr string

	mu       sync.Mutex
	reserved int             // places reserved
	waiters  []chan struct{} // in order of arrival; closing a channel passes a released place to its waiter
	idle     []*conn         // ordered by last use, the most recent one last
	conns    map[*conn]struct{}
	lastUsed time.Time
	removed  bool // the sweeper has removed this pool from the client
}

func newPool(addr string) *pool {
	return &pool{addr: addr, conns: map[*conn]struct{}{}}
}

// acquire reserves a place, waiting while all are reserved. It returns an idle connection, or nil if there is none.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.reserved < maxConnections {
		p.reserved++
		cn := p.takeIdleLocked()
		p.mu.Unlock()
		return cn, nil
	}
	granted := make(chan struct{})
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return p.takeIdle(), nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	i := slices.Index(p.waiters, granted)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.release() // the place was granted just before ctx ended
	}
	return nil, fmt.Errorf("all %d connections to %s are in use: %w", maxConnections, p.addr, ctx.Err())
}

// release frees a reserved place, or passes it to the first waiter.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked()
}

func (p *pool) releaseLocked() {
	if len(p.waiters) == 0 {
		p.reserved--
		return
	}
	close(p.waiters[0])
	p.waiters = p.waiters[1:]
}

// takeIdle removes and returns the most recently used idle connection that is still usable, or nil. It closes unusable ones.
func (p *pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdleLocked()
}

func (p *pool) takeIdleLocked() *conn {
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if cn.cc.Err() == nil && !cn.stale() {
			return cn
		}
		delete(p.conns, cn)
		cn.discard()
	}
	return nil
}

// add registers a new connection. If there are then more than maxConnections, it closes the one that has been idle longest.
func (p *pool) add(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[cn] = struct{}{}
	if len(p.conns) > maxConnections && len(p.idle) > 0 {
		p.closeIdleLocked(1)
	}
}

// finish returns a connection to the pool after a complete exchange and releases the place.
func (p *pool) finish(cn *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.releaseLocked()
	p.lastUsed = now
	if cn.closeAfterUse.Load() || p.removed {
		delete(p.conns, cn)
		cn.discard()
		return
	}
	cn.idleSince = now
	p.idle = append(p.idle, cn)
}

// returnUnused returns an idle connection that was taken from the pool but not used.
func (p *pool) returnUnused(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, cn)
}

// remove unregisters a connection that is not used again.
func (p *pool) remove(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, cn)
}

// closeOlder closes the connections that were opened before t: idle ones now, busy ones after their exchange.
func (p *pool) closeOlder(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for cn := range p.conns {
		if cn.opened.Before(t) {
			cn.closeAfterUse.Store(true)
		}
	}
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if cn.closeAfterUse.Load() {
			delete(p.conns, cn)
			cn.discard()
			continue
		}
		kept = append(kept, cn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// closeIdleLocked closes the n connections that have been idle longest.
func (p *pool) closeIdleLocked(n int) {
	for _, cn := range p.idle[:n] {
		delete(p.conns, cn)
		cn.discard()
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
}

// sweep closes connections that have been idle too long. It reports whether the pool is unused and must be removed from the client.
func (p *pool) sweep(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i, cn := range p.idle {
		idle := now.Sub(cn.idleSince)
		if idle > idleLimit || (idle > surplusIdleLimit && len(p.idle)-i > maxIdle) {
			n = i + 1
		}
	}
	p.closeIdleLocked(n)
	if len(p.conns) > 0 || p.reserved > 0 || now.Sub(p.lastUsed) < emptyPoolTTL {
		return false
	}
	p.removed = true
	return true
}
