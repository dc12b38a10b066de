package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Period is the time that an error budget is meant to last.
const Period = 28 * 24 * time.Hour

// Counts are numbers of requests by cause.
type Counts map[Cause]uint64

// Add adds other to c.
func (c Counts) Add(other Counts) {
	for k, n := range other {
		c[k] += n
	}
}

func (c Counts) total() (bad, all uint64) {
	for k, n := range c {
		if k == CallerError {
			continue
		}
		all += n
		if k.SpendsBudget() {
			bad += n
		}
	}
	return bad, all
}

// Sample is what one entry has counted for one pool.
type Sample struct {
	Pool         ident.PoolID    `json:"pool"`
	Objective    fleet.Objective `json:"objective"`
	Short        Counts          `json:"short"`
	Long         Counts          `json:"long"`
	CoversMillis int64           `json:"covers_ms"` // time that Long covers
}

// Sample returns what the meter holds for the given pools; pools without an objective are left out.
func (m *Meter) Sample(pools []fleet.Pool) []Sample {
	now := m.Clock.Now()
	covers := min(now.Sub(m.start), LongWindow)
	var out []Sample
	for i := range pools {
		p := &pools[i]
		if p.Objective.Availability == 0 {
			continue
		}
		s := Sample{Pool: p.ID, Objective: p.Objective, Short: Counts{}, Long: Counts{}, CoversMillis: covers.Milliseconds()}
		if c := (*m.pools.Load())[p.ID]; c != nil {
			s.Short = c.short.sum(now, ShortWindow)
			s.Long = c.long.sum(now, LongWindow)
		}
		out = append(out, s)
	}
	return out
}

// Spender is a cause and the requests that it made bad.
type CauseCount struct {
	Cause    Cause  `json:"cause"`
	Requests uint64 `json:"requests"`
}

// Line is the report on one pool.
type PoolReport struct {
	Pool       ident.PoolID `json:"pool"`
	Objective  float64      `json:"objective"`
	Requests   uint64       `json:"requests"`   // in the long window
	ShortBurn  float64      `json:"short_burn"` // 1 spends the budget in exactly one period
	LongBurn   float64      `json:"long_burn"`
	SpentShare float64      `json:"spent_share"`          // share of the period's budget spent within the time covered
	BadByCause []CauseCount `json:"spenders"`             // largest first, over the long window
	BudgetEnd  *time.Time   `json:"budget_end,omitempty"` // when the budget ends at the short window's rate; absent when it lasts the period
	Covers     string       `json:"covers"`               // time that the long window covers
}

// Report merges the samples of all entries into one line a pool, the fastest burn first.
func Report(samples []Sample, now time.Time) []PoolReport {
	merged := map[ident.PoolID]*Sample{}
	for i := range samples {
		s := &samples[i]
		m := merged[s.Pool]
		if m == nil {
			m = &Sample{Pool: s.Pool, Objective: s.Objective, Short: Counts{}, Long: Counts{}}
			merged[s.Pool] = m
		}
		m.Short.Add(s.Short)
		m.Long.Add(s.Long)
		m.CoversMillis = max(m.CoversMillis, s.CoversMillis)
	}
	lines := make([]PoolReport, 0, len(merged))
	for _, s := range merged {
		lines = append(lines, s.line(now))
	}
	slices.SortFunc(lines, func(a, b PoolReport) int {
		if c := cmp.Compare(b.ShortBurn, a.ShortBurn); c != 0 {
			return c
		}
		return cmp.Compare(a.Pool, b.Pool)
	})
	return lines
}

func (s *Sample) line(now time.Time) PoolReport {
	covers := time.Duration(s.CoversMillis) * time.Millisecond
	_, all := s.Long.total()
	l := PoolReport{
		Pool: s.Pool, Objective: s.Objective.Availability, Requests: all, Covers: covers.Round(time.Second).String(),
		ShortBurn: s.rate(s.Short), LongBurn: s.rate(s.Long), BadByCause: spenders(s.Long),
	}
	l.SpentShare = l.LongBurn * float64(covers) / float64(Period)
	if l.ShortBurn > 0 {
		left := max(0, 1-l.SpentShare)
		if d := time.Duration(left / l.ShortBurn * float64(Period)); d < Period {
			end := now.Add(d).UTC().Truncate(time.Second)
			l.BudgetEnd = &end
		}
	}
	return l
}

// rate is the share of bad requests divided by the share that the objective allows.
func (s *Sample) rate(c Counts) float64 {
	bad, all := c.total()
	allowed := 1 - s.Objective.Availability
	if all == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(all) / allowed
}

func spenders(c Counts) []CauseCount {
	out := []CauseCount{}
	for _, cause := range causes {
		if n := c[cause]; n > 0 && cause.SpendsBudget() {
			out = append(out, CauseCount{Cause: cause, Requests: n})
		}
	}
	slices.SortStableFunc(out, func(a, b CauseCount) int { return cmp.Compare(b.Requests, a.Requests) })
	return out
}
