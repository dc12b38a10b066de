package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// timeRatio is the learned ratio of actual to estimated run times of a queue. It
// is a quotient of sums: a mean of the tasks' quotients would overestimate many
// tasks together, since estimates that are too low give the largest quotients.
type timeRatio struct {
	_         struct{}      `cbor:",toarray"`
	Actual    time.Duration // both are decaying sums
	Estimated time.Duration
}

// Calibration holds the learned ratios of a pool's queues, for the next owner.
// It may be out of date or missing: without it, estimates are used as they are.
type Calibration struct {
	Pool   ident.PoolID                `cbor:"1,keyasint"`
	Ratios map[work.QueueID]*timeRatio `cbor:"2,keyasint"`
}

// Calibration returns the learned ratios; nil if there are none.
func (p *Pool) Calibration() *Calibration {
	if len(p.ratios) == 0 {
		return nil
	}
	return &Calibration{Pool: p.ID, Ratios: p.ratios}
}

// RestoreCalibration takes over the ratios learned by a previous owner. Call it before the first event.
func (p *Pool) RestoreCalibration(c *Calibration) {
	for id, r := range c.Ratios {
		if r != nil && r.Actual >= 0 && r.Estimated >= 0 {
			p.ratios[id] = r
		}
	}
}

// Encode returns the bytes that [DecodeCalibration] reads.
func (c *Calibration) Encode() ([]byte, error) { return encodeMode.Marshal(c) }

// DecodeCalibration reads bytes written by [Calibration.Encode].
func DecodeCalibration(b []byte) (*Calibration, error) {
	c := &Calibration{}
	return c, decodeMode.Unmarshal(b, c)
}

const (
	// ratioDecay is the factor by which each sample reduces the weight of the earlier ones; about thirty tasks determine the
	// value.
	ratioDecay = 0.97
	// ratioPrior is the weight of the initial ratio of 1, as a sum of run times.
	ratioPrior = time.Second
	// maxSample bounds the counted run time of one task, as a multiple of its estimate.
	maxSample = 10
)

func (p *Pool) ratio(q work.QueueID) float64 {
	if r := p.ratios[q]; r != nil {
		return r.value()
	}
	return 1
}

func (r *timeRatio) value() float64 {
	return float64(r.Actual+ratioPrior) / float64(r.Estimated+ratioPrior)
}

func (r *timeRatio) add(actual, estimated time.Duration) {
	r.Actual = time.Duration(ratioDecay*float64(r.Actual)) + min(actual, maxSample*estimated)
	r.Estimated = time.Duration(ratioDecay*float64(r.Estimated)) + estimated
}

// recordRunTime updates the queue's ratio and the target's health with the run time of a completed task.
func (p *Pool) recordRunTime(now time.Time, j *job, r *run) {
	if r == nil || r.startedAt.IsZero() || r.task == nil || r.spec.Estimate <= 0 || r.resumed {
		return
	}
	took := now.Sub(r.startedAt)
	if r.spec.DataRack != "" && r.spec.DataRack != r.target.Rack && p.Bounds.RemoteCost > 0 {
		took = time.Duration(float64(took) / p.Bounds.RemoteCost)
	}
	r.target.health.ObserveSlowdown(float64(took) / float64(p.expectedTime(j.queue, r.spec)))
	queueRatio := p.ratios[j.queue]
	if queueRatio == nil {
		queueRatio = &timeRatio{}
		p.ratios[j.queue] = queueRatio
	}
	queueRatio.add(took, r.spec.Estimate)
}

// expectedTime returns how long a task of a step is expected to run.
func (p *Pool) expectedTime(q work.QueueID, s *work.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * p.ratio(q))
}
