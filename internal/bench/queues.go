package bench

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// QueuesResult compares policies for the queue of an overloaded pool by simulation; see docs/decisions/queue.md.
// Each ratio is the slot time of requests that completed before their deadline / slot time of the pool.
type QueuesResult struct {
	Seed               uint64  `json:"seed"`
	DeadlineRatio      float64 `json:"deadline_ratio"`               // earliest deadline first; refuses when the deadline has passed
	FeasibleRatio      float64 `json:"deadline_hope_ratio"`          // the same; refuses when less than a usual run is left
	LIFORatio          float64 `json:"adaptive_lifo_ratio"`          // newest first while the oldest has waited long
	CoDelRatio         float64 `json:"codel_ratio"`                  // oldest first; drops by CoDel's schedule
	FeasibleRefusedMs  float64 `json:"deadline_hope_refused_p50_ms"` // time from arrival to refusal
	LIFORefusedMs      float64 `json:"adaptive_lifo_refused_p50_ms"`
	CoDelRefusedMs     float64 `json:"codel_refused_p50_ms"`
	FeasibleShortRatio float64 `json:"deadline_hope_short_served"` // share served of the requests with deadlines below 500 ms
	LIFOShortRatio     float64 `json:"adaptive_lifo_short_served"`
	CoDelShortRatio    float64 `json:"codel_short_served"`
}

const (
	queueLoad      = 1.5
	queueSlots     = 80
	queueSimTime   = 30 * time.Second
	typicalRunTime = 60 * time.Millisecond
	lifoThreshold  = 50 * time.Millisecond
	codelTarget    = 50 * time.Millisecond
	codelInterval  = 100 * time.Millisecond
)

type queuePolicy string

const (
	byDeadline         queuePolicy = "deadline"
	byFeasibleDeadline queuePolicy = "deadline_hope"
	byAdaptiveLIFO     queuePolicy = "adaptive_lifo"
	byCoDel            queuePolicy = "codel"
)

type queuedRequest struct{ arrival, deadline, run time.Duration }

// queueSim is one simulated pool; times count from its start.
type queueSim struct {
	policy         queuePolicy
	waiting        []queuedRequest
	runEnds        timeHeap
	usefulSlotTime time.Duration
	refusalWaits   []time.Duration
	shortRequests  int
	shortCompleted int
	dropFrom       time.Duration // since when CoDel has seen long waits
	drops          int
	nextDrop       time.Duration
}

// Queues runs every policy on the same arrivals.
func Queues(seed uint64) *QueuesResult {
	r := &QueuesResult{Seed: seed}
	r.DeadlineRatio, _, _ = simulateQueue(seed, byDeadline)
	r.FeasibleRatio, r.FeasibleRefusedMs, r.FeasibleShortRatio = simulateQueue(seed, byFeasibleDeadline)
	r.LIFORatio, r.LIFORefusedMs, r.LIFOShortRatio = simulateQueue(seed, byAdaptiveLIFO)
	r.CoDelRatio, r.CoDelRefusedMs, r.CoDelShortRatio = simulateQueue(seed, byCoDel)
	return r
}

func simulateQueue(seed uint64, policy queuePolicy) (ratio, refusedMs, short float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := &queueSim{policy: policy}
	mean := float64(meanRunTime) / queueLoad / queueSlots
	for now := time.Duration(0); now < queueSimTime; now += time.Duration(rng.ExpFloat64() * mean) {
		s.finish(now)
		q := queuedRequest{arrival: now, run: meanRunTime/2 + time.Duration(rng.Int64N(int64(meanRunTime)))}
		q.deadline = now + 200*time.Millisecond + time.Duration(rng.Int64N(int64(1800*time.Millisecond)))
		if q.deadline-q.arrival < 500*time.Millisecond {
			s.shortRequests++
		}
		s.waiting = append(s.waiting, q)
		s.start(now)
	}
	slices.Sort(s.refusalWaits)
	if n := len(s.refusalWaits); n > 0 {
		refusedMs = float64(s.refusalWaits[n/2]) / float64(time.Millisecond)
	}
	return float64(s.usefulSlotTime) / float64(queueSimTime*queueSlots), refusedMs, float64(s.shortCompleted) / float64(s.shortRequests)
}

// finish ends the runs that are over by now and starts waiting requests in their place.
func (s *queueSim) finish(now time.Duration) {
	for len(s.runEnds) > 0 && s.runEnds[0] <= now {
		s.start(heap.Pop(&s.runEnds).(time.Duration))
	}
}

func (s *queueSim) start(now time.Duration) {
	for len(s.runEnds) < queueSlots && len(s.waiting) > 0 {
		i := s.next(now)
		q := s.waiting[i]
		s.waiting = slices.Delete(s.waiting, i, i+1)
		if s.refuse(now, q) {
			s.refusalWaits = append(s.refusalWaits, now-q.arrival)
			continue
		}
		heap.Push(&s.runEnds, now+q.run)
		if now+q.run <= q.deadline {
			s.usefulSlotTime += q.run
			if q.deadline-q.arrival < 500*time.Millisecond {
				s.shortCompleted++
			}
		}
	}
}

// next chooses a waiting request.
func (s *queueSim) next(now time.Duration) int {
	switch s.policy {
	case byDeadline, byFeasibleDeadline:
		best := 0
		for i := range s.waiting {
			if cmp.Less(s.waiting[i].deadline, s.waiting[best].deadline) {
				best = i
			}
		}
		return best
	case byAdaptiveLIFO:
		for len(s.waiting) > 1 && s.waiting[0].deadline < now+typicalRunTime { // the oldest expire in place
			return 0
		}
		if now-s.waiting[0].arrival > lifoThreshold {
			return len(s.waiting) - 1
		}
	}
	return 0
}

func (s *queueSim) refuse(now time.Duration, q queuedRequest) bool {
	if s.policy == byDeadline {
		return now >= q.deadline
	}
	return now+typicalRunTime > q.deadline || (s.policy == byCoDel && s.codelDrops(now, now-q.arrival))
}

// codelDrops is CoDel's control law for the wait of the request at the head.
func (s *queueSim) codelDrops(now, waited time.Duration) bool {
	if waited < codelTarget {
		s.dropFrom, s.drops = 0, 0
		return false
	}
	if s.dropFrom == 0 {
		s.dropFrom = now + codelInterval
		return false
	}
	if now < s.dropFrom || (s.drops > 0 && now < s.nextDrop) {
		return false
	}
	s.drops++
	s.nextDrop = now + time.Duration(float64(codelInterval)/math.Sqrt(float64(s.drops)))
	return true
}

// endHeap holds the ends of the present runs.
type timeHeap []time.Duration

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *timeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
