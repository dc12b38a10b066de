package hist

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	shardCount        = 4
	lowest            = time.Microsecond
	highest           = time.Minute
	significantDigits = 1 // 2 would take seven times the memory
	quantileP50       = 50
	quantileP99       = 99
	quantileP999      = 99.9
)

// Histogram records durations. Its zero value is ready for use.
type Histogram struct {
	shards [shardCount]shard
}

type shard struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Record adds one duration; durations outside of 1 microsecond to 1 minute count as the nearest limit.
func (h *Histogram) Record(d time.Duration) {
	s := &h.shards[rand.N(shardCount)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.h == nil {
		s.h = newHDR()
	}
	_ = s.h.RecordValue(min(max(d, lowest), highest).Microseconds()) // fails only for values out of range
}

func newHDR() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest.Microseconds(), highest.Microseconds(), significantDigits)
}

// Summary describes the recorded durations in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// Summary returns a summary of the durations in all shards.
func (h *Histogram) Summary() Summary {
	all := newHDR()
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		if s.h != nil {
			all.Merge(s.h)
		}
		s.mu.Unlock()
	}
	return Summary{
		Count: all.TotalCount(), P50: all.ValueAtQuantile(quantileP50), P99: all.ValueAtQuantile(quantileP99),
		P999: all.ValueAtQuantile(quantileP999), Max: all.Max(),
	}
}

// Set holds one histogram for each key. Its zero value is ready for use.
type Set[K comparable] struct{ byKey sync.Map }

// Record adds one duration to the histogram of key.
func (s *Set[K]) Record(key K, d time.Duration) {
	v, ok := s.byKey.Load(key)
	if !ok {
		v, _ = s.byKey.LoadOrStore(key, &Histogram{})
	}
	v.(*Histogram).Record(d)
}

// Var returns the summaries by key as an expvar variable.
func (s *Set[K]) Var() expvar.Var {
	return expvar.Func(func() any {
		out := map[K]Summary{}
		s.byKey.Range(func(k, v any) bool {
			out[k.(K)] = v.(*Histogram).Summary()
			return true
		})
		return out
	})
}
