package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/keys"
	"github.com/toucanhatch/toucanhatch/internal/target"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// OutcomeHeader tells a caller what became of its request.
const OutcomeHeader = "Toucanhatch-Outcome"

// Outcome is a value of OutcomeHeader.
type Outcome string

// The outcomes of a request.
const (
	Complete Outcome = "complete" // the response of a target follows
	NotRun   Outcome = "not-run"  // no byte of the request was sent to a target
	Unknown  Outcome = "unknown"  // the request may have run
)

const (
	maxBody         = int64(8 * ident.MiB)
	maxBufferedBody = int(256 * ident.KiB) // larger responses are streamed
	// longestRequest bounds the time until the caller gets its response, and the time that a target may take for an attempt.
	longestRequest = 30 * time.Second
)

// Handler handles the requests of callers. Set its exported fields before the first request.
type Handler struct {
	State    Snapshots
	Permits  broker.Permits
	Targets  *target.Client
	Claims   keys.Claims // nil: idempotency keys are ignored
	Recorder Recorder    // nil: outcomes are not recorded
	Clock    clock.Clock // the system clock when nil
	Logger   hclog.Logger
	Guard    *guard.Guard // bounds the bodies; the server's listener is one of its own

	bodyTime   time.Duration // that of the guard when 0
	chunkTime  time.Duration // chunkTimeout when 0
	routeTable atomic.Pointer[routeTable]
	retries    retryBudget
	background sync.WaitGroup // goroutines that may outlive their request
	stopping   atomic.Bool
}

// ServeHTTP forwards one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markInHandler(r.Context())
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{h: h, w: w, r: r, received: h.Guard.Body(w, r, 0), began: h.now(), outcome: NotRun}
	x.received.Timeout = cmp.Or(h.bodyTime, h.Guard.BodyTime())
	defer x.received.Release()
	if f := x.readRequest(); f != nil {
		x.refuse(f)
	} else {
		x.forward(r.Context())
	}
	if h.Recorder != nil {
		h.Recorder.Record(x.pool, x.outcome, x.status, h.now().Sub(x.began))
	}
	if x.truncated {
		panic(http.ErrAbortHandler) // a truncated body must not look complete to the caller
	}
}

// BeginShutdown makes every later response close the caller's connection.
func (h *Handler) BeginShutdown() { h.stopping.Store(true) }

// Wait waits for the goroutines that outlive their request, for example because the caller has disconnected. It
// returns the error of ctx if that ends first.
func (h *Handler) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() { h.background.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Handler) clock() clock.Clock {
	if h.Clock == nil {
		return clock.System()
	}
	return h.Clock
}

func (h *Handler) now() time.Time { return h.clock().Now() }

// exchange is the state of one caller's request.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	received *guard.Body
	began    time.Time

	pool       ident.PoolID
	id         ident.RequestID
	job        string
	urgent     bool
	deadline   time.Time // the caller must have its response by then
	idempotent bool
	body       []byte
	header     http.Header // sent to the target; nil before the first attempt
	claim      keys.Claim  // nil without an idempotency key
	markedSent bool
	avoid      []ident.VMID // targets of failed attempts

	outcome   Outcome
	status    int
	truncated bool // the response was started but cannot be completed
}

// readRequest routes the request and reads its header and body. It returns a refusal if the request is invalid.
func (x *exchange) readRequest() *refusal {
	var ok bool
	if x.pool, ok = x.h.route(x.r.URL.Path); !ok {
		return &refusal{status: http.StatusNotFound, text: fmt.Sprintf("no pool serves path %q", x.r.URL.Path)}
	}
	if f := x.readHeader(); f != nil {
		return f
	}
	if f := x.readBody(); f != nil {
		return f
	}
	x.id = newRequestID()
	return nil
}

func newRequestID() ident.RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return ident.RequestID(hex.EncodeToString(b[:]))
}
