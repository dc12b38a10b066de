package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	handshakeTimeout    = 2 * time.Second
	maxHandshakeMessage = int64(4 * ident.KiB)
	maxHandshakes       = 64  // concurrent unauthenticated connections
	maxLoggedRefusals   = 256 // peers whose refusal is logged
	peerPath            = "/peer"
	headerTimeout       = 2 * time.Second
)

// refusedError reports that the link was refused by the other side or by this one.
type refusedError struct{ reason refusalReason }

// Error describes the reason.
func (e *refusedError) Error() string { return "peer link refused: " + string(e.reason) }

var errProtocol = errors.New("unexpected message in the peer handshake")

// dialerHandshake runs the dialer's side of the handshake and returns the identity of the other side.
func (n *Node) dialerHandshake(ctx context.Context, conn *websocket.Conn) (identity, error) {
	self := n.identity()
	if err := writeMessage(ctx, conn, greeting{Identity: self}); err != nil {
		return identity{}, err
	}
	remote, err := n.verifyListener(ctx, conn, self)
	if err != nil {
		return remote, err
	}
	if err := writeMessage(ctx, conn, dialerProof{Proof: computeProof(n.Key, dialerRole, self, remote)}); err != nil {
		return remote, err
	}
	m, err := readMessage(ctx, conn)
	if err != nil {
		return remote, err
	}
	v, ok := m.(handshakeResult)
	if !ok {
		return remote, errProtocol
	}
	if v.Refusal == staleIncarnation {
		n.renewIncarnation(self.Incarnation)
	}
	if v.Refusal != accepted {
		return remote, &refusedError{v.Refusal}
	}
	return remote, nil
}

// verifyListener reads the listener's greeting and verifies its proof.
func (n *Node) verifyListener(ctx context.Context, conn *websocket.Conn, self identity) (identity, error) {
	m, err := readMessage(ctx, conn)
	if err != nil {
		return identity{}, err
	}
	if v, ok := m.(handshakeResult); ok {
		return identity{}, &refusedError{v.Refusal}
	}
	g, ok := m.(greeting)
	if !ok || len(g.Identity.Nonce) != nonceSize || g.Identity.ID == "" {
		return identity{}, errProtocol
	}
	if !verifyProof(n.Key, listenerRole, self, g.Identity, g.Proof) {
		_ = writeMessage(ctx, conn, handshakeResult{Refusal: wrongKey}) // best effort, the connection is closed next
		return g.Identity, &refusedError{wrongKey}
	}
	return g.Identity, nil
}

// listenerHandshake runs the listener's side of the handshake except for the final handshakeResult.
func (n *Node) listenerHandshake(ctx context.Context, conn *websocket.Conn) (identity, error) {
	m, err := readMessage(ctx, conn)
	if err != nil {
		return identity{}, err
	}
	g, ok := m.(greeting)
	if !ok || len(g.Identity.Nonce) != nonceSize || g.Identity.ID == "" {
		return identity{}, errProtocol
	}
	if g.Identity.Version != protocolVersion {
		return g.Identity, &refusedError{wrongVersion}
	}
	if g.Identity.ID == n.ID {
		return g.Identity, &refusedError{ownAddress}
	}
	self := n.identity()
	mine := greeting{Identity: self, Proof: computeProof(n.Key, listenerRole, g.Identity, self)}
	if err := writeMessage(ctx, conn, mine); err != nil {
		return g.Identity, err
	}
	if m, err = readMessage(ctx, conn); err != nil {
		return g.Identity, err
	}
	if v, ok := m.(handshakeResult); ok {
		return g.Identity, &refusedError{v.Refusal}
	}
	r, ok := m.(dialerProof)
	if !ok {
		return g.Identity, errProtocol
	}
	if !verifyProof(n.Key, dialerRole, g.Identity, self, r.Proof) {
		return g.Identity, &refusedError{wrongKey}
	}
	return g.Identity, nil
}

// ServeHTTP accepts a link from another entry.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.handshakes.Add(1) > maxHandshakes {
		n.handshakes.Add(-1)
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	conn, remote, err := n.accept(r.Context(), w, r)
	n.handshakes.Add(-1)
	if err != nil {
		n.logHandshakeFailure(r.RemoteAddr, remote.ID, err)
		return
	}
	s := newSession(conn, remote, false)
	reason := n.attach(s)
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	err = writeMessage(ctx, conn, handshakeResult{Refusal: reason})
	cancel()
	if reason != accepted || err != nil {
		s.close()
		n.detach(s)
		return
	}
	n.Guard.Stream(r).Trusted()
	n.serve(s)
}

// accept upgrades the request to a WebSocket connection and runs the listener's side of the handshake.
func (n *Node) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) (*websocket.Conn, identity, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, identity{}, err
	}
	conn.SetReadLimit(maxHandshakeMessage)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	remote, err := n.listenerHandshake(ctx, conn)
	if err != nil {
		var refused *refusedError
		if errors.As(err, &refused) {
			_ = writeMessage(ctx, conn, handshakeResult{Refusal: refused.reason}) // best effort, the connection is closed next
		}
		_ = conn.CloseNow() // nothing more is expected on it
		return nil, remote, err
	}
	return conn, remote, nil
}

// dialLink connects to an address and runs the handshake.
func (n *Node) dialLink(ctx context.Context, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+address+peerPath, &websocket.DialOptions{
		HTTPClient: n.client, CompressionMode: websocket.CompressionDisabled,
	})
	if resp != nil && resp.Body != nil {
		resp.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxHandshakeMessage)
	remote, err := n.dialerHandshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow() // nothing more is expected on it
		n.logHandshakeFailure(address, remote.ID, err)
		return nil, err
	}
	return newSession(conn, remote, true), nil
}

// logHandshakeFailure logs a failed handshake. A refusal for a wrong key or version is logged as an error, but only once
// for each peer until a link with it succeeds.
func (n *Node) logHandshakeFailure(address string, id ident.EntryID, err error) {
	var refused *refusedError
	if !errors.As(err, &refused) || (refused.reason != wrongKey && refused.reason != wrongVersion) {
		n.Logger.Debug("peer handshake failed; closing the connection", "address", address, "peer", id, "error", err)
		return
	}
	n.refusedLinks.Add(1)
	key := string(id)
	if key == "" {
		key = address
	}
	n.mu.Lock()
	seen := n.loggedRefusals[key] || len(n.loggedRefusals) >= maxLoggedRefusals
	n.loggedRefusals[key] = true
	n.mu.Unlock()
	if !seen {
		n.Logger.Error("peer link refused", "reason", string(refused.reason), "peer", id, "address", address,
			"hint", fmt.Sprintf("further refusals of %q are not logged until a link succeeds", key))
	}
}
