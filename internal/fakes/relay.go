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

// RelayMode is what a Relay does with its connections.
type RelayMode string

// The modes of a Relay.
const (
	RelayPass         RelayMode = "pass"    // forward everything
	RelayRefuse       RelayMode = "refuse"  // close present and new connections
	RelayDropExisting RelayMode = "silence" // present connections go silent for good, new ones pass
	RelayDropAll      RelayMode = "hole"    // present and new connections go silent
)

// Relay forwards TCP connections to Upstream and can cut or silence them.
type Relay struct {
	Upstream string

	mu       sync.Mutex
	mode     RelayMode
	sessions map[*session]struct{}
}

type session struct {
	client, server net.Conn

	mu     sync.Mutex
	silent bool
}

func (s *session) close() {
	_ = s.client.Close()
	_ = s.server.Close()
}

func (s *session) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// SetMode changes what the relay does.
func (r *Relay) SetMode(m RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	for s := range r.sessions {
		switch m {
		case RelayRefuse:
			s.close()
		case RelayDropExisting, RelayDropAll:
			s.setSilent()
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
		go r.relay(c)
	}
}

func (r *Relay) relay(client net.Conn) {
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
		s.silent = true
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

// copy forwards bytes; a silent session reads and drops them, and hides the
// end of the connection from the other side.
func (s *session) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !s.isSilent() && n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if s.isSilent() {
				select {} // the other side must not learn of the end
			}
			return
		}
	}
}

// RelayMain runs a Relay as a program and returns its exit code.
func RelayMain(args []string) int {
	cmd := &cli.Command{
		Name: "fakerelay", Usage: "pass TCP connections on and cut or silence them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "upstream", Required: true, Usage: "`ADDRESS` to pass connections to"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to accept connections on"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`ADDRESS` for POST /fake/faults"},
			&cli.StringFlag{Name: "address-file", Usage: "`FILE` that gets the address"},
			&cli.StringFlag{Name: "control-file", Usage: "`FILE` that gets the control address"},
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
	data, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", c.String("control"))
	if err != nil {
		return err
	}
	go func() { _ = relay.Serve(data) }() // ends with the process
	if err := announce(c.String("address-file"), data.Addr().String()); err != nil {
		return err
	}
	if err := announce(c.String("control-file"), control.Addr().String()); err != nil {
		return err
	}
	srv := &http.Server{Handler: relay.ControlHandler(), ReadHeaderTimeout: headerTimeout}
	return srv.Serve(control)
}

// ControlHandler serves POST /fake/faults with {"mode": "..."}.
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
