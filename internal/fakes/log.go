package fakes

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Log is an in-memory plog.Log. Its zero value is ready for use.
type Log struct {
	// BeforeCall, if set, runs before each call of Append, Newest, Read, End (as a read) and Join, and makes the call fail if it
	// returns an error. An append that fails takes effect only if apply is set; other calls that fail have no effect.
	// For Join, to is zero.
	BeforeCall func(call string, to plog.TopicPartition) (apply bool, err error)
	// Partitions is the number of partitions of each topic; 0 means 1.
	Partitions int
	// PageRecords and PageBytes limit a page of the newest records; 0 means 50 records and no limit on their size.
	PageRecords, PageBytes int

	mu         sync.Mutex
	partitions map[plog.TopicPartition]*fakePartition
	groups     map[string]*fakeGroup
}

type fakePartition struct {
	records       []plog.Record     // all records in the order of their appends
	newest        map[string][]byte // newest value of each key that has one
	epoch         plog.Epoch
	seq           int64         // of the last append; -1 once a new epoch is set without an append
	recentWriters []plog.Writer // of the last appends; a repeat of one has no effect and succeeds
	changed       chan struct{} // closed and replaced at each append
}

// keep makes a record the newest of its key.
func (p *fakePartition) keep(r plog.Record) {
	if len(r.Value) == 0 {
		delete(p.newest, r.Key)
	} else {
		p.newest[r.Key] = r.Value
	}
}

// maxRecentWriters is the number of appends whose repeats a partition recognizes.
const maxRecentWriters = 5

type fakeGroup struct {
	generation plog.Generation
	members    map[plog.MemberID]time.Time // the time at which each membership expires
	topics     map[plog.Topic]bool
	assigned   map[plog.TopicPartition]plog.MemberID
}

func (l *Log) partition(p plog.TopicPartition) *fakePartition {
	if l.partitions == nil {
		l.partitions = map[plog.TopicPartition]*fakePartition{}
	}
	x := l.partitions[p]
	if x == nil {
		x = &fakePartition{newest: map[string][]byte{}, changed: make(chan struct{})}
		l.partitions[p] = x
	}
	return x
}

// runHook calls BeforeCall, if it is set, and reports whether the call is to take effect.
func (l *Log) runHook(call string, to plog.TopicPartition) (bool, error) {
	if l.BeforeCall == nil {
		return true, nil
	}
	apply, err := l.BeforeCall(call, to)
	return apply || err == nil, err
}

// Append implements plog.Log.
func (l *Log) Append(_ context.Context, to plog.TopicPartition, w plog.Writer, records []plog.Record) error {
	apply, injected := l.runHook("append", to)
	if !apply {
		return injected
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(to)
	switch {
	case w.Name == "": // neither fenced nor checked for repeats
		w.Epoch, w.Seq = p.epoch, p.seq
	case len(records) > 0 && slices.Contains(p.recentWriters, w):
		return injected // a repeat, recognized also after a later writer has taken over
	case w.Epoch < p.epoch:
		return cmp.Or(injected, plog.ErrFenced)
	case len(records) == 0: // sets the epoch and has no sequence number
		if w.Epoch > p.epoch {
			p.epoch, p.seq = w.Epoch, -1
		}
		return injected
	case w.Epoch == p.epoch && p.seq < 0: // the first append of an epoch may have any sequence number
	case w.Epoch == p.epoch && w.Seq != p.seq+1:
		return &plog.SeqError{Expected: p.seq + 1}
	}
	p.epoch, p.seq = w.Epoch, w.Seq
	if w.Name != "" {
		p.recentWriters = append(p.recentWriters[max(0, len(p.recentWriters)-maxRecentWriters+1):], w)
	}
	for _, r := range records {
		p.records = append(p.records, r)
		p.keep(r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return injected
}

// Truncate removes the records of a partition from an offset on, as a log does that is restored from an older copy.
func (l *Log) Truncate(p plog.TopicPartition, end ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.partition(p)
	x.records = x.records[:end:end]
	x.newest = map[string][]byte{}
	for _, r := range x.records {
		x.keep(r)
	}
}

// Newest implements plog.Log.
func (l *Log) Newest(_ context.Context, from plog.TopicPartition, after string) (plog.Page, error) {
	if apply, err := l.runHook("newest", from); !apply || err != nil {
		return plog.Page{}, err
	}
	const defaultPageRecords = 50
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(from)
	page := plog.Page{End: ident.Offset(len(p.records))}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after {
			continue
		}
		size += len(key) + len(p.newest[key])
		if n := len(page.Records); n == cmp.Or(l.PageRecords, defaultPageRecords) || n > 0 && l.PageBytes > 0 && size > l.PageBytes {
			page.More = true
			break
		}
		page.Records = append(page.Records, plog.Record{Key: key, Value: p.newest[key]})
	}
	return page, nil
}

// Read implements plog.Log.
func (l *Log) Read(ctx context.Context, from plog.TopicPartition, offset ident.Offset, wait time.Duration) (plog.Batch, error) {
	if apply, err := l.runHook("read", from); !apply || err != nil {
		return plog.Batch{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		p := l.partition(from)
		if int(offset) < len(p.records) {
			b := plog.Batch{Records: slices.Clone(p.records[offset:]), Next: ident.Offset(len(p.records)), End: ident.Offset(len(p.records))}
			l.mu.Unlock()
			return b, nil
		}
		changed, end := p.changed, ident.Offset(len(p.records))
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return plog.Batch{Next: offset, End: end}, nil
		}
	}
}

// End implements plog.Log.
func (l *Log) End(_ context.Context, from plog.TopicPartition) (ident.Offset, error) {
	if apply, err := l.runHook("read", from); !apply || err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return ident.Offset(len(l.partition(from).records)), nil
}

// Join implements plog.Log.
func (l *Log) Join(_ context.Context, m plog.Membership) (plog.Assignment, error) {
	if apply, err := l.runHook("join", plog.TopicPartition{}); !apply || err != nil {
		return plog.Assignment{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groups = map[string]*fakeGroup{}
	}
	g := l.groups[m.Group]
	if g == nil {
		g = &fakeGroup{members: map[plog.MemberID]time.Time{}, topics: map[plog.Topic]bool{}}
		l.groups[m.Group] = g
	}
	_, member := g.members[m.Member]
	g.members[m.Member] = time.Now().Add(m.TTL)
	for _, t := range m.Topics {
		g.topics[t] = true
	}
	if g.removeExpired() || !member {
		g.assign(max(1, l.Partitions))
	}
	return g.assignment(m.Member), nil
}

// removeExpired removes the members whose membership has expired and reports whether there were any.
func (g *fakeGroup) removeExpired() bool {
	removed := false
	for id, expiry := range g.members {
		if time.Now().After(expiry) {
			delete(g.members, id)
			removed = true
		}
	}
	return removed
}

// assign starts a new generation and assigns the partitions to the members in turn, in the order of their names.
func (g *fakeGroup) assign(partitions int) {
	g.generation++
	g.assigned = map[plog.TopicPartition]plog.MemberID{}
	members := slices.Sorted(maps.Keys(g.members))
	if len(members) == 0 {
		return
	}
	for topic := range g.topics {
		for n := range partitions {
			g.assigned[plog.TopicPartition{Topic: topic, Partition: plog.Partition(n)}] = members[n%len(members)]
		}
	}
}

func (g *fakeGroup) assignment(id plog.MemberID) plog.Assignment {
	a := plog.Assignment{Generation: g.generation}
	for p, holder := range g.assigned {
		if holder == id {
			a.Partitions = append(a.Partitions, p)
		}
	}
	return a
}

// Leave implements plog.Log.
func (l *Log) Leave(_ context.Context, m plog.Membership) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.groups[m.Group]; g != nil {
		delete(g.members, m.Member)
		g.assign(max(1, l.Partitions))
	}
	return nil
}

// Holders implements plog.Log.
func (l *Log) Holders(_ context.Context, group string) ([]plog.Holder, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []plog.Holder
	if g := l.groups[group]; g != nil {
		for p, id := range g.assigned {
			out = append(out, plog.Holder{TopicPartition: p, Member: id})
		}
	}
	return out, nil
}
