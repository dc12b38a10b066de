package burn

import (
	"math"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
)

var pools = []fleet.Pool{
	{ID: "cutting", Objective: fleet.Objective{Availability: 0.99}},
	{ID: "members-office"},
}

// Guards against counts that stay in a window for too long, which would report a burn rate
// long after the failure has ended.
func TestOldCountsLeaveWindows(t *testing.T) {
	c := clock.NewManual(time.Unix(1_000_000, 0))
	m := NewMeter(c)
	for range 90 {
		m.Count("cutting", Good)
	}
	for range 10 {
		m.Count("cutting", Unknown)
	}
	tests := []struct {
		name        string
		advance     time.Duration
		short, long float64
	}{
		{"no time passed", 0, 10, 10},
		{"past the short window", ShortWindow, 0, 10},
		{"past the long window", LongWindow, 0, 0},
	}
	for _, tt := range tests {
		c.Advance(tt.advance)
		reports := Report(m.Sample(pools), c.Now())
		if got, want := len(reports), 1; got != want {
			t.Fatalf("%s: number of pool reports = %d, want %d", tt.name, got, want)
		}
		if got := reports[0].ShortBurn; math.Abs(got-tt.short) > 1e-9 {
			t.Errorf("%s: burn rate of the short window = %v, want %v", tt.name, got, tt.short)
		}
		if got := reports[0].LongBurn; math.Abs(got-tt.long) > 1e-9 {
			t.Errorf("%s: burn rate of the long window = %v, want %v", tt.name, got, tt.long)
		}
	}
}

// Guards against a report that leaves out an entry's requests, sorts the causes wrongly
// or counts caller errors against the pool.
func TestReportMergesEntries(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	obj := fleet.Objective{Availability: 0.9}
	hour := time.Hour.Milliseconds()
	reports := Report([]Sample{
		{Pool: "cutting", Objective: obj, Short: Counts{Good: 8, NotRun: 2}, Long: Counts{Good: 80, NotRun: 5, CallerError: 50}, CoversMillis: hour},
		{Pool: "cutting", Objective: obj, Short: Counts{Good: 8, Slow: 2}, Long: Counts{Good: 80, Slow: 35}, CoversMillis: hour},
	}, now)
	got := reports[0]
	if want := uint64(200); got.Requests != want {
		t.Errorf("requests = %d, want %d", got.Requests, want)
	}
	if want := 2.0; math.Abs(got.ShortBurn-want) > 1e-9 {
		t.Errorf("burn rate of the short window = %v, want %v", got.ShortBurn, want)
	}
	if want := (CauseCount{Cause: Slow, Requests: 35}); got.BadByCause[0] != want {
		t.Errorf("most frequent cause = %v, want %v", got.BadByCause[0], want)
	}
	if got.BudgetEnd == nil {
		t.Fatal("BudgetEnd is not set at a burn rate of 2")
	}
	want := float64(BudgetPeriod) * (1 - got.SpentShare) / 2
	if d := got.BudgetEnd.Sub(now); math.Abs(float64(d)-want) > float64(2*time.Second) {
		t.Errorf("budget is spent after %v, want %v", d, time.Duration(want))
	}
}
