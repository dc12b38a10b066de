// Package link sends requests and responses between toucanjobd processes, as CBOR
// frames over WebSocket connections.
//
// A connection is dialed when it is first needed and carries many concurrent
// requests. While responses are outstanding, the dialing side sends pings; it
// closes a connection on which nothing arrives in time. The requests on a
// closed connection fail with [ErrConnectionLost]: they may have been carried
// out. A request that fails with [ErrUnreachable] was not sent.
package link
