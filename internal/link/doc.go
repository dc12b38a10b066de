// Package link carries requests and answers between the product's processes
// over WebSocket connections with CBOR frames.
//
// A connection is dialed when it is first needed and serves many requests side
// by side. While an answer is outstanding the dialer pings; a connection on
// which nothing arrives in time is closed, and its requests fail with
// [ErrConnectionLost]: they may have been carried out.
package link
