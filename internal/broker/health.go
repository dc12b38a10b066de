package broker

import (
	"math"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	ejectFailures   = 5                // failures in the window that eject a target
	ejectRefusals   = 2                // refused connections that do
	healthWindow    = 2 * time.Second  // half-life of the counters
	maxEjectedShare = 0.34             // of the pool's targets in the zone, but at least one of several
	jobTargets      = 3                // targets on which a job fails before it is quarantined
	jobMemory       = 10 * time.Second // a job completed within this time can be completed
	quarantineTime  = 30 * time.Second
	minProbePause   = 100 * time.Millisecond
	maxProbePause   = 5 * time.Second
	passedPause     = 50 * time.Millisecond // after a probe that was passed
	probePauseShare = 8                     // a target is probed again after this part of the time for which it has failed
	probesToReadmit = 1
)

// health is what the broker knows of how a target fares.
type health struct {
	counted    time.Time
	ok, refuse float64
	streak     int                // failures since the last completed request
	failed     map[string]float64 // by job, so that a quarantined job's failures can be taken back
	ejected    bool
	trial      int       // slots that a readmitted target may use until it has completed requests; 0 is no limit
	failing    time.Time // first ejection since it last had no limit
	nextProbe  time.Time
	passed     int
	probing    bool
}

func newHealth() health { return health{failed: map[string]float64{}} }

func (h *health) failures() float64 {
	n := 0.0
	for _, f := range h.failed {
		n += f
	}
	return n
}

// suspect targets get a new permit only when no other target has a free slot.
func (h *health) suspect() bool { return h.refuse >= 1 || h.failures() > 1+h.ok/2 }

func (h *health) decay(now time.Time) {
	if now.Sub(h.counted) < healthWindow/100 {
		return
	}
	f := math.Exp2(-float64(now.Sub(h.counted)) / float64(healthWindow))
	h.counted = now
	h.ok *= f
	h.refuse *= f
	for job := range h.failed {
		if h.failed[job] *= f; h.failed[job] < 0.01 {
			delete(h.failed, job)
		}
	}
}

// job is what the broker knows of the requests that share a job name.
type job struct {
	failedOn    map[*target]time.Time // last failure, on targets without a later success
	okOn        map[*target]time.Time
	quarantined time.Time // until
	used        time.Time
}

// outcome counts the results that an entry reports.
func (c *Core) outcome(now time.Time, o Outcome) {
	t, known := c.targets[o.Target]
	if !known {
		return
	}
	j := c.jobs[o.Job]
	if j == nil {
		j = &job{failedOn: map[*target]time.Time{}, okOn: map[*target]time.Time{}}
		c.jobs[o.Job] = j
	}
	j.used = now
	t.health.decay(now)
	t.health.refuse += float64(o.Refused)
	if o.OK > 0 {
		c.completed(now, t, j, o)
	}
	if n := o.Failed + o.Unresponsive; n > 0 {
		j.failedOn[t] = now
		c.checkJob(now, j, o.Job)
		if now.After(j.quarantined) {
			t.health.failed[o.Job] += float64(n)
			if n > o.OK {
				t.health.streak += n
			}
		}
	}
}

func (c *Core) completed(now time.Time, t *target, j *job, o Outcome) {
	t.health.ok += float64(o.OK)
	t.health.refuse, t.health.streak = 0, 0
	delete(j.failedOn, t)
	j.okOn[t] = now
	j.quarantined = time.Time{}
	c.meanRun = (c.meanRun*9 + o.TotalDuration/time.Duration(o.OK)) / 10
	if t.health.trial > 0 {
		t.health.trial *= 4
		if t.health.trial >= int(t.Slots) {
			t.health.trial, t.health.failing = 0, time.Time{}
		}
	}
}

// checkJob quarantines a job that fails on several targets and is completed by none, and takes its failures back.
func (c *Core) checkJob(now time.Time, j *job, name string) {
	for _, at := range j.okOn {
		if now.Before(at.Add(jobMemory)) {
			return
		}
	}
	n := 0
	for _, at := range j.failedOn {
		if now.Before(at.Add(jobMemory)) {
			n++
		}
	}
	if n < min(jobTargets, max(2, len(c.targets))) {
		return
	}
	j.quarantined = now.Add(quarantineTime)
	for _, t := range c.targets {
		delete(t.health.failed, name)
		t.health.streak = 0
	}
}

// judge ejects the targets that fail what others complete.
func (c *Core) judge(now time.Time) {
	for name, j := range c.jobs {
		if now.After(j.used.Add(2 * quarantineTime)) {
			delete(c.jobs, name)
		}
	}
	for _, t := range c.targets {
		t.health.decay(now)
		if !t.Serving || t.health.ejected || !c.mayEject() {
			continue
		}
		if t.health.refuse >= ejectRefusals-0.5 || c.failsAlone(now, t) {
			c.eject(now, t)
		}
	}
}

// failsAlone reports whether most requests fail on t and another target has completed the same jobs.
func (c *Core) failsAlone(now time.Time, t *target) bool {
	needed := ejectFailures - 0.5
	if t.health.trial > 0 {
		needed = 0.5
	}
	f := t.health.failures()
	if t.health.streak < ejectFailures && (f < needed || f < t.health.ok) {
		return false
	}
	for name := range t.health.failed {
		j := c.jobs[name]
		if j == nil {
			continue
		}
		for other, at := range j.okOn {
			if other != t && now.Before(at.Add(jobMemory)) {
				return true
			}
		}
	}
	return false
}

// mayEject keeps the ejected share of the serving targets below the limit.
func (c *Core) mayEject() bool {
	serving, ejected := 0, 0
	for _, t := range c.targets {
		if t.Serving {
			serving++
			ejected += only(t.health.ejected, 1)
		}
	}
	allowed := int(float64(serving) * maxEjectedShare)
	if serving > 1 {
		allowed = max(1, allowed)
	}
	return ejected < allowed
}

func (c *Core) eject(now time.Time, t *target) {
	h := &t.health
	if h.failing.IsZero() {
		h.failing = now
	}
	h.ejected, h.trial, h.passed, h.probing = true, 0, 0, false
	h.nextProbe = now.Add(h.pause(now))
	h.ok, h.refuse, h.streak = 0, 0, 0
	clear(h.failed)
}

// pause grows with the time for which the target has failed, so that a short fault costs little time after its end
// and a long one few requests.
func (h *health) pause(now time.Time) time.Duration {
	return min(maxProbePause, max(minProbePause, now.Sub(h.failing)/probePauseShare))
}

// HandleHealth handles the answer to a ProbeHealth; an ejected target that passes some probes gets one slot for a trial.
func (c *Core) HandleHealth(now time.Time, vm ident.VMID, healthy bool) {
	t := c.targets[vm]
	if t == nil || !t.health.ejected {
		return
	}
	h := &t.health
	h.probing = false
	h.nextProbe = now.Add(passedPause)
	if !healthy {
		h.passed = 0
		h.nextProbe = now.Add(h.pause(now))
	} else if h.passed++; h.passed >= probesToReadmit {
		h.ejected, h.trial = false, 1
	}
	c.step(now)
}

// quarantined returns the names of the jobs in quarantine.
func (c *Core) quarantined(now time.Time) []string {
	var out []string
	for name, j := range c.jobs {
		if now.Before(j.quarantined) {
			out = append(out, name)
		}
	}
	return out
}
