package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the platform's log, as in the settings of a small deployment.
const (
	partitionCount = 12
	appendTime     = 2 * time.Millisecond
	answerTime     = 2 * time.Millisecond // the rest of the 4 ms that an answer takes
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	pageItems      = 500
	pageBytes      = 1 << 20
	repeatedKept   = 5 // appends whose repeats get their first response again
)

// store is a stand-in of the platform's log.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition // by topic/part
	groups     map[string]*group
	busyUntil  time.Time // calls of the daemons get 503 before this time
	oversized  int       // records that were too large
	record     *journal
}

type logRecord struct {
	raw        []byte
	key, value string
}

type partition struct {
	turn      sync.Mutex // appends are processed one at a time
	mu        sync.Mutex
	records   []logRecord
	newest    map[string]int // offset of the newest record of each key with a value
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, seq int64
	begun      bool // an append of the epoch was made
	recent     []pastAppend
}

type pastAppend struct {
	epoch, seq  int64
	offset, end int
}

func newStore(j *journal) *store {
	return &store{partitions: map[string]*partition{}, groups: map[string]*group{}, record: j}
}

func (s *store) partition(topic string, part int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + strconv.Itoa(part)
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

// refuse makes all calls of the daemons fail with 503 for a time.
func (s *store) refuse(d time.Duration) {
	s.mu.Lock()
	s.busyUntil = time.Now().Add(d)
	s.mu.Unlock()
}

func (s *store) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.busyUntil)
}

// put writes a record of the operator or of a worker; a nil value removes the key.
func (s *store) put(topic, key string, v any) {
	value := ""
	if v != nil {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // only types that can be encoded are passed
		}
		value = string(b)
	}
	raw := append([]byte{byte(len(key))}, key+value...)
	s.partition(topic, 0).add([]logRecord{{raw, key, value}})
}

// value returns the newest value of a key; empty if there is none.
func (s *store) value(topic, key string) string {
	p := s.partition(topic, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.newest[key]; ok {
		return p.records[i].value
	}
	return ""
}

func (p *partition) add(records []logRecord) (offset, end int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	offset = len(p.records)
	for _, r := range records {
		if r.value == "" {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = len(p.records)
		}
		p.records = append(p.records, r)
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return offset, len(p.records)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if s.busy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, body)
	case "/-/log-newest":
		s.readNewest(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-join":
		s.join(w, body)
	case "/-/log-leave":
		s.leave(w, body)
	case "/-/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) addressed(r *http.Request) *partition {
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part")) // 0 if missing
	return s.partition(q.Get("topic"), part)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if len(body) > maxCallBytes {
		respond(w, http.StatusBadRequest, map[string]any{"reason": "call"})
		return
	}
	var records []logRecord
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			respond(w, http.StatusBadRequest, map[string]any{"reason": "frame"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes {
			s.mu.Lock()
			s.oversized++
			first := s.oversized == 1
			s.mu.Unlock()
			if first {
				s.record.line("store", "refuses an append: a record of %d bytes, max-record-bytes is %d", n, maxRecordBytes)
			}
			respond(w, http.StatusBadRequest, map[string]any{"reason": "record"})
			return
		}
		if n < 1 || len(rest) < 4+n || int(rest[4]) > n-1 {
			respond(w, http.StatusBadRequest, map[string]any{"reason": "frame"})
			return
		}
		raw, k := rest[4:4+n], int(rest[4])
		records = append(records, logRecord{raw, string(raw[1 : 1+k]), string(raw[1+k:])})
		rest = rest[4+n:]
	}
	p := s.addressed(r)
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime)
	name := q.Get("producer")
	if name == "" {
		offset, end := p.add(records)
		respond(w, http.StatusOK, map[string]any{"offset": offset, "end-offset": end})
		return
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64) // 0 if missing
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	x := p.producers[name]
	if x == nil {
		x = &producer{}
		p.producers[name] = x
	}
	if len(records) > 0 {
		for _, past := range x.recent {
			if past.epoch == epoch && past.seq == seq {
				respond(w, http.StatusOK, map[string]any{"offset": past.offset, "end-offset": past.end})
				return
			}
		}
	}
	switch {
	case epoch < x.epoch:
		respond(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case epoch > x.epoch:
		x.epoch, x.begun = epoch, false
	}
	if len(records) == 0 {
		end := p.end()
		respond(w, http.StatusOK, map[string]any{"offset": end, "end-offset": end})
		return
	}
	if x.begun && seq != x.seq+1 {
		respond(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": x.seq + 1})
		return
	}
	offset, end := p.add(records)
	x.seq, x.begun = seq, true
	x.recent = append(x.recent[max(0, len(x.recent)-repeatedKept+1):], pastAppend{epoch, seq, offset, end})
	respond(w, http.StatusOK, map[string]any{"offset": offset, "end-offset": end})
}

func (p *partition) end() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.records)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	p, after := s.addressed(r), r.URL.Query().Get("depends-on")
	p.mu.Lock()
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		x := p.records[p.newest[k]]
		if len(items) == pageItems || len(items) > 0 && size+len(x.raw) > pageBytes {
			more = true
			break
		}
		size += len(x.raw)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString([]byte(x.value)), "offset": p.newest[k]})
	}
	end := len(p.records)
	p.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end-offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	p, q := s.addressed(r), r.URL.Query()
	from, _ := strconv.Atoi(q.Get("range-start")) // 0 if missing
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	limit, _ := strconv.Atoi(q.Get("max-kb"))
	if limit <= 0 {
		limit = 1024
	}
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		p.mu.Lock()
		end, changed := len(p.records), p.changed
		if from < end || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end; i++ {
				raw := p.records[i].raw
				if len(out) > 16 && len(out)+len(raw) > limit<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
				out = append(out, raw...)
			}
			p.mu.Unlock()
			_, _ = w.Write(out) // fails only if the daemon has gone
			return
		}
		p.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// group deals the partitions of its topics out to its members. A partition passes on once its holder has confirmed a
// generation in which it is no longer its own, has left, or has been silent for its ttl.
type group struct {
	generation int64
	topics     map[string]bool
	members    map[string]*member
	wanted     map[topicPart]string // the even distribution
	held       map[topicPart]string
	heldSince  map[topicPart]int64 // generation
}

type topicPart struct {
	topic string
	part  int
}

type member struct {
	expires time.Time
	since   int64 // generation in which it joined
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member-id"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl-ms"`
	Generation int64    `json:"generation"`
}

func (s *store) groupOf(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{topics: map[string]bool{}, members: map[string]*member{}, wanted: map[topicPart]string{}, held: map[topicPart]string{}, heldSince: map[topicPart]int64{}}
		s.groups[name] = g
	}
	return g
}

// deal computes the even distribution anew; members keep what they have as far as it is even.
func (g *group) deal() {
	g.generation++
	var names []string
	for id := range g.members {
		names = append(names, id)
	}
	sort.Strings(names)
	var parts []topicPart
	for t := range g.topics {
		for n := range partitionCount {
			parts = append(parts, topicPart{t, n})
		}
	}
	sort.Slice(parts, func(i, k int) bool {
		return parts[i].topic < parts[k].topic || parts[i].topic == parts[k].topic && parts[i].part < parts[k].part
	})
	old := g.wanted
	g.wanted = map[topicPart]string{}
	if len(names) == 0 {
		return
	}
	most, counts := (len(parts)+len(names)-1)/len(names), map[string]int{}
	for _, p := range parts {
		if id := old[p]; g.members[id] != nil && counts[id] < most {
			g.wanted[p] = id
			counts[id]++
		}
	}
	for _, p := range parts {
		if g.wanted[p] != "" {
			continue
		}
		least := names[0]
		for _, id := range names {
			if counts[id] < counts[least] {
				least = id
			}
		}
		g.wanted[p] = least
		counts[least]++
	}
}

// settle passes free partitions on.
func (g *group) settle(now time.Time) {
	changed := false
	for id, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, id)
			changed = true
		}
	}
	for p, id := range g.held {
		if g.members[id] == nil {
			delete(g.held, p)
		}
	}
	if changed {
		g.deal()
	}
	passed := false
	for p, id := range g.wanted {
		if g.held[p] == "" {
			passed = true
			g.held[p] = id
			g.heldSince[p] = g.generation + 1
		}
	}
	if passed {
		g.generation++
	}
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var in joinRequest
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, g := time.Now(), s.groupOf(in.Group)
	g.settle(now)
	m := g.members[in.Member]
	if m == nil {
		m = &member{}
		g.members[in.Member] = m
		for _, t := range in.Topics {
			g.topics[t] = true
		}
		g.deal()
		m.since = g.generation
	}
	m.expires = now.Add(time.Duration(in.TTL) * time.Millisecond)
	if in.Generation >= g.generation {
		for p, id := range g.held {
			if id == in.Member && g.wanted[p] != id {
				delete(g.held, p)
			}
		}
	}
	g.settle(now)
	parts := [][]any{}
	for p, id := range g.held {
		if id == in.Member && g.wanted[p] == id {
			parts = append(parts, []any{p.topic, p.part, 0})
		}
	}
	respond(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var in joinRequest
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(in.Group)
	if g.members[in.Member] != nil {
		delete(g.members, in.Member)
		g.deal()
	}
	g.settle(time.Now())
	respond(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(r.URL.Query().Get("group"))
	g.settle(time.Now())
	parts := [][]any{}
	for p, id := range g.held {
		parts = append(parts, []any{p.topic, p.part, id, 0})
	}
	respond(w, http.StatusOK, map[string]any{"parts": parts})
}

func respond(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // only types that can be encoded are passed
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the other side has gone
}
