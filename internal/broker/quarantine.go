package broker

import "time"

// trialInterval is the time between two requests of a quarantined job that one entry lets through.
const trialInterval = time.Second

// quarantine returns an error for a job that the local zone's broker has quarantined, except for one trial request in
// each trialInterval.
func (p *pool) quarantine(now time.Time, job string) error {
	if !p.local.quarantinedJobs[job] {
		delete(p.lastTrial, job)
		return nil
	}
	next := p.lastTrial[job].Add(trialInterval)
	if now.Before(next) {
		return &QuarantinedError{Job: job, RetryAfter: next.Sub(now)}
	}
	if p.lastTrial == nil {
		p.lastTrial = map[string]time.Time{}
	}
	p.lastTrial[job] = now
	return nil
}
