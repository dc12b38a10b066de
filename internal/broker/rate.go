package broker

import "time"

// startRate estimates how many requests of a pool this entry starts per second.
type startRate struct {
	windowStart time.Time // start of the present window
	count       int
	perSec      float64
	measured    bool
}

const rateWindow = 250 * time.Millisecond

func (r *startRate) add(now time.Time) {
	r.roll(now)
	r.count++
}

// roll begins a new window once the present one has lasted rateWindow.
func (r *startRate) roll(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	d := now.Sub(r.windowStart)
	if d < rateWindow {
		return
	}
	present := float64(r.count) / d.Seconds()
	if r.measured {
		present = (r.perSec + present) / 2
	}
	r.perSec, r.measured = present, true
	r.windowStart, r.count = now, 0
}

// wait returns the expected wait behind the given number of requests. It is not known before the first window has
// passed, nor while hardly any requests start.
func (r *startRate) wait(now time.Time, ahead int) (time.Duration, bool) {
	r.roll(now)
	if !r.measured || r.perSec < 1 {
		return 0, false
	}
	return time.Duration(float64(ahead) / r.perSec * float64(time.Second)), true
}

// durationEstimate estimates how long a request runs, from the mean and the mean deviation of those that completed.
type durationEstimate struct{ mean, dev time.Duration }

func (e *durationEstimate) add(duration time.Duration) {
	d := duration - e.mean
	e.mean += d / 16
	e.dev += (max(d, -d) - e.dev) / 16
}

// usual is a time within which most requests complete.
func (e *durationEstimate) usual() time.Duration { return e.mean + 2*e.dev }
