//go:build !linux

package target

// stale always returns false on this system; only the transport's reader notices closed connections.
func (c *conn) stale() bool { return false }
