package hist

import (
	"sync"
	"testing"
	"time"
)

// Guards against durations that are lost when goroutines record at the same time, and against quantiles off by more than 10%.
func TestConcurrentRecords(t *testing.T) {
	var s Set[string]
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 1000 {
				s.Record("cutting", time.Duration(i+1)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	v, _ := s.byKey.Load("cutting")
	got := v.(*Histogram).Summary()
	if want := int64(8000); got.Count != want {
		t.Errorf("count = %d, want %d", got.Count, want)
	}
	for _, q := range []struct {
		name      string
		got, want int64
	}{{"p50", got.P50, 500_000}, {"p99", got.P99, 990_000}, {"max", got.Max, 1_000_000}} {
		if d := q.got - q.want; d < -q.want/10 || d > q.want/10 {
			t.Errorf("%s = %d us, want %d within 10%%", q.name, q.got, q.want)
		}
	}
}
