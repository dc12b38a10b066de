package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The times of the advice service, as the queue's configuration names them.
const (
	decisionMS = 100
	intervalMS = 10
	validityMS = 3000
	maxWaiting = 32
)

// advice is the service that says which workers may run a step. It grants all workers that a call names. It handles one
// call at a time for each calling machine, in turn; in a case there is one that calls.
type advice struct {
	f    *fleet
	addr string

	mu       sync.Mutex
	waiting  int
	turn     sync.Mutex
	tickets  map[string]time.Time // step, worker and life → until when the ticket is valid
	answered int                  // calls whose caller still waited
	left     int                  // calls whose caller had left
	rejected int
}

func newAdvice(f *fleet) (*advice, error) {
	a := &advice{f: f, tickets: map[string]time.Time{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = l.Addr().String()
	go func() { _ = http.Serve(l, a) }()
	return a, nil
}

// ServeHTTP implements http.Handler.
func (a *advice) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req struct {
		Step    string   `json:"step-id"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaiting {
		a.rejected++
		a.mu.Unlock()
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	time.Sleep(time.Duration(decisionMS+intervalMS*len(req.Workers)) * time.Millisecond)
	a.turn.Unlock()
	granted := [][]string{}
	a.mu.Lock()
	for _, id := range req.Workers {
		ticket := fmt.Sprintf("%s/%s/%d", req.Step, id, a.f.bornOf(id))
		a.tickets[ticket] = time.Now().Add(validityMS * time.Millisecond)
		granted = append(granted, []string{id, ticket})
	}
	if r.Context().Err() != nil {
		a.left++
	} else {
		a.answered++
	}
	a.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"granted": granted, "validity-ms": validityMS})
}

// accepts reports whether a ticket is valid for a work unit on a worker.
func (a *advice) accepts(w *worker, born int64, task, ticket string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket == fmt.Sprintf("%s/%s/%d", step, w.id, born) && time.Now().Before(a.tickets[ticket])
}

// counts returns how many calls were answered, whose callers had left, and which were rejected.
func (a *advice) counts() (answered, left, rejected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answered, a.left, a.rejected
}

// bornOf returns the start of the life of a worker.
func (f *fleet) bornOf(id string) int64 {
	for _, w := range f.workers {
		if w.id == id {
			if x := w.current(); x != nil {
				return x.born
			}
		}
	}
	return 0
}
