package guard

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/config"
)

// BenchmarkPost measures a request with a small body on a connection that is kept open, by a server with and without a guard.
func BenchmarkPost(b *testing.B) {
	g := New(Derive(config.Limits{}, 0), hclog.NewNullLogger())
	plain := func() *http.Server {
		return &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
			ErrorLog: log.New(io.Discard, "", 0),
		}
	}
	guarded := func() *http.Server {
		return g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := g.Body(w, r, 3*time.Second)
			defer body.Release()
			_, _ = body.Read(256 << 10)
			body.Finish(w.Header())
		}))
	}
	b.Run("plain", func(b *testing.B) { benchmarkPost(b, plain(), func(l net.Listener) net.Listener { return l }) })
	b.Run("guarded", func(b *testing.B) {
		benchmarkPost(b, guarded(), func(l net.Listener) net.Listener { return g.Listen(Clients, l) })
	})
}

func benchmarkPost(b *testing.B, srv *http.Server, wrap func(net.Listener) net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = srv.Serve(wrap(l)) }()
	defer srv.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	request := []byte("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n\r\n" + string(make([]byte, 1000)))
	from := bufio.NewReader(c)
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(from, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
