package broker

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against a broker that takes the share of a silent entry's group before that group has shrunk to its own, and
// against one that waits for the longest request although the target reports that nothing runs. Random
// schedules rarely meet these moments.
func TestShareAfterReport(t *testing.T) {
	start := time.Unix(1e6, 0)
	c := NewCore("p", "z", "a", 1, start)
	c.SetMembers(start, []ident.EntryID{"a", "silent"}, nil, nil)
	c.SetTargets(start, 0, []Target{{ID: "t1", Slots: 8, Serving: true}})
	z := newZoneClient("p", "z", 1, start)
	z.switchBroker(start, "a", func(ident.EntryID) bool { return false })
	now := start
	// pass lets the entry renew its registration while it waits for eight permits.
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(min(renewInterval, end.Sub(now))) {
			exchange(c, z, now, poolDemand{normal: 8})
		}
		exchange(c, z, now, poolDemand{normal: 8})
	}
	report := func(asked time.Time, running int) int {
		c.HandleStatus(now, asked, "t1", running)
		pass(renewInterval)
		return len(c.holders["a"].permits)
	}
	pass(shrinkTime - time.Second)
	if got := report(now, 0); got != 0 {
		t.Errorf("permits after a report before the shrink time = %d, want 0", got)
	}
	early := now
	pass(time.Second)
	for _, step := range []struct {
		name    string
		asked   time.Time
		running int
		want    int
	}{
		{"report asked for too early", early, 0, 0},
		{"more run than the share of the silent entry", now, 5, 0},
		{"within the share", now, 4, 4},
		{"later reports take nothing back", now, 8, 4},
	} {
		if got := report(step.asked, step.running); got != step.want {
			t.Errorf("%s: permits = %d, want %d", step.name, got, step.want)
		}
	}
}
