package broker

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against a broker that grants its share of the slots before the entries that are not registered with it have
// reduced their use to their own share, and against one that waits for the longest request although the target reports
// that nothing runs. The random schedules of TestSlotsAreNeverExceeded rarely reach these moments.
func TestShareAfterStatusReport(t *testing.T) {
	start := time.Unix(1e6, 0)
	c := NewCore("p", "z", "a", 1, start)
	c.SetMembers(start, []ident.EntryID{"a", "silent"}, nil, nil)
	c.SetTargets(start, 0, []Target{{ID: "t1", Slots: 8, Serving: true}})
	z := newZoneClient("p", "z", 1, start)
	z.switchBroker(start, "a", func(ident.EntryID) bool { return false })
	now := start
	// advance lets time pass while the entry renews its registration and waits for eight permits.
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(min(renewInterval, end.Sub(now))) {
			exchange(c, z, now, poolDemand{normal: 8})
		}
		exchange(c, z, now, poolDemand{normal: 8})
	}
	report := func(asked time.Time, running int) int {
		c.HandleStatus(now, asked, "t1", running)
		advance(renewInterval)
		return len(c.holders["a"].permits)
	}
	advance(shrinkTime - time.Second)
	if got := report(now, 0); got != 0 {
		t.Errorf("permits after a report before the shrink time = %d, want 0", got)
	}
	early := now
	advance(time.Second)
	for _, step := range []struct {
		name    string
		asked   time.Time
		running int
		want    int
	}{
		{"report asked for too early", early, 0, 0},
		{"more requests than the share of the silent entry", now, 5, 0},
		{"within the share", now, 4, 4},
		{"later reports revoke nothing", now, 8, 4},
	} {
		if got := report(step.asked, step.running); got != step.want {
			t.Errorf("%s: permits = %d, want %d", step.name, got, step.want)
		}
	}
}
