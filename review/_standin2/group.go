package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/plog"
)

// group is the log's consumer group. Partitions are spread evenly; one that a member has to give up is assigned to another
// member once it has joined with the new generation, has left, or has been silent for its ttl.
type group struct {
	mu         sync.Mutex
	generation int64
	members    map[string]*member
	topic      string
	holders    [partitions]string // member that holds the partition; empty if none
	wanted     [partitions]string // member that is to hold it
	// ownerOf holds the member that held a partition in a generation.
	ownerOf map[generationPart]string
	// prefer, if set, returns the prefix of the member that gets a partition that moves, if it is below its share.
	prefer func(part int) string
}

type generationPart struct {
	generation int64
	part       int
}

type member struct {
	expires time.Time
	seen    int64 // generation with which it joined last
}

func newGroup() *group {
	return &group{members: map[string]*member{}, ownerOf: map[generationPart]string{}}
}

type groupRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member-id"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl-ms"`
	Generation int64    `json:"generation"`
}

// spread assigns the partitions evenly, and moves as few as it can. The caller holds g.mu.
func (g *group) spread() {
	var ids []string
	for id := range g.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	g.generation++
	if len(ids) == 0 {
		g.wanted = [partitions]string{}
		return
	}
	most := (partitions + len(ids) - 1) / len(ids)
	count := map[string]int{}
	for p, id := range g.wanted {
		if g.members[id] == nil || count[id] == most {
			g.wanted[p] = ""
			continue
		}
		count[id]++
	}
	if g.prefer != nil {
		for p := range g.wanted {
			for _, x := range ids {
				if want := g.prefer(p); want == "" || !strings.HasPrefix(x, want) || x == g.wanted[p] {
					continue
				}
				if id := g.wanted[p]; id != "" {
					count[id]--
				}
				g.wanted[p] = x
				if count[x]++; count[x] > most { // it gives another one up
					for q := range g.wanted {
						if q != p && g.wanted[q] == x {
							g.wanted[q] = ""
							count[x]--
							break
						}
					}
				}
			}
		}
	}
	for p, id := range g.wanted {
		if id == "" {
			least := ids[0]
			for _, x := range ids {
				if count[x] < count[least] {
					least = x
				}
			}
			g.wanted[p] = least
			count[least]++
		}
	}
}

// expire drops the members that have been silent. The caller holds g.mu.
func (g *group) expire() {
	changed := false
	for id, m := range g.members {
		if time.Now().After(m.expires) {
			g.drop(id)
			changed = true
		}
	}
	if changed {
		g.spread()
	}
}

func (g *group) drop(id string) {
	delete(g.members, id)
	for p := range g.holders {
		if g.holders[p] == id {
			g.holders[p] = ""
		}
	}
}

func (g *group) join(w http.ResponseWriter, r *http.Request) {
	var in groupRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Member == "" || len(in.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.topic = in.Topics[0]
	g.expire()
	m := g.members[in.Member]
	if m == nil {
		m = &member{}
		g.members[in.Member] = m
		g.spread()
	}
	m.expires, m.seen = time.Now().Add(time.Duration(in.TTL)*time.Millisecond), in.Generation
	parts := [][]any{}
	for p := range g.holders {
		if g.holders[p] == in.Member && g.wanted[p] != in.Member && in.Generation >= g.generation {
			g.holders[p] = "" // the member knows that it has to give the partition up
		}
		if g.holders[p] == "" && g.wanted[p] == in.Member {
			g.holders[p] = in.Member
		}
		if g.holders[p] == in.Member && g.wanted[p] == in.Member {
			parts = append(parts, []any{g.topic, p, 0})
			g.ownerOf[generationPart{g.generation, p}] = in.Member
		}
	}
	respond(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

func (g *group) leave(w http.ResponseWriter, r *http.Request) {
	var in groupRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[in.Member] != nil {
		g.drop(in.Member)
		g.spread()
	}
	respond(w, http.StatusOK, map[string]any{})
}

func (g *group) owners(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
	parts := [][]any{}
	for p, id := range g.holders {
		if id != "" {
			parts = append(parts, []any{g.topic, p, id, 0})
		}
	}
	respond(w, http.StatusOK, map[string]any{"parts": parts})
}

// allOwned reports whether each partition is held by the member that is to hold it.
func (g *group) allOwned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holders == g.wanted && g.holders[0] != "" && len(g.members) == len(zones)
}

// holder returns the member that holds a partition.
func (g *group) holder(p plog.TopicPartition) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if strings.TrimPrefix(g.topic, "keyed.") != string(p.Topic) {
		return ""
	}
	return g.holders[p.Partition]
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// reassign assigns all partitions anew, as the log does at times without any request.
func (g *group) reassign() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spread()
}
