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

// Faults are the faults that a Platform injects. Handler sets them to the JSON body of POST /fake/faults.
type Faults struct {
	Outage        bool  `json:"outage"`        // every request is refused with status 503
	LoseResponses bool  `json:"lose_answers"`  // POST requests take effect, then the connection is closed without a response
	DelayMillis   int64 `json:"delay_ms"`      // delay of every request
	TrimBefore    int64 `json:"trim_before"`   // records below this offset are deleted from every stream
	FreezeVMList  bool  `json:"freeze_listed"` // the live list no longer changes
}

// MaxRecordSize is the size of the largest record that the log service accepts.
const MaxRecordSize = 256 * ident.KiB

// Platform is a fake of the platform's log service and of its live list of VMs.
type Platform struct {
	mu            sync.Mutex
	streams       map[plat.Stream]*stream
	vms           map[string]plat.ListedVM // the live list, by VM ID
	frozenVMs     []plat.ListedVM          // the list that clients see while FreezeVMList is set
	frozenVersion int                      // listVersion of frozenVMs
	faults        Faults
	actions       []Action
	listVersion   int // incremented at each change of the live list
}

// Action is a request to reboot or return a VM.
type Action struct {
	VM    ident.VMID `json:"vm"`
	Verb  string     `json:"verb"`
	Epoch string     `json:"epoch"`
}

// stream is one stream of the log service.
type stream struct {
	first    ident.Offset // of the oldest entry; entries are numbered without gaps
	entries  []plat.Entry
	appended chan struct{} // closed and replaced at each append
}

// NewPlatform returns a platform without records, VMs and faults.
func NewPlatform() *Platform {
	return &Platform{streams: map[plat.Stream]*stream{}, vms: map[string]plat.ListedVM{}}
}

func (p *Platform) stream(name plat.Stream) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{first: 1, appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeVMList && !p.faults.FreezeVMList {
		p.frozenVMs, p.frozenVersion = p.vmList(), p.listVersion
	}
	p.faults = f
	p.listVersion++ // setting or clearing FreezeVMList may change the visible list
	for _, s := range p.streams {
		s.trim(ident.Offset(f.TrimBefore))
	}
}

// trim deletes the records below an offset.
func (s *stream) trim(before ident.Offset) {
	for s.first < before && len(s.entries) > 0 {
		s.entries = s.entries[1:]
		s.first++
	}
}

// SetVM adds a VM to the live list or replaces its entry.
func (p *Platform) SetVM(l plat.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[l.ID] = l
	p.listVersion++
}

// RemoveVM removes a VM from the live list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
	p.listVersion++
}

// Actions returns the requests to reboot or return a VM that were received so far.
func (p *Platform) Actions() []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Action(nil), p.actions...)
}

func (p *Platform) vmList() []plat.ListedVM {
	out := make([]plat.ListedVM, 0, len(p.vms))
	for _, l := range p.vms {
		out = append(out, l)
	}
	return out
}

// Handler serves the HTTP interface of the platform and, below /fake/, the control of the fake.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.withFaults(p.append))
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.withFaults(p.read))
	mux.HandleFunc("GET /v1/vms", p.withFaults(p.getVMs))
	mux.HandleFunc("POST /v1/vms/{id}/{verb}", p.withFaults(p.postAction))
	mux.HandleFunc("POST /fake/faults", p.postFaults)
	mux.HandleFunc("PUT /fake/vms", p.putVM)
	mux.HandleFunc("DELETE /fake/vms/{id}", func(_ http.ResponseWriter, r *http.Request) { p.RemoveVM(r.PathValue("id")) })
	mux.HandleFunc("GET /fake/actions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Actions()) })
	return mux
}

// withFaults returns h with the injected faults applied to its requests.
func (p *Platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
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
		if f.LoseResponses && r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(MaxRecordSize)+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(data) > int(MaxRecordSize) {
		http.Error(w, "record is larger than 256 KiB", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	s := p.stream(plat.Stream(r.PathValue("stream")))
	off := s.first + ident.Offset(len(s.entries))
	s.entries = append(s.entries, plat.Entry{Offset: off, Time: time.Now(), Data: data})
	close(s.appended)
	s.appended = make(chan struct{})
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
		page, appended := p.page(plat.Stream(r.PathValue("stream")), ident.Offset(from), limit)
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
		case <-appended:
		case <-ctx.Done():
			writeJSON(w, page)
			return
		}
	}
}

// page returns the records of a stream from an offset on, and a channel that is closed at the next append.
func (p *Platform) page(name plat.Stream, from ident.Offset, limit int) (plat.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := plat.Page{First: s.first, Next: s.first + ident.Offset(len(s.entries))}
	if from >= s.first && from < page.Next {
		rest := s.entries[from-s.first:]
		page.Records = rest[:min(limit, len(rest))]
	}
	return page, s.appended
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	all, etag := p.visibleVMs()
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

// visibleVMs returns the live list as clients see it, and its entity tag.
func (p *Platform) visibleVMs() ([]plat.ListedVM, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.FreezeVMList {
		return p.frozenVMs, fmt.Sprintf("\"frozen-%d\"", p.frozenVersion)
	}
	return p.vmList(), fmt.Sprintf("\"%d\"", p.listVersion)
}

func (p *Platform) postAction(w http.ResponseWriter, r *http.Request) {
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
	_ = json.NewEncoder(w).Encode(v) // a failed write shows on the client's side
}
