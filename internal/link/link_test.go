package link

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Guards against a request that takes the process down, or breaks the link for the others.
func TestPanicOfAHandlerFailsOneRequest(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	echo := Handle(func(_ context.Context, s string) (string, error) { return s, nil })
	s := &Server{Listener: l, Logger: hclog.NewNullLogger(), Handler: func(ctx context.Context, m Method, body []byte) ([]byte, error) {
		if m == "bad" {
			panic("a malformed request")
		}
		return echo(ctx, body)
	}}
	go func() { _ = s.Run(t.Context()) }()
	c := &Client{}
	if got, err := Call[string](t.Context(), c, l.Addr().String(), "good", "a"); err != nil || got != "a" {
		t.Fatalf("a good request: %q, %v", got, err)
	}
	var fault *FaultError
	if _, err := Call[string](t.Context(), c, l.Addr().String(), "bad", "a"); !errors.As(err, &fault) {
		t.Errorf("a bad request: %v, want a fault", err)
	}
	if got, err := Call[string](t.Context(), c, l.Addr().String(), "good", "b"); err != nil || got != "b" {
		t.Errorf("a good request after a bad one: %q, %v", got, err)
	}
}
