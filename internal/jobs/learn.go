package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// ratio is the learned quotient of true to stated run times of a queue. It is a
// quotient of sums: a mean of the tasks' quotients would exceed what the sum of
// many tasks takes, since estimates that are too low give the largest quotients.
type ratio struct {
	took   time.Duration // decaying sums
	stated time.Duration
}

const (
	// ratioDecay is what a sample leaves of the former ones; some thirty tasks decide the value.
	ratioDecay = 0.97
	// ratioPrior is the weight of the estimates before any task has ended.
	ratioPrior = time.Second
	// maxSample bounds how much one task may take, as a multiple of its estimate.
	maxSample = 10
)

func (p *Pool) ratio(q work.QueueID) float64 {
	if r := p.learned[q]; r != nil {
		return r.value()
	}
	return 1
}

func (r *ratio) value() float64 { return float64(r.took+ratioPrior) / float64(r.stated+ratioPrior) }

func (r *ratio) add(took, stated time.Duration) {
	r.took = time.Duration(ratioDecay*float64(r.took)) + min(took, maxSample*stated)
	r.stated = time.Duration(ratioDecay*float64(r.stated)) + stated
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
	l := p.learned[j.queue]
	if l == nil {
		l = &ratio{}
		p.learned[j.queue] = l
	}
	l.add(took, r.spec.Estimate)
}

// expected returns how long a task of a step is likely to run.
func (p *Pool) expected(q work.QueueID, s *work.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * p.ratio(q))
}
