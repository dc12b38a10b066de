package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/urfave/cli/v3"
)

// RelayMode is what a Relay does with connections.
type RelayMode string

// The modes of a Relay.
const (
	RelayPass         RelayMode = "pass"    // forward all data
	RelayRefuse       RelayMode = "refuse"  // close existing and new connections
	RelayDropExisting RelayMode = "silence" // drop all further data of existing connections, forward that of new ones
	RelayDropAll      RelayMode = "hole"    // drop all data of existing and new connections
)

// Relay forwards TCP connections to Upstream, and can close them or drop their data. A connection whose data was
// dropped once never forwards data again, in any mode.
type Relay struct {
	Upstream string // address of the server

	mu       sync.Mutex
	mode     RelayMode
	sessions map[*session]struct{}
}

// session is one forwarded connection.
type session struct {
	client, server net.Conn

	mu       sync.Mutex
	dropping bool
}

func (s *session) close() {
	_ = s.client.Close()
	_ = s.server.Close()
}

func (s *session) startDropping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropping = true
}

func (s *session) isDropping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropping
}

// SetMode changes the mode for existing and new connections.
func (r *Relay) SetMode(m RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	for s := range r.sessions {
		switch m {
		case RelayRefuse:
			s.close()
		case RelayDropExisting, RelayDropAll:
			s.startDropping()
		case RelayPass:
		}
	}
}

// Serve accepts connections until l is closed.
func (r *Relay) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go r.serveConn(c)
	}
}

func (r *Relay) serveConn(client net.Conn) {
	server, err := net.Dial("tcp", r.Upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	s := &session{client: client, server: server}
	defer s.close()
	if !r.add(s) {
		return
	}
	defer r.remove(s)
	done := make(chan struct{}, 2)
	go func() { s.copy(server, client); done <- struct{}{} }()
	go func() { s.copy(client, server); done <- struct{}{} }()
	<-done
}

func (r *Relay) add(s *session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == RelayRefuse {
		return false
	}
	if r.mode == RelayDropAll {
		s.dropping = true
	}
	if r.sessions == nil {
		r.sessions = map[*session]struct{}{}
	}
	r.sessions[s] = struct{}{}
	return true
}

func (r *Relay) remove(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s)
}

// copy forwards data from src to dst. While the session drops data it reads and discards
// it, and does not pass on the end of the connection either.
func (s *session) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !s.isDropping() && n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if s.isDropping() {
				select {} // the other side must not see the connection end
			}
			return
		}
	}
}

// RelayMain runs a Relay as a program and returns its exit code.
func RelayMain(args []string) int {
	cmd := &cli.Command{
		Name: "fakerelay", Usage: "forward TCP connections, and close them or drop their data on demand",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "upstream", Required: true, Usage: "`ADDRESS` to forward connections to"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to accept connections on"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`ADDRESS` for POST /fake/faults"},
			&cli.StringFlag{Name: "address-file", Usage: "`FILE` to write the address to once the program accepts connections"},
			&cli.StringFlag{Name: "control-file", Usage: "`FILE` to write the control address to"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return serveRelay(c) },
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "fakerelay:", err)
		return 1
	}
	return 0
}

func serveRelay(c *cli.Command) error {
	relay := &Relay{Upstream: c.String("upstream"), mode: RelayPass}
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", c.String("control"))
	if err != nil {
		return err
	}
	go func() { _ = relay.Serve(listener) }() // runs until the process exits
	if err := writeAddress(c.String("address-file"), listener.Addr().String()); err != nil {
		return err
	}
	if err := writeAddress(c.String("control-file"), control.Addr().String()); err != nil {
		return err
	}
	srv := &http.Server{Handler: relay.ControlHandler(), ReadHeaderTimeout: headerTimeout}
	return srv.Serve(control)
}

// ControlHandler serves POST /fake/faults, which sets the mode to that of its body {"mode": "..."}.
func (r *Relay) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fake/faults", func(w http.ResponseWriter, req *http.Request) {
		var f struct {
			Mode RelayMode `json:"mode"`
		}
		if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetMode(f.Mode)
	})
	return mux
}
