package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// BudgetPeriod is the time for which an error budget is meant to last.
const BudgetPeriod = 28 * 24 * time.Hour

// Counts holds the number of requests by cause.
type Counts map[Cause]uint64

// Add adds other to c.
func (c Counts) Add(other Counts) {
	for k, n := range other {
		c[k] += n
	}
}

// badAndAll returns the number of requests that spend budget and the number of all requests
// except caller errors.
func (c Counts) badAndAll() (bad, all uint64) {
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

// Sample holds the counts of one entry for one pool.
type Sample struct {
	Pool         ident.PoolID    `json:"pool"`
	Objective    fleet.Objective `json:"objective"`
	Short        Counts          `json:"short"`     // over ShortWindow
	Long         Counts          `json:"long"`      // over LongWindow
	CoversMillis int64           `json:"covers_ms"` // time that Long covers; less than LongWindow after a start
}

// Sample returns the counts of the given pools; pools without an availability objective are left out.
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

// CauseCount is the number of bad requests with one cause.
type CauseCount struct {
	Cause    Cause  `json:"cause"`
	Requests uint64 `json:"requests"`
}

// PoolReport describes how fast one pool spends its error budget.
type PoolReport struct {
	Pool       ident.PoolID `json:"pool"`
	Objective  float64      `json:"objective"`
	Requests   uint64       `json:"requests"`   // in the long window, without caller errors
	ShortBurn  float64      `json:"short_burn"` // burn rate; 1 spends the budget in exactly one BudgetPeriod
	LongBurn   float64      `json:"long_burn"`
	SpentShare float64      `json:"spent_share"`          // share of the budget that was spent within the time covered
	BadByCause []CauseCount `json:"spenders"`             // bad requests in the long window, most frequent cause first
	BudgetEnd  *time.Time   `json:"budget_end,omitempty"` // when the budget is spent at the short window's rate; absent if it lasts for BudgetPeriod
	Covers     string       `json:"covers"`               // time that the counts of the long window cover
}

// Report merges the samples of all entries into one report per pool, sorted by descending
// burn rate in the short window.
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
	reports := make([]PoolReport, 0, len(merged))
	for _, s := range merged {
		reports = append(reports, s.poolReport(now))
	}
	slices.SortFunc(reports, func(a, b PoolReport) int {
		if c := cmp.Compare(b.ShortBurn, a.ShortBurn); c != 0 {
			return c
		}
		return cmp.Compare(a.Pool, b.Pool)
	})
	return reports
}

func (s *Sample) poolReport(now time.Time) PoolReport {
	covers := time.Duration(s.CoversMillis) * time.Millisecond
	_, all := s.Long.badAndAll()
	r := PoolReport{
		Pool: s.Pool, Objective: s.Objective.Availability, Requests: all, Covers: covers.Round(time.Second).String(),
		ShortBurn: s.burnRate(s.Short), LongBurn: s.burnRate(s.Long), BadByCause: badByCause(s.Long),
	}
	r.SpentShare = r.LongBurn * float64(covers) / float64(BudgetPeriod)
	if r.ShortBurn > 0 {
		left := max(0, 1-r.SpentShare)
		if d := time.Duration(left / r.ShortBurn * float64(BudgetPeriod)); d < BudgetPeriod {
			end := now.Add(d).UTC().Truncate(time.Second)
			r.BudgetEnd = &end
		}
	}
	return r
}

// burnRate returns the share of bad requests divided by the share that the objective allows.
func (s *Sample) burnRate(c Counts) float64 {
	bad, all := c.badAndAll()
	allowed := 1 - s.Objective.Availability
	if all == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(all) / allowed
}

// badByCause returns the causes that spent budget, most frequent first.
func badByCause(c Counts) []CauseCount {
	out := []CauseCount{}
	for _, cause := range causes {
		if n := c[cause]; n > 0 && cause.SpendsBudget() {
			out = append(out, CauseCount{Cause: cause, Requests: n})
		}
	}
	slices.SortStableFunc(out, func(a, b CauseCount) int { return cmp.Compare(b.Requests, a.Requests) })
	return out
}
