package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RequestIDHeader is the header that carries the ID of a request to a target, which repeats it in the response.
const RequestIDHeader = "Toucanhatch-Request-Id"

// TargetFaults are the faults that a Target injects. Handler sets them to the JSON body of POST /fake/faults.
type TargetFaults struct {
	FailAll          bool   `json:"fail_all"`   // every request fails at once with status 500
	FailPath         string `json:"fail_path"`  // requests of this path fail at once with status 500
	Unresponsive     bool   `json:"silent"`     // requests are read but get no response
	SwapResponses    bool   `json:"crossed"`    // a request gets the response to the previous one, with the ID of that one
	TruncateResponse bool   `json:"cut_answer"` // the connection is closed after half of the response's body
	ExtraMillis      int64  `json:"extra_ms"`   // milliseconds added to the run time of every request
}

// TargetStats are the counters of a Target, served at GET /fake/stats.
type TargetStats struct {
	InFlight    int            `json:"in_flight"`
	MaxInFlight int            `json:"max_in_flight"`
	Runs        map[string]int `json:"runs"` // number of requests by their X-Work-Id header
}

// Target is a fake target. It runs any number of requests at once and counts them.
// The query parameters sleep_ms and bytes of a request set its run time in milliseconds and the
// minimum size of the response; with the parameter chunked the response has no Content-Length.
type Target struct {
	Name string

	mu           sync.Mutex
	faults       TargetFaults
	stats        TargetStats
	lastResponse response
}

// response is the ID and body of a response.
type response struct{ id, body string }

// NewTarget returns a target without faults.
func NewTarget(name string) *Target {
	return &Target{Name: name, stats: TargetStats{Runs: map[string]int{}}}
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Stats returns a copy of the counters.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Runs = make(map[string]int, len(t.stats.Runs))
	for k, v := range t.stats.Runs {
		s.Runs[k] = v
	}
	return s
}

// Handler serves health and status at /healthz and /status, the control of the fake below /fake/, and work on all
// other paths.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"in_flight": t.Stats().InFlight})
	})
	mux.HandleFunc("GET /fake/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Stats()) })
	mux.HandleFunc("POST /fake/faults", t.postFaults)
	mux.HandleFunc("/", t.work)
	return mux
}

func (t *Target) postFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

func (t *Target) begin(r *http.Request) TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.InFlight++
	t.stats.MaxInFlight = max(t.stats.MaxInFlight, t.stats.InFlight)
	if id := r.Header.Get("X-Work-Id"); id != "" {
		t.stats.Runs[id]++
	}
	return t.faults
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.InFlight--
}

func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	f := t.begin(r)
	defer t.end()
	requestBody, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Unresponsive {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get(RequestIDHeader)
	body := fmt.Sprintf("%s %s work=%s body=%q\n", t.Name, r.URL.Path, r.Header.Get("X-Work-Id"), requestBody)
	id, body = t.recordResponse(f.SwapResponses, id, body)
	w.Header().Set(RequestIDHeader, id)
	if f.FailAll || f.FailPath != "" && f.FailPath == r.URL.Path {
		http.Error(w, "worker failed", http.StatusInternalServerError)
		return
	}
	q := r.URL.Query()
	sleepMillis, _ := strconv.ParseInt(q.Get("sleep_ms"), 10, 64)
	time.Sleep(time.Duration(sleepMillis+f.ExtraMillis) * time.Millisecond)
	size, _ := strconv.Atoi(q.Get("bytes"))
	writeResponse(w, padTo(body, size), q.Has("chunked"), f.TruncateResponse)
}

// recordResponse stores the response for the next call, and returns it or, if swap is set, the one stored before.
func (t *Target) recordResponse(swap bool, id, body string) (string, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.lastResponse
	t.lastResponse = response{id, body}
	if !swap {
		return id, body
	}
	if previous.id == "" {
		return "another-request", body
	}
	return previous.id, previous.body
}

// padTo appends dots to s up to a size in bytes.
func padTo(s string, size int) []byte {
	b := []byte(s)
	for len(b) < size {
		b = append(b, '.')
	}
	return b
}

// writeResponse writes the body b; if truncate is set, it writes half of it and closes the connection.
func writeResponse(w http.ResponseWriter, b []byte, chunked, truncate bool) {
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	if truncate {
		_, _ = w.Write(b[:len(b)/2]) // the client sees the abort below in any case
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b) // a failed write shows on the client's side
}
