package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Limits of one link.
const (
	// MaxMessageSize is the largest encoded message that Send accepts.
	MaxMessageSize = int(1 * ident.MiB)

	maxBatch      = int(256 * ident.KiB) // messages written in one frame, unless a single one is larger
	maxFrame      = int64(2 * ident.MiB)
	maxQueueBytes = int(8 * ident.MiB)
	maxQueue      = 8192
	writeTimeout  = 3 * time.Second

	// drainLimit is how long a replaced session may take to deliver what was queued on it; a heartbeat's period.
	drainLimit = heartbeat
)

// session is one authenticated connection to another entry.
type session struct {
	conn        *websocket.Conn
	remote      identity
	dialedByUs  bool
	done        chan struct{} // closed when the session has ended
	closeOnce   sync.Once
	retired     chan struct{} // closed when another session has replaced this one
	retireOnce  sync.Once
	drained     chan struct{} // closed when the other side has sent its last message
	drainOnce   sync.Once
	after       *session    // the session that this one replaced, whose messages come first; Node.mu guards it
	deliveredMu *sync.Mutex // orders deliveries of successive sessions with one entry
	*outbox
}

func newSession(conn *websocket.Conn, remote identity, dialedByUs bool) *session {
	conn.SetReadLimit(maxFrame)
	return &session{
		conn: conn, remote: remote, dialedByUs: dialedByUs,
		done: make(chan struct{}), retired: make(chan struct{}), drained: make(chan struct{}), outbox: newOutbox(),
	}
}

// retire makes the session send what is queued, and end once the other side has done so too.
func (s *session) retire() { s.retireOnce.Do(func() { close(s.retired) }) }

// awaitLast returns once the last message of a replaced session has been delivered; after drainLimit the session ends.
func (s *session) awaitLast(canceled <-chan struct{}) {
	limit := time.NewTimer(drainLimit)
	defer limit.Stop()
	select {
	case <-s.drained:
	case <-s.done:
	case <-canceled:
	case <-limit.C:
		s.close()
	}
}

// closeAll ends the session and the one that it replaced; queued messages are lost. The caller holds Node.mu.
func (s *session) closeAll() {
	for x := s; x != nil; x = x.after {
		x.close()
	}
}

// close ends the session at once; queued messages are lost.
func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		go func() { _ = s.conn.CloseNow() }() // may wait for a write in progress
	})
}

func (s *session) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// write sends frames until the session ends; an idle link carries an empty frame per period.
func (s *session) write(ctx context.Context, period time.Duration) error {
	idle := time.NewTicker(period)
	defer idle.Stop()
	for {
		select {
		case <-s.wake:
		case <-idle.C:
		case <-s.retired:
			return s.finish(ctx)
		case <-s.done:
			return nil
		}
		if err := s.flush(ctx); err != nil {
			return err
		}
		idle.Reset(period)
	}
}

// flush sends a frame, and more while messages are queued.
func (s *session) flush(ctx context.Context) error {
	for {
		batch, more := s.take(maxBatch)
		if err := s.writeFrame(ctx, batch); err != nil || !more {
			return err
		}
	}
}

// finish sends what is queued on a replaced session and waits for the other side to do the same.
func (s *session) finish(ctx context.Context) error {
	if err := s.flush(ctx); err != nil {
		return err
	}
	data, err := wire.Encode(last{})
	if err != nil {
		return err
	}
	if err := s.writeFrame(ctx, [][]byte{data}); err != nil {
		return err
	}
	s.awaitLast(nil)
	return nil
}

func (s *session) writeFrame(ctx context.Context, batch [][]byte) error {
	frame, err := wire.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, frame)
}

// readFrame returns the messages of the next frame; a message of an unknown kind is skipped.
func (s *session) readFrame(ctx context.Context) ([]wire.Message, error) {
	kind, data, err := s.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fmt.Errorf("a frame of type %v is not binary", kind)
	}
	return decodeFrame(data)
}

// writeMessage and readMessage exchange the single messages of the handshake.
func writeMessage(ctx context.Context, conn *websocket.Conn, m wire.Message) error {
	data, err := wire.Encode(m)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func readMessage(ctx context.Context, conn *websocket.Conn) (wire.Message, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	return wire.Decode(data)
}
