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

// Guards against counts that leave the windows late or never, which would
// show a burn long after the fault has ended.
func TestWindowsForget(t *testing.T) {
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
		{"at once", 0, 10, 10},
		{"past the short window", ShortWindow, 0, 10},
		{"past the long window", LongWindow, 0, 0},
	}
	for _, tt := range tests {
		c.Advance(tt.advance)
		lines := Report(m.Sample(pools), c.Now())
		if got, want := len(lines), 1; got != want {
			t.Fatalf("%s: lines = %d, want %d", tt.name, got, want)
		}
		if got := lines[0].ShortBurn; math.Abs(got-tt.short) > 1e-9 {
			t.Errorf("%s: short burn = %v, want %v", tt.name, got, tt.short)
		}
		if got := lines[0].LongBurn; math.Abs(got-tt.long) > 1e-9 {
			t.Errorf("%s: long burn = %v, want %v", tt.name, got, tt.long)
		}
	}
}

// Guards against a report that leaves out an entry's requests, names the wrong
// spender or blames the pool for callers' mistakes.
func TestReportMergesEntries(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	obj := fleet.Objective{Availability: 0.9}
	hour := time.Hour.Milliseconds()
	lines := Report([]Sample{
		{Pool: "cutting", Objective: obj, Short: Counts{Good: 8, NotRun: 2}, Long: Counts{Good: 80, NotRun: 5, CallerError: 50}, CoversMillis: hour},
		{Pool: "cutting", Objective: obj, Short: Counts{Good: 8, Slow: 2}, Long: Counts{Good: 80, Slow: 35}, CoversMillis: hour},
	}, now)
	got := lines[0]
	if want := uint64(200); got.Requests != want {
		t.Errorf("requests = %d, want %d", got.Requests, want)
	}
	if want := 2.0; math.Abs(got.ShortBurn-want) > 1e-9 {
		t.Errorf("short burn = %v, want %v", got.ShortBurn, want)
	}
	if want := (CauseCount{Cause: Slow, Requests: 35}); got.BadByCause[0] != want {
		t.Errorf("first spender = %v, want %v", got.BadByCause[0], want)
	}
	if got.BudgetEnd == nil {
		t.Fatal("budget end is missing at twice the allowed rate")
	}
	want := float64(Period) * (1 - got.SpentShare) / 2
	if d := got.BudgetEnd.Sub(now); math.Abs(float64(d)-want) > float64(2*time.Second) {
		t.Errorf("budget ends after %v, want %v", d, time.Duration(want))
	}
}
