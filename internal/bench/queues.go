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
// The *Ratio fields hold the slot time of requests that completed before their deadline / slot time of
// the pool, except for the *ShortRatio fields.
type QueuesResult struct {
	Seed               uint64  `json:"seed"`
	DeadlineRatio      float64 `json:"deadline_ratio"`               // earliest deadline first; refuses when the deadline has passed
	FeasibleRatio      float64 `json:"deadline_hope_ratio"`          // the same; refuses when less than typicalRunTime is left, so that the deadline is not feasible
	LIFORatio          float64 `json:"adaptive_lifo_ratio"`          // newest first while the oldest has waited longer than lifoThreshold
	CoDelRatio         float64 `json:"codel_ratio"`                  // oldest first; refuses as CoDel drops packets
	FeasibleRefusedMs  float64 `json:"deadline_hope_refused_p50_ms"` // median time from arrival to refusal
	LIFORefusedMs      float64 `json:"adaptive_lifo_refused_p50_ms"`
	CoDelRefusedMs     float64 `json:"codel_refused_p50_ms"`
	FeasibleShortRatio float64 `json:"deadline_hope_short_served"` // share of the requests with less than 500 ms to their deadline that met it
	LIFOShortRatio     float64 `json:"adaptive_lifo_short_served"`
	CoDelShortRatio    float64 `json:"codel_short_served"`
}

const (
	queueLoad      = 1.5 // offered slot time / slot time of the pool
	queueSlots     = 80
	queueSimTime   = 30 * time.Second      // simulated time
	typicalRunTime = 60 * time.Millisecond // time that a request needs to be run; with less left, it is refused
	lifoThreshold  = 50 * time.Millisecond // wait of the oldest request from which the newest is run first
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

// queuedRequest is a request; its times count from the start of the simulation.
type queuedRequest struct{ arrival, deadline, run time.Duration }

// queueSim simulates one pool under one policy; times count from the start of the simulation.
type queueSim struct {
	policy         queuePolicy
	waiting        []queuedRequest // by arrival
	runEnds        timeHeap        // ends of the current runs
	usefulSlotTime time.Duration   // of runs that end before their deadline
	refusalWaits   []time.Duration // time that each refused request waited
	shortRequests  int             // requests with less than 500 ms to their deadline
	shortCompleted int             // of these, the ones that met it

	// State of CoDel's control law.
	dropFrom time.Duration // when dropping begins if waits stay above the target; 0 while they are below
	drops    int           // drops since then
	nextDrop time.Duration
}

// Queues simulates every policy with the same arrivals.
func Queues(seed uint64) *QueuesResult {
	r := &QueuesResult{Seed: seed}
	r.DeadlineRatio, _, _ = simulateQueue(seed, byDeadline)
	r.FeasibleRatio, r.FeasibleRefusedMs, r.FeasibleShortRatio = simulateQueue(seed, byFeasibleDeadline)
	r.LIFORatio, r.LIFORefusedMs, r.LIFOShortRatio = simulateQueue(seed, byAdaptiveLIFO)
	r.CoDelRatio, r.CoDelRefusedMs, r.CoDelShortRatio = simulateQueue(seed, byCoDel)
	return r
}

// simulateQueue returns the figures of one policy: the ratio of useful slot time, the median wait of
// refused requests in milliseconds and the completed share of requests with short deadlines.
func simulateQueue(seed uint64, policy queuePolicy) (usefulRatio, refusedMs, shortRatio float64) {
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

// start gives free slots to waiting requests, which it runs or refuses.
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

// next returns the index of the waiting request to be run or refused next.
func (s *queueSim) next(now time.Duration) int {
	switch s.policy {
	case byDeadline, byFeasibleDeadline:
		earliest := 0
		for i := range s.waiting {
			if cmp.Less(s.waiting[i].deadline, s.waiting[earliest].deadline) {
				earliest = i
			}
		}
		return earliest
	case byAdaptiveLIFO:
		for len(s.waiting) > 1 && s.waiting[0].deadline < now+typicalRunTime { // the oldest can no longer complete; refuse it
			return 0
		}
		if now-s.waiting[0].arrival > lifoThreshold {
			return len(s.waiting) - 1
		}
	}
	return 0
}

// refuse reports whether the policy refuses q instead of running it now.
func (s *queueSim) refuse(now time.Duration, q queuedRequest) bool {
	if s.policy == byDeadline {
		return now >= q.deadline
	}
	return now+typicalRunTime > q.deadline || (s.policy == byCoDel && s.codelDrops(now, now-q.arrival))
}

// codelDrops reports whether CoDel's control law drops the request at the head of the queue, which has waited for the given time.
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

// timeHeap implements heap.Interface; the earliest time is at the top.
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
