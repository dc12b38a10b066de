package work

import (
	"math"
	"testing"
)

// Guards against task counts that overflow when they are multiplied with the
// occurrences, so that the product passes the limit.
func TestCheckTaskCount(t *testing.T) {
	for _, test := range []struct {
		count, repeat int
		ok            bool
	}{
		{1, 0, true},
		{maxTasks, 0, true},
		{maxTasks + 1, 0, false},
		{maxTasks / 2, 2, true},
		{maxTasks / 2, 3, false},
		{math.MaxInt, 2, false},
		{1 << 62, 2, false},
		{0, 0, false},
		{-1, 0, false},
	} {
		s := Spec{Steps: []Step{{Count: test.count}}, Repeat: test.repeat}
		if got := s.Check() == nil; got != test.ok {
			t.Errorf("count %d, repeat %d: valid = %v, want %v", test.count, test.repeat, got, test.ok)
		}
	}
}

// Guards against task names that are parsed as those of another task.
func TestParseTaskID(t *testing.T) {
	want := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}
	if got, err := ParseTaskID(want.String()); err != nil || got != want {
		t.Errorf("ParseTaskID(%q) = %+v, %v", want, got, err)
	}
	for _, bad := range []string{"", "a.1.2", "a.1.2.x", "a.1.-2.3", "a.1.2.3.4"} {
		if got, err := ParseTaskID(bad); err == nil {
			t.Errorf("ParseTaskID(%q) = %+v, want an error", bad, got)
		}
	}
}
