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

// RequestIDHeader carries the request id to a target, which repeats it in its answer.
const RequestIDHeader = "Toucanhatch-Request-Id"

// TargetFaults are the failures that a Target brings about; POST them as JSON to /fake/faults.
type TargetFaults struct {
	FailAll          bool   `json:"fail_all"`   // every request gets status 500 at once
	FailPath         string `json:"fail_path"`  // requests of this path get status 500
	Unresponsive     bool   `json:"silent"`     // requests are read but never answered
	SwapResponses    bool   `json:"crossed"`    // a request gets the answer to the one before it, with that one's id
	TruncateResponse bool   `json:"cut_answer"` // the answer's body ends early
	ExtraMillis      int64  `json:"extra_ms"`   // added to every run
}

// TargetStats is what a Target reports about itself at GET /fake/stats.
type TargetStats struct {
	InFlight    int            `json:"in_flight"`
	MaxInFlight int            `json:"max_in_flight"`
	Runs        map[string]int `json:"runs"` // by the X-Work-Id header of the caller
}

// Target is a fake worker: it enforces no limits, and counts what it runs.
// The query parameters sleep_ms and bytes of a request set its run time and the size of the answer;
// chunked leaves out the answer's length.
type Target struct {
	Name string

	mu     sync.Mutex
	faults TargetFaults
	stats  TargetStats
	last   crossedAnswer
}

type crossedAnswer struct{ id, answer string }

// NewTarget returns a target without faults.
func NewTarget(name string) *Target {
	return &Target{Name: name, stats: TargetStats{Runs: map[string]int{}}}
}

// SetFaults replaces the present faults.
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

// Handler serves work on every path but /healthz, /status and /fake/.
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Unresponsive {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get(RequestIDHeader)
	answer := fmt.Sprintf("%s %s work=%s body=%q\n", t.Name, r.URL.Path, r.Header.Get("X-Work-Id"), body)
	id, answer = t.cross(f.SwapResponses, id, answer)
	w.Header().Set(RequestIDHeader, id)
	if f.FailAll || f.FailPath != "" && f.FailPath == r.URL.Path {
		http.Error(w, "worker failed", http.StatusInternalServerError)
		return
	}
	q := r.URL.Query()
	sleepMillis, _ := strconv.ParseInt(q.Get("sleep_ms"), 10, 64)
	time.Sleep(time.Duration(sleepMillis+f.ExtraMillis) * time.Millisecond)
	size, _ := strconv.Atoi(q.Get("bytes"))
	writeAnswer(w, padTo(answer, size), q.Has("chunked"), f.TruncateResponse)
}

// cross keeps the answer and returns it, or the one before it.
func (t *Target) cross(swap bool, id, answer string) (string, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.last
	t.last = crossedAnswer{id, answer}
	if !swap {
		return id, answer
	}
	if before.id == "" {
		return "another-request", answer
	}
	return before.id, before.answer
}

func padTo(s string, size int) []byte {
	b := []byte(s)
	for len(b) < size {
		b = append(b, '.')
	}
	return b
}

func writeAnswer(w http.ResponseWriter, b []byte, chunked, cut bool) {
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	if cut {
		_, _ = w.Write(b[:len(b)/2]) // the abort below is what the reader sees
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b) // the connection's error shows on the reader's side
}
