package clock

import (
	"sort"
	"sync"
	"time"
)

// Manual is a Clock that advances only when Advance is called. Its timers run on
// the goroutine that calls Advance, in time order, so that tests are deterministic.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	nextID int
	timers []*manualTimer
}

// NewManual returns a manual clock that starts at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

type manualTimer struct {
	clock  *Manual
	id     int // orders timers that are due at the same time
	due    time.Time
	period time.Duration // 0 for a timer that runs once
	f      func()
}

// Now returns the time that the clock is set to.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// AfterFunc calls f when the clock has advanced by d.
func (m *Manual) AfterFunc(d time.Duration, f func()) Timer { return m.add(d, 0, f) }

// Every calls f each time the clock has advanced by d.
func (m *Manual) Every(d time.Duration, f func()) Timer { return m.add(d, d, f) }

func (m *Manual) add(d, period time.Duration, f func()) Timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	t := &manualTimer{clock: m, id: m.nextID, due: m.now.Add(d), period: period, f: f}
	m.timers = append(m.timers, t)
	return t
}

// Stop removes the timer and reports whether it was still pending.
func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	return t.clock.remove(t)
}

func (m *Manual) remove(t *manualTimer) bool {
	for i, x := range m.timers {
		if x == t {
			m.timers = append(m.timers[:i], m.timers[i+1:]...)
			return true
		}
	}
	return false
}

// Advance moves the clock forward by d and runs every timer that falls due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for {
		f := m.popDue(end)
		if f == nil {
			return
		}
		f()
	}
}

// popDue sets the clock to the time of the earliest timer due by end and returns
// the timer's function; if there is none, it sets the clock to end and returns nil.
func (m *Manual) popDue(end time.Time) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	sort.Slice(m.timers, func(i, j int) bool {
		a, b := m.timers[i], m.timers[j]
		if a.due.Equal(b.due) {
			return a.id < b.id
		}
		return a.due.Before(b.due)
	})
	if len(m.timers) == 0 || m.timers[0].due.After(end) {
		m.now = end
		return nil
	}
	t := m.timers[0]
	if t.due.After(m.now) {
		m.now = t.due
	}
	if t.period > 0 {
		t.due = t.due.Add(t.period)
	} else {
		m.remove(t)
	}
	return t.f
}
