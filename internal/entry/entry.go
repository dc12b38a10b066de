package entry

import (
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
	Complete Outcome = "complete" // the whole response follows
	NotRun   Outcome = "not-run"  // no byte went to a target
	Unknown  Outcome = "unknown"  // the request may have run
)

const (
	maxBody     = int64(8 * ident.MiB)
	maxBuffered = int(256 * ident.KiB) // larger responses are streamed
	// longestRequest bounds the whole request, and how long a target may work on it.
	longestRequest = 30 * time.Second
)

// Handler serves callers. Set its exported fields before the first request.
type Handler struct {
	State    Snapshots
	Permits  broker.Permits
	Targets  *target.Client
	Claims   keys.Claims // nil: requests with an idempotency key are handled as plain ones
	Recorder Recorder    // nil: outcomes are not recorded
	Clock    clock.Clock // the system clock when nil
	Logger   hclog.Logger

	bodyTime  time.Duration // bodyTimeout when 0
	chunkTime time.Duration // chunkTimeout when 0
	table     atomic.Pointer[table]
	budget    budget
	work      sync.WaitGroup // work that outlives its handler call
	stopping  atomic.Bool
}

// ServeHTTP forwards one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	enterHandler(r.Context())
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{h: h, w: w, r: r, began: h.now(), outcome: NotRun}
	if f := x.accept(); f != nil {
		x.refuse(f)
	} else {
		x.serve(r.Context())
	}
	if h.Recorder != nil {
		h.Recorder.Record(x.pool, x.outcome, x.status, h.now().Sub(x.began))
	}
	if x.cut {
		panic(http.ErrAbortHandler) // a cut body must not end cleanly
	}
}

// BeginShutdown makes every further response close its caller's connection.
func (h *Handler) BeginShutdown() { h.stopping.Store(true) }

// Wait returns when the work of callers that have left is over, or with the error of ctx.
func (h *Handler) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() { h.work.Wait(); close(done) }()
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

// exchange is one caller's request on its way through the entry.
type exchange struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	began time.Time

	pool       ident.PoolID
	id         ident.RequestID
	job        string
	urgent     bool
	deadline   time.Time // the caller gets its response by then
	limited    bool      // the caller waits less than longestRequest
	idempotent bool
	body       []byte
	header     http.Header // what the target gets
	claim      keys.Claim  // nil without an idempotency key
	claimSent  bool
	avoid      []ident.VMID

	outcome Outcome
	status  int
	cut     bool // the response was begun and cannot be completed
}

// accept reads the request; a fault of it is returned as a refusal.
func (x *exchange) accept() *refusal {
	x.limitBody()
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
