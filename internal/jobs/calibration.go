package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// ratio is the learned quotient of true to stated run times of a queue. It is a
// quotient of sums: a mean of the tasks' quotients would exceed what the sum of
// many tasks takes, since estimates that are too low give the largest quotients.
type ratio struct {
	_      struct{}      `cbor:",toarray"`
	Took   time.Duration // decaying sums
	Stated time.Duration
}

// Calibration is what the next owner of a pool should know besides its jobs. It
// is no loss if it is old: without it the estimates are taken as they are.
type Calibration struct {
	Pool   ident.PoolID            `cbor:"1,keyasint"`
	Ratios map[work.QueueID]*ratio `cbor:"2,keyasint"`
}

// Calibration returns what the pool has learned; nil if that is nothing.
func (p *Pool) Calibration() *Calibration {
	if len(p.learned) == 0 {
		return nil
	}
	return &Calibration{Pool: p.ID, Ratios: p.learned}
}

// RestoreCalibration takes over what a former owner had learned. Call it before the first event.
func (p *Pool) RestoreCalibration(k *Calibration) {
	for id, r := range k.Ratios {
		if r != nil && r.Took >= 0 && r.Stated >= 0 {
			p.learned[id] = r
		}
	}
}

// Encode returns the bytes that [DecodeKnowledge] reads.
func (k *Calibration) Encode() ([]byte, error) { return encodeMode.Marshal(k) }

// DecodeCalibration reads what a former owner has stored.
func DecodeCalibration(b []byte) (*Calibration, error) {
	k := &Calibration{}
	return k, decodeMode.Unmarshal(b, k)
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

func (r *ratio) value() float64 { return float64(r.Took+ratioPrior) / float64(r.Stated+ratioPrior) }

func (r *ratio) add(took, stated time.Duration) {
	r.Took = time.Duration(ratioDecay*float64(r.Took)) + min(took, maxSample*stated)
	r.Stated = time.Duration(ratioDecay*float64(r.Stated)) + stated
}

// learn compares the run time of a task with its estimate.
func (p *Pool) learn(now time.Time, j *job, r *run) {
	if r == nil || r.startedAt.IsZero() || r.task == nil || r.spec.Estimate <= 0 || r.resumed {
		return
	}
	took := now.Sub(r.startedAt)
	if r.spec.DataRack != "" && r.spec.DataRack != r.target.Rack && p.Bounds.RemoteCost > 0 {
		took = time.Duration(float64(took) / p.Bounds.RemoteCost)
	}
	r.target.verdict.ObserveSlowdown(float64(took) / float64(p.expected(j.queue, r.spec)))
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
