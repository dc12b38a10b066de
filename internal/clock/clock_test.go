package clock

import (
	"reflect"
	"testing"
	"time"
)

// Guards against timers that run out of order or after they were stopped,
// which would make every test that uses the manual clock unreliable.
func TestManualRunsTimersInOrder(t *testing.T) {
	m := NewManual(time.Unix(0, 0))
	var got []string
	record := func(s string) func() { return func() { got = append(got, s) } }
	m.AfterFunc(3*time.Second, record("three"))
	stopped := m.AfterFunc(2*time.Second, record("stopped"))
	tick := m.Every(time.Second, record("tick"))
	stopped.Stop()
	m.Advance(2 * time.Second)
	tick.Stop()
	m.Advance(2 * time.Second)
	want := []string{"tick", "tick", "three"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("callbacks = %v, want %v", got, want)
	}
	if got, want := m.Now(), time.Unix(4, 0); !got.Equal(want) {
		t.Errorf("Now = %v, want %v", got, want)
	}
}
