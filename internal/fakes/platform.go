package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// Faults are the failures that a Platform brings about; POST them as JSON to /fake/faults.
type Faults struct {
	Outage       bool  `json:"outage"`        // every request gets status 503
	LoseAnswers  bool  `json:"lose_answers"`  // appends take effect, then the connection is cut
	DelayMillis  int64 `json:"delay_ms"`      // added to every request
	TrimBefore   int64 `json:"trim_before"`   // drops config and fleet records below this offset
	FreezeListed bool  `json:"freeze_listed"` // the live list stops following changes
}

// MaxRecord is the largest record that the log service accepts.
const MaxRecord = 256 * ident.KiB

// Platform is a fake of the log service and the live list.
type Platform struct {
	mu       sync.Mutex
	streams  map[plat.Stream]*stream
	listed   map[string]plat.ListedVM
	frozen   []plat.ListedVM
	frozenAt int
	faults   Faults
	actions  []Action
	changes  int // counts changes of the live list
}

// Action is a reboot or return that the platform was asked for.
type Action struct {
	VM    ident.VMID `json:"vm"`
	Verb  string     `json:"verb"`
	Epoch string     `json:"epoch"`
}

type stream struct {
	first   ident.Offset
	entries []plat.Entry
	grown   chan struct{} // closed and replaced at each append
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{streams: map[plat.Stream]*stream{}, listed: map[string]plat.ListedVM{}}
}

func (p *Platform) stream(name plat.Stream) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{first: 1, grown: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// SetFaults replaces the present faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeListed && !p.faults.FreezeListed {
		p.frozen, p.frozenAt = p.list(), p.changes
	}
	p.faults = f
	p.changes++ // freezing and thawing the list changes it
	for _, s := range p.streams {
		s.trim(ident.Offset(f.TrimBefore))
	}
}

func (s *stream) trim(before ident.Offset) {
	for s.first < before && len(s.entries) > 0 {
		s.entries = s.entries[1:]
		s.first++
	}
}

// SetVM adds or replaces one line of the live list.
func (p *Platform) SetVM(l plat.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[l.ID] = l
	p.changes++
}

// RemoveVM drops a VM from the live list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.listed, id)
	p.changes++
}

// Actions returns the reboots and returns asked for so far.
func (p *Platform) Actions() []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Action(nil), p.actions...)
}

func (p *Platform) list() []plat.ListedVM {
	out := make([]plat.ListedVM, 0, len(p.listed))
	for _, l := range p.listed {
		out = append(out, l)
	}
	return out
}

// Handler serves the platform's protocol and the fault controls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.faulty(p.append))
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.faulty(p.read))
	mux.HandleFunc("GET /v1/vms", p.faulty(p.getVMs))
	mux.HandleFunc("POST /v1/vms/{id}/{verb}", p.faulty(p.act))
	mux.HandleFunc("POST /fake/faults", p.postFaults)
	mux.HandleFunc("PUT /fake/vms", p.putVM)
	mux.HandleFunc("DELETE /fake/vms/{id}", func(_ http.ResponseWriter, r *http.Request) { p.RemoveVM(r.PathValue("id")) })
	mux.HandleFunc("GET /fake/actions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Actions()) })
	return mux
}

func (p *Platform) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.DelayMillis > 0 {
			time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		}
		if f.Outage {
			http.Error(w, "out of service", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
		if f.LoseAnswers && r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(MaxRecord)+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(data) > int(MaxRecord) {
		http.Error(w, "record is larger than 256 KiB", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	s := p.stream(plat.Stream(r.PathValue("stream")))
	off := s.first + ident.Offset(len(s.entries))
	s.entries = append(s.entries, plat.Entry{Offset: off, Time: time.Now(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	p.mu.Unlock()
	writeJSON(w, map[string]ident.Offset{"offset": off})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("max"))
	waitMillis, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMillis)*time.Millisecond)
	defer cancel()
	for {
		page, grown := p.page(plat.Stream(r.PathValue("stream")), ident.Offset(from), limit)
		if ident.Offset(from) < page.First {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, page)
			return
		}
		if len(page.Records) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			writeJSON(w, page)
			return
		}
	}
}

func (p *Platform) page(name plat.Stream, from ident.Offset, limit int) (plat.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := plat.Page{First: s.first, Next: s.first + ident.Offset(len(s.entries))}
	if from >= s.first && from < page.Next {
		rest := s.entries[from-s.first:]
		page.Records = rest[:min(limit, len(rest))]
	}
	return page, s.grown
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	all, etag := p.present()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	kind, zone := plat.Kind(r.URL.Query().Get("kind")), ident.ZoneID(r.URL.Query().Get("zone"))
	out := []plat.ListedVM{}
	for _, l := range all {
		if (kind == "" || kind == l.Kind) && (zone == "" || zone == l.Zone) {
			out = append(out, l)
		}
	}
	writeJSON(w, out)
}

// present returns the list that readers see now, and its entity tag.
func (p *Platform) present() ([]plat.ListedVM, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.FreezeListed {
		return p.frozen, fmt.Sprintf("\"frozen-%d\"", p.frozenAt)
	}
	return p.list(), fmt.Sprintf("\"%d\"", p.changes)
}

func (p *Platform) act(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.actions = append(p.actions, Action{VM: ident.VMID(r.PathValue("id")), Verb: r.PathValue("verb"), Epoch: r.URL.Query().Get("epoch")})
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var l plat.ListedVM
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVM(l)
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // the connection's error shows on the reader's side
}
