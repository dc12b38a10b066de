package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// ratio is the learned quotient of true to stated run times of a queue.
type ratio struct {
	value float64
	n     int
}

const (
	// ratioWeight is the share of a new sample; about twenty samples decide the value.
	ratioWeight = 0.05
	minRatio    = 0.1
	maxRatio    = 10
)

func (p *Pool) ratio(q work.QueueID) float64 {
	if r := p.learned[q]; r != nil {
		return r.value
	}
	return 1
}

// learn compares the run time of a task with its estimate.
func (p *Pool) learn(now time.Time, j *job, r *run) {
	if r == nil || r.startedAt.IsZero() || r.task == nil || r.spec.Estimate <= 0 || r.resumed {
		return
	}
	took := now.Sub(r.startedAt)
	if r.spec.Rack != "" && r.spec.Rack != r.target.Rack && p.Bounds.RemoteCost > 0 {
		took = time.Duration(float64(took) / p.Bounds.RemoteCost)
	}
	r.target.verdict.Progress(float64(took) / float64(p.expected(j.queue, r.spec)))
	sample := min(max(float64(took)/float64(r.spec.Estimate), minRatio), maxRatio)
	l := p.learned[j.queue]
	if l == nil {
		l = &ratio{value: 1}
		p.learned[j.queue] = l
	}
	l.n++
	weight := max(ratioWeight, 1/float64(l.n+1))
	l.value += weight * (sample - l.value)
}

// expected returns how long a task of a step is likely to run.
func (p *Pool) expected(q work.QueueID, s *work.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * p.ratio(q))
}
