package target

import (
	"errors"
	"io"
	"sync"
)

// body is the body of a response. Close returns the connection to the pool if the body was read to its end and the
// target keeps the connection open; otherwise it closes the connection.
type body struct {
	io.ReadCloser
	client     *Client
	pool       *pool
	conn       *conn
	complete   bool // the body was read to its end
	connCloses bool // the target closes the connection after this response
	once       sync.Once
}

// Read returns io.ErrUnexpectedEOF if the connection ends before the body does.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close closes the body and returns or closes the connection.
func (b *body) Close() error {
	var err error
	b.once.Do(func() {
		err = b.ReadCloser.Close()
		if b.complete && !b.connCloses {
			b.pool.finish(b.conn, b.client.now())
			return
		}
		b.conn.discard()
		b.pool.remove(b.conn)
		b.pool.release()
	})
	return err
}
