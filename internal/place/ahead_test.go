package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// fixture is a book with its candidates and the runs on them.
type fixture struct {
	book       Book[string]
	now        time.Time
	candidates []Candidate
	ends       [][]RunEnd
}

func newFixture(targets int) *fixture {
	f := &fixture{now: time.Unix(1_700_000_000, 0)}
	f.book.Policy = Policy{MaxShare: 0.25, Horizon: time.Second, Grace: 200 * time.Millisecond, MaxDelay: 100 * time.Millisecond, MaxRefusal: time.Second}
	whole := work.Resources{CPU: 16000, Memory: 16384}
	for i := range targets {
		f.candidates = append(f.candidates, Candidate{ID: work.TargetID(fmt.Sprintf("t%02d", i)), Free: whole, Capacity: whole, Zone: "z"})
		f.ends = append(f.ends, nil)
	}
	return f
}

// run adds a run to a target.
func (f *fixture) run(k int, cpu work.Millicores, after time.Duration) {
	holds := work.Resources{CPU: cpu, Memory: work.Mebibytes(cpu)}
	f.candidates[k].Free = f.candidates[k].Free.Minus(holds)
	f.candidates[k].Busy = true
	f.ends[k] = append(f.ends[k], RunEnd{holds, after})
}

func (f *fixture) begin(after time.Duration) []Ended[string] {
	f.now = f.now.Add(after)
	return f.book.Begin(f.now, f.candidates, func(id work.TargetID) int {
		return slices.IndexFunc(f.candidates, func(c Candidate) bool { return c.ID == id })
	}, func(k int, within time.Duration) []RunEnd {
		return slices.DeleteFunc(slices.Clone(f.ends[k]), func(e RunEnd) bool { return e.After > within })
	})
}

func (f *fixture) reserve(holder string, count int, cpu work.Millicores, change ...func(*Request[string])) []*Reservation[string] {
	q := Request[string]{Holder: holder, Count: count, Task: Task{Need: work.Resources{CPU: cpu, Memory: work.Mebibytes(cpu)}}, Allowed: func(work.TargetID) bool { return true }}
	for _, c := range change {
		c(&q)
	}
	return f.book.Reserve(q)
}

func targetsOf(list []*Reservation[string]) []work.TargetID {
	var out []work.TargetID
	for _, r := range list {
		out = append(out, r.Target)
	}
	slices.Sort(out)
	return out
}

// full returns a fixture of 8 targets that each run four tasks of 4 cores; those of target k end after (k+1) x 100 ms, one
// after the other.
func full() *fixture {
	f := newFixture(8)
	for k := range f.candidates {
		for i := range 4 {
			f.run(k, 4000, time.Duration((k+1)*(i+1))*100*time.Millisecond)
		}
	}
	f.begin(0)
	return f
}

// Guards against a reservation on a target that is free later than another one.
func TestReservesWhereEnoughEndsSoonest(t *testing.T) {
	f := full()
	got := f.reserve("large", 1, 8000)
	if len(got) != 1 || got[0].Target != "t00" {
		t.Fatalf("reserved %v, want t00", targetsOf(got))
	}
	if due := got[0].Due.Sub(f.now); due != 200*time.Millisecond {
		t.Errorf("due in %v, want 200ms, when two of four tasks have ended", due)
	}
}

// Guards against reservations on targets that place.Best would not choose or could not use.
func TestReservationsFollowTheRulesOfPlaces(t *testing.T) {
	for _, test := range []struct {
		name   string
		target func(*Candidate) // applied to t00 and t01, which are free first
		task   func(*Request[string])
	}{
		{"label", func(c *Candidate) { c.Labels = []string{"b"} }, func(q *Request[string]) { q.Task.Label = "a" }},
		{"zone", func(c *Candidate) { c.Zone = "y" }, func(q *Request[string]) { q.Task.Zone = "z" }},
		{"rack", func(c *Candidate) { c.Rack = "far" }, func(q *Request[string]) { q.Task.Rack = "near" }},
		{"suspect", func(c *Candidate) { c.Suspect = true }, nil},
		{"tasks per target", func(c *Candidate) { c.SameStep = 1 }, func(q *Request[string]) { q.Task.MaxPerTarget = 1 }},
		{"no ticket", nil, func(q *Request[string]) {
			q.Allowed = func(id work.TargetID) bool { return id != "t00" && id != "t01" }
		}},
		{"too small", func(c *Candidate) { c.Capacity.Memory = 4096 }, nil},
		{"service tasks for each step", func(c *Candidate) { c.SameStep = 1 }, func(q *Request[string]) { q.Task.Service = true }},
	} {
		f := full()
		for k := range f.candidates {
			f.candidates[k].Labels, f.candidates[k].Rack = []string{"a"}, "near"
			if k < 2 && test.target != nil {
				test.target(&f.candidates[k])
			}
		}
		var change []func(*Request[string])
		if test.task != nil {
			change = append(change, test.task)
		}
		got := f.reserve("large", 1, 8000, change...)
		if len(got) != 1 || got[0].Target != "t02" {
			t.Errorf("%s: reserved %v, want t02", test.name, targetsOf(got))
		}
	}
	f := full()
	if got := f.reserve("large", 1, 8000, func(q *Request[string]) { q.Task.Avoid = "t00" }); len(got) != 1 || got[0].Target != "t01" {
		t.Errorf("the target to avoid: reserved %v, want t01", targetsOf(got))
	}
}

// Guards against places that wait for service tasks, which don't end.
func TestNoReservationBehindServiceTasks(t *testing.T) {
	f := newFixture(4)
	for k := range f.candidates {
		f.run(k, 12000, Never)
	}
	f.begin(0)
	if got := f.reserve("large", 1, 8000); len(got) != 0 {
		t.Errorf("reserved %v, want none", targetsOf(got))
	}
}

// Guards against a gang with places for some of its members only, which would keep them from others for nothing.
func TestGangIsReservedAsAWhole(t *testing.T) {
	gang := func(q *Request[string]) { q.Gang = true }
	f := full() // two targets may be reserved
	if got := f.reserve("gang", 5, 8000, gang); len(got) != 0 {
		t.Errorf("reserved %v for a gang of 5, want none: it needs three targets", targetsOf(got))
	}
	got := f.reserve("gang", 4, 8000, gang)
	if want := []work.TargetID{"t00", "t01"}; !slices.Equal(targetsOf(got), want) || f.book.Reserved("gang") != 4 {
		t.Errorf("reserved %v for %d tasks, want %v for 4", targetsOf(got), f.book.Reserved("gang"), want)
	}
	f = full()
	for k := range f.candidates {
		f.candidates[k].Rack = []string{"a", "b"}[k%2]
	}
	got = f.reserve("gang", 3, 8000, gang, func(q *Request[string]) { q.SameRack = true })
	if want := []work.TargetID{"t00", "t02"}; !slices.Equal(targetsOf(got), want) {
		t.Errorf("reserved %v for a gang in one rack, want %v", targetsOf(got), want)
	}
}

// Guards against small tasks that delay the holder, and against reservations that keep out tasks that don't.
func TestBackfill(t *testing.T) {
	f := newFixture(8)
	for k := range f.candidates {
		f.run(k, 4000, 200*time.Millisecond)
		f.run(k, 10000, Never)
	}
	f.begin(0)
	if got := f.reserve("large", 1, 5000); len(got) != 1 || got[0].Target != "t00" {
		t.Fatalf("reserved %v, want t00", targetsOf(got))
	}
	visible := func(step string, expected time.Duration) work.Millicores {
		f.book.Hide(step, expected, false)
		defer f.book.Show()
		return f.candidates[0].Free.CPU
	}
	for _, test := range []struct {
		name     string
		step     string
		expected time.Duration
		want     work.Millicores
	}{
		{"the holder", "large", time.Second, 2000},
		{"a task that ends before", "small", 150 * time.Millisecond, 2000},
		{"a task that ends after", "small", 300 * time.Millisecond, 1000}, // of 6 cores, 5 are the holder's
		{"a service task", "small", 0, 1000},
	} {
		if got := visible(test.step, test.expected); got != test.want {
			t.Errorf("%s sees %d free, want %d", test.name, got, test.want)
		}
		if got := f.candidates[0].Free.CPU; got != 2000 {
			t.Fatalf("%d free afterwards, want 2000", got)
		}
	}
}

// Guards against reservations that delay other tasks for longer than stated: those that rank puts before the holder by
// MaxDelay, and all by MaxRefusal.
func TestReservationsYield(t *testing.T) {
	need := work.Resources{CPU: 2000, Memory: 2000}
	for _, test := range []struct {
		name    string
		reached bool // the holder comes before the task
		refused time.Duration
		want    bool
	}{
		{"before the holder", false, 90 * time.Millisecond, false},
		{"before the holder", false, 100 * time.Millisecond, true},
		{"behind the holder", true, 990 * time.Millisecond, false},
		{"behind the holder", true, time.Second, true},
	} {
		f := newFixture(8)
		f.book.Policy.Grace = time.Minute
		for k := range f.candidates {
			f.run(k, 4000, 200*time.Millisecond)
			f.run(k, 10000, Never)
		}
		f.begin(0)
		f.reserve("large", 1, 6000)
		f.book.Refused("small", Task{Need: need}, time.Second, func(work.TargetID) bool { return true })
		f.begin(test.refused)
		if test.reached {
			f.book.Reach("large")
		}
		if got := f.book.Exempt("small", need); got != test.want {
			t.Errorf("%s, refused for %v: may take the place: %v, want %v", test.name, test.refused, got, test.want)
		}
		f.book.Hide("small", time.Second, true)
		if got := need.Fits(f.candidates[0].Free); got != test.want {
			t.Errorf("%s, refused for %v: fits: %v, want %v", test.name, test.refused, got, test.want)
		}
	}
}

// Guards against reservations that outlive their cause.
func TestReservationsEnd(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*fixture)
		after  time.Duration
		want   EndReason
	}{
		{"in time", func(*fixture) {}, 100 * time.Millisecond, ""},
		{"within the grace", func(*fixture) {}, 390 * time.Millisecond, ""},
		{"not free in time", func(*fixture) {}, 410 * time.Millisecond, EndOverdue},
		{"a task takes seven times as long", func(f *fixture) {
			f.ends[0] = []RunEnd{f.ends[0][0], {work.Resources{CPU: 12000, Memory: 12000}, 900 * time.Millisecond}}
		}, 100 * time.Millisecond, EndOverdue},
		{"the target is lost", func(f *fixture) { f.candidates, f.ends = f.candidates[1:], f.ends[1:] }, 100 * time.Millisecond, EndTarget},
	} {
		f := full()
		f.reserve("large", 1, 8000)
		for k := range f.ends {
			for i := range f.ends[k] {
				f.ends[k][i].After = max(0, f.ends[k][i].After-test.after)
			}
		}
		test.change(f)
		ended := f.begin(test.after)
		if test.want == "" && len(ended) == 0 && f.book.Len() == 1 {
			continue
		}
		if len(ended) != 1 || ended[0].Reason != test.want || f.book.Len() != 0 {
			t.Errorf("%s: %d ended, %d left, want one that ended because it is %q", test.name, len(ended), f.book.Len(), test.want)
		}
	}
	f := full()
	f.reserve("large", 2, 8000)
	if ended := f.book.Release(func(string) bool { return false }); len(ended) == 0 || f.book.Len() != 0 {
		t.Errorf("%d reservations ended and %d are left although the holder doesn't wait", len(ended), f.book.Len())
	}
}

// Guards against reservations that are double-booked, exceed their share, outlive their holder's need or a target, and against
// free resources that change while tasks are placed beside them.
func TestReservationsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 30).Draw(t, "targets"))
		for k := range f.candidates {
			for range rapid.IntRange(0, 6).Draw(t, "runs") {
				cpu := work.Millicores(rapid.IntRange(500, 9000).Draw(t, "cpu"))
				if (work.Resources{CPU: cpu, Memory: work.Mebibytes(cpu)}).Fits(f.candidates[k].Free) {
					f.run(k, cpu, time.Duration(rapid.IntRange(0, 1500).Draw(t, "after"))*time.Millisecond)
				}
			}
		}
		f.begin(0)
		waiting := map[string]int{}
		steps := []string{"a", "b", "c", "d", "e"}
		needs := map[string]work.Millicores{}
		for _, s := range steps {
			waiting[s], needs[s] = rapid.IntRange(0, 8).Draw(t, "count"), work.Millicores(rapid.IntRange(500, 16000).Draw(t, "need"))
		}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			passed := time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * time.Millisecond
			for k := range f.ends {
				for i := range f.ends[k] {
					f.ends[k][i].After = max(0, f.ends[k][i].After-passed)
				}
			}
			f.book.Release(func(s string) bool { return waiting[s] > 0 })
			f.begin(passed)
			for _, s := range steps {
				f.book.Reach(s)
				before := slices.Clone(f.candidates)
				f.book.Hide(s, time.Duration(rapid.IntRange(0, 900).Draw(t, "expected"))*time.Millisecond, rapid.Bool().Draw(t, "yield"))
				for k := range f.candidates {
					if f.candidates[k].Free.CPU < min(0, before[k].Free.CPU) || f.candidates[k].Free.CPU > before[k].Free.CPU {
						t.Fatalf("%d free while %d are", f.candidates[k].Free.CPU, before[k].Free.CPU)
					}
				}
				f.book.Show()
				for k := range f.candidates {
					if f.candidates[k].Free != before[k].Free {
						t.Fatalf("%+v free afterwards, want %+v", f.candidates[k].Free, before[k].Free)
					}
				}
				f.book.Trim(s, waiting[s])
				earlier := f.book.Len()
				made := f.reserve(s, waiting[s]-f.book.Reserved(s), needs[s], func(q *Request[string]) { q.Gang = rapid.Bool().Draw(t, "gang") })
				if limit := int(f.book.Policy.MaxShare * float64(len(f.candidates))); len(made) > max(0, limit-earlier) {
					t.Fatalf("%d reservations are made while there were %d, want %d in all at most", len(made), earlier, limit)
				}
				for _, r := range made {
					if r.Due.Sub(f.now) > f.book.Policy.Horizon {
						t.Fatalf("due in %v, want %v at most", r.Due.Sub(f.now), f.book.Policy.Horizon)
					}
				}
				if all := f.book.All(); len(all) > 0 && waiting[s] > 0 && rapid.Bool().Draw(t, "start") {
					waiting[s]--
					f.book.Placed(s, all[0].Target, work.Resources{CPU: needs[s], Memory: work.Mebibytes(needs[s])})
					f.book.Trim(s, waiting[s])
				}
			}
			seen := map[work.TargetID]bool{}
			for _, r := range f.book.All() {
				if seen[r.Target] {
					t.Fatalf("target %s is reserved twice", r.Target)
				}
				seen[r.Target] = true
				if waiting[r.Holder] == 0 {
					t.Fatalf("target %s is reserved for a step without waiting tasks", r.Target)
				}
				if now := f.now; now.Sub(r.Since) > f.book.Policy.Horizon+f.book.Policy.Grace {
					t.Fatalf("target %s is reserved for %v, want %v at most", r.Target, now.Sub(r.Since), f.book.Policy.Horizon+f.book.Policy.Grace)
				}
			}
		}
	})
}
