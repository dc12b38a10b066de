// Package burn measures how fast each pool spends its error budget.
//
// Each entry counts its requests in a [Meter], by pool and [Cause]. Counting takes no lock,
// except when a pool is new or a time bucket begins. [Report] merges the [Sample]s of all entries
// and compares a short and a long window with each pool's availability objective.
//
// The burn rate is the share of bad requests divided by the share that the objective allows:
// at a rate of 1 the budget lasts exactly [BudgetPeriod]. Counts are kept in memory only, so
// after a restart a report covers the time since then; [PoolReport.Covers] says how long that is.
package burn
