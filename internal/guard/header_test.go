package guard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against memory that grows with a crowd of headers of legal size, which take many times their size: headers that
// stop short, ones with many fields or one field many times, and ones whose body stops short.
func TestWideHeadersAreBounded(t *testing.T) {
	const crowd, mayStay = 60, 10
	distinct, repeated := &strings.Builder{}, &strings.Builder{}
	for n := range 2500 {
		fmt.Fprintf(distinct, "%x:\r\n", 0x1000+n)
		repeated.WriteString("Qqqq:\r\n")
	}
	for _, test := range []struct{ name, fields, end string }{
		{"many fields, stops short", distinct.String(), ""},
		{"one field many times, stops short", repeated.String(), ""},
		{"many fields, body stops short", distinct.String(), "Content-Length: 10\r\n\r\n{}"},
		{"one field many times, body stops short", repeated.String(), "Content-Length: 10\r\n\r\n{}"},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			limits := testLimits()
			limits.Clients = 2 * crowd
			g := New(limits, hclog.NewNullLogger())
			srv := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body := g.Body(w, r, time.Minute)
				defer body.Release()
				if _, err := body.Read(1 << 10); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				body.Finish(w.Header())
			}))
			srv.ReadHeaderTimeout = time.Minute
			go func() { _ = srv.Serve(g.Listen(Clients, l)) }()
			t.Cleanup(func() { srv.Close() })
			var conns []net.Conn
			for range crowd {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a.example\r\n"+test.fields+test.end)
				conns = append(conns, c)
			}
			ended := make(chan struct{}, crowd)
			for _, c := range conns {
				go func() {
					_, _ = io.Copy(io.Discard, c)
					ended <- struct{}{}
				}()
			}
			deadline := time.After(20 * time.Second)
			for n := range crowd - mayStay {
				select {
				case <-ended:
				case <-deadline:
					t.Fatalf("%d of %d requests stay open within a budget of %d bytes, want %d at most", crowd-n, crowd, int64(limits.Bodies), mayStay)
				}
			}
			resp, err := http.Post("http://"+l.Addr().String(), "", strings.NewReader("{}"))
			if err != nil {
				t.Fatalf("an ordinary request beside them: %v", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("an ordinary request beside them: status %d, want 200", resp.StatusCode)
			}
		})
	}
}

// Guards against bytes of headers that are not returned when a connection goes on, or ends.
func TestBytesOfHeadersReturn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(testLimits(), hclog.NewNullLogger())
	var held []int64
	srv := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := g.Body(w, r, time.Minute)
		defer body.Release()
		_, _ = body.Read(1 << 10)
		held = append(held, g.bodies.Used())
		body.Finish(w.Header())
	}))
	go func() { _ = srv.Serve(g.Listen(Clients, l)) }()
	t.Cleanup(func() { srv.Close() })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for n := range 20 {
		var body io.Reader
		if n%2 == 0 {
			body = strings.NewReader("{}")
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Wide", strings.Repeat("x", 12<<10))
		resp, err := client.Do(req)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		resp.Body.Close()
	}
	for n, bytes := range held {
		if want := int64(8 << 10); bytes < want || bytes > 2*want {
			t.Errorf("request %d: %d bytes are held, want %d to %d", n, bytes, want, 2*want)
		}
	}
	client.CloseIdleConnections()
	for limit := time.Now().Add(30 * time.Second); g.bodies.Used() != 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	if used := g.bodies.Used(); used != 0 {
		t.Errorf("%d bytes are held after the last request, want none", used)
	}
}
