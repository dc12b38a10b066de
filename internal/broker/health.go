package broker

import (
	"math"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	ejectFailures     = 5                // decaying count of failures that ejects a target
	ejectRefusals     = 2                // refused connections that eject a target
	healthWindow      = 2 * time.Second  // half-life of the counters of failures, refusals and completed requests
	maxEjectedShare   = 0.34             // of the pool's serving targets in the zone; one may always be ejected if there are several
	quarantineTargets = 3                // targets on which a job has to fail before it is quarantined
	jobResultLifetime = 10 * time.Second // how long a job's latest success or failure on a target counts
	quarantineTime    = 30 * time.Second
	minProbePause     = 100 * time.Millisecond
	maxProbePause     = 5 * time.Second
	passedProbePause  = 50 * time.Millisecond // after a passed probe
	probePauseDivisor = 8                     // the pause is the time since the target began to fail, divided by this
	probesToReadmit   = 1
)

// health holds the results of a target's requests and the state of its ejection.
type health struct {
	decayedAt          time.Time
	completed, refused float64
	failureStreak      int                // failures since the last completed request
	failedByJob        map[string]float64 // by job, so that the failures of a quarantined job can be subtracted
	ejected            bool
	trialSlots         int       // slots of a readmitted target, raised as it completes requests; 0 means no limit
	failingSince       time.Time // first ejection since the target last accepted requests on all its slots; zero while it does
	nextProbe          time.Time
	passedProbes       int
	probePending       bool
}

func newHealth() health { return health{failedByJob: map[string]float64{}} }

func (h *health) failures() float64 {
	n := 0.0
	for _, f := range h.failedByJob {
		n += f
	}
	return n
}

// suspect reports whether the target gets a new permit only when no other target has a free slot.
func (h *health) suspect() bool { return h.refused >= 1 || h.failures() > 1+h.completed/2 }

// decay reduces the counters exponentially, with a half-life of healthWindow.
func (h *health) decay(now time.Time) {
	if now.Sub(h.decayedAt) < healthWindow/100 {
		return
	}
	f := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(healthWindow))
	h.decayedAt = now
	h.completed *= f
	h.refused *= f
	for job := range h.failedByJob {
		if h.failedByJob[job] *= f; h.failedByJob[job] < 0.01 {
			delete(h.failedByJob, job)
		}
	}
}

// job holds the results of the requests that share a job name.
type job struct {
	failedOn         map[*target]time.Time // last failure, on targets without a later success
	completedOn      map[*target]time.Time
	quarantinedUntil time.Time
	lastUsed         time.Time
}

// countOutcome counts the results that an entry reports.
func (c *Core) countOutcome(now time.Time, o Outcome) {
	t, known := c.targets[o.Target]
	if !known {
		return
	}
	j := c.jobs[o.Job]
	if j == nil {
		j = &job{failedOn: map[*target]time.Time{}, completedOn: map[*target]time.Time{}}
		c.jobs[o.Job] = j
	}
	j.lastUsed = now
	t.health.decay(now)
	t.health.refused += float64(o.Refused)
	if o.OK > 0 {
		c.countCompleted(now, t, j, o)
	}
	if n := o.Failed + o.Unresponsive; n > 0 {
		j.failedOn[t] = now
		c.quarantineIfFailing(now, j, o.Job)
		if now.After(j.quarantinedUntil) {
			t.health.failedByJob[o.Job] += float64(n)
			if n > o.OK {
				t.health.failureStreak += n
			}
		}
	}
}

func (c *Core) countCompleted(now time.Time, t *target, j *job, o Outcome) {
	t.health.completed += float64(o.OK)
	t.health.refused, t.health.failureStreak = 0, 0
	delete(j.failedOn, t)
	j.completedOn[t] = now
	j.quarantinedUntil = time.Time{}
	c.meanDuration = (c.meanDuration*9 + o.TotalDuration/time.Duration(o.OK)) / 10
	if t.health.trialSlots > 0 {
		t.health.trialSlots *= 4
		if t.health.trialSlots >= int(t.Slots) {
			t.health.trialSlots, t.health.failingSince = 0, time.Time{}
		}
	}
}

// quarantineIfFailing quarantines a job that fails on several targets and is completed by none. It subtracts the
// job's failures from the targets' counters.
func (c *Core) quarantineIfFailing(now time.Time, j *job, name string) {
	for _, at := range j.completedOn {
		if now.Before(at.Add(jobResultLifetime)) {
			return
		}
	}
	n := 0
	for _, at := range j.failedOn {
		if now.Before(at.Add(jobResultLifetime)) {
			n++
		}
	}
	if n < min(quarantineTargets, max(2, len(c.targets))) {
		return
	}
	j.quarantinedUntil = now.Add(quarantineTime)
	for _, t := range c.targets {
		delete(t.health.failedByJob, name)
		t.health.failureStreak = 0
	}
}

// ejectFailing ejects the targets that refuse connections or fail requests that other targets complete. It also
// removes the records of unused jobs.
func (c *Core) ejectFailing(now time.Time) {
	for name, j := range c.jobs {
		if now.After(j.lastUsed.Add(2 * quarantineTime)) {
			delete(c.jobs, name)
		}
	}
	for _, t := range c.targets {
		t.health.decay(now)
		if !t.Serving || t.health.ejected || !c.mayEject() {
			continue
		}
		if t.health.refused >= ejectRefusals-0.5 || c.failsAlone(now, t) {
			c.eject(now, t)
		}
	}
}

// failsAlone reports whether most requests fail on t and another target has completed the same jobs.
func (c *Core) failsAlone(now time.Time, t *target) bool {
	needed := ejectFailures - 0.5
	if t.health.trialSlots > 0 {
		needed = 0.5
	}
	f := t.health.failures()
	if t.health.failureStreak < ejectFailures && (f < needed || f < t.health.completed) {
		return false
	}
	for name := range t.health.failedByJob {
		j := c.jobs[name]
		if j == nil {
			continue
		}
		for other, at := range j.completedOn {
			if other != t && now.Before(at.Add(jobResultLifetime)) {
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
			ejected += countIf(t.health.ejected, 1)
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
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
	h.ejected, h.trialSlots, h.passedProbes, h.probePending = true, 0, 0, false
	h.nextProbe = now.Add(h.probePause(now))
	h.completed, h.refused, h.failureStreak = 0, 0, 0
	clear(h.failedByJob)
}

// probePause returns the time between two probes. It grows with the time for which the target has failed, so that
// the target is soon in use again after a short fault, and a long fault costs few requests.
func (h *health) probePause(now time.Time) time.Duration {
	return min(maxProbePause, max(minProbePause, now.Sub(h.failingSince)/probePauseDivisor))
}

// HandleHealth handles the result of a ProbeHealth. An ejected target that has passed probesToReadmit probes is
// readmitted with one slot.
func (c *Core) HandleHealth(now time.Time, vm ident.VMID, healthy bool) {
	t := c.targets[vm]
	if t == nil || !t.health.ejected {
		return
	}
	h := &t.health
	h.probePending = false
	h.nextProbe = now.Add(passedProbePause)
	if !healthy {
		h.passedProbes = 0
		h.nextProbe = now.Add(h.probePause(now))
	} else if h.passedProbes++; h.passedProbes >= probesToReadmit {
		h.ejected, h.trialSlots = false, 1
	}
	c.step(now)
}

// quarantinedJobs returns the names of the jobs in quarantine.
func (c *Core) quarantinedJobs(now time.Time) []string {
	var out []string
	for name, j := range c.jobs {
		if now.Before(j.quarantinedUntil) {
			out = append(out, name)
		}
	}
	return out
}
