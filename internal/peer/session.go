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

	maxBatch      = int(256 * ident.KiB) // total size of the messages in one frame, unless a single message is larger
	maxFrame      = int64(2 * ident.MiB)
	maxQueueBytes = int(8 * ident.MiB)
	maxQueue      = 8192 // messages
	writeTimeout  = 3 * time.Second

	// drainLimit is how long a replaced session may take to deliver its queued messages.
	drainLimit = heartbeatPeriod
)

// session is a link: one authenticated connection to another entry.
type session struct {
	conn          *websocket.Conn
	remote        identity
	dialedBySelf  bool
	done          chan struct{} // closed when the session has ended
	closeOnce     sync.Once
	superseded    chan struct{} // closed when another session has replaced this one
	supersedeOnce sync.Once
	drained       chan struct{} // closed when the other side's lastMessage has arrived
	drainOnce     sync.Once
	dial          <-chan struct{} // closed when a dial to the same entry has ended that was in progress when the session began; may be nil
	replaced      *session        // the session that this one replaced, whose messages are delivered first; guarded by Node.mu
	delivering    bool            // no other session's messages are delivered first any more; guarded by Node.mu
	deliveryMu    *sync.Mutex     // the member's deliveryMu; orders deliveries of successive sessions
	*messageQueue
}

func newSession(conn *websocket.Conn, remote identity, dialedBySelf bool) *session {
	conn.SetReadLimit(maxFrame)
	return &session{
		conn: conn, remote: remote, dialedBySelf: dialedBySelf,
		done: make(chan struct{}), superseded: make(chan struct{}), drained: make(chan struct{}), messageQueue: newMessageQueue(),
	}
}

// supersede makes the session send its queued messages, and end once the other side has done the same.
func (s *session) supersede() { s.supersedeOnce.Do(func() { close(s.superseded) }) }

// waitForDial waits until the outcome of a dial to the same entry is known: the other side may have accepted it before
// this session, and have queued messages there. It waits for drainLimit at most.
func (s *session) waitForDial() {
	if s.dial == nil {
		return
	}
	limit := time.NewTimer(drainLimit)
	defer limit.Stop()
	select {
	case <-s.dial:
	case <-s.done:
	case <-limit.C:
	}
}

// waitDrained waits until the last message of a replaced session has been delivered, the session has ended or canceled
// is closed. After drainLimit it ends the session.
func (s *session) waitDrained(canceled <-chan struct{}) {
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

// closeWithReplaced ends the session and those that it replaced; queued messages are lost. The caller holds Node.mu.
func (s *session) closeWithReplaced() {
	for x := s; x != nil; x = x.replaced {
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

// write sends frames until the session ends. If no message is queued for a period, it sends an empty frame as a heartbeat.
func (s *session) write(ctx context.Context, period time.Duration) error {
	idle := time.NewTicker(period)
	defer idle.Stop()
	for {
		select {
		case <-s.wake:
		case <-idle.C:
		case <-s.superseded:
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

// flush sends one frame, which may be empty, and further ones while messages are queued.
func (s *session) flush(ctx context.Context) error {
	for {
		batch, more := s.take(maxBatch)
		if err := s.writeFrame(ctx, batch); err != nil || !more {
			return err
		}
	}
}

// finish sends the queued messages of a replaced session and waits for the other side to do the same.
func (s *session) finish(ctx context.Context) error {
	if err := s.flush(ctx); err != nil {
		return err
	}
	data, err := wire.Encode(lastMessage{})
	if err != nil {
		return err
	}
	if err := s.writeFrame(ctx, [][]byte{data}); err != nil {
		return err
	}
	s.waitDrained(nil)
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

// readFrame returns the messages of the next frame, except those of unknown kinds.
func (s *session) readFrame(ctx context.Context) ([]wire.Message, error) {
	kind, data, err := s.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fmt.Errorf("frame has type %v, want binary", kind)
	}
	return decodeFrame(data)
}

// writeMessage and readMessage transfer the messages of the handshake, which are sent without frames.
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
