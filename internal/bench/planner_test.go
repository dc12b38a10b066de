package bench

import "testing"

// Guards against a planner that breaks a budget, misses a deadline or plans records that are
// not accepted, and against replays of the same seed that differ.
func TestPlannerReplayKeepsBudgetsAndIsDeterministic(t *testing.T) {
	first, violations, err := Planner("kigali", 1)
	if err != nil {
		t.Fatal(err)
	}
	if n := first.BudgetViolations + first.LateReturns + first.WaveRebootsMissed + first.UnacceptedRecords; n != 0 {
		t.Errorf("%d violations, want 0: %q", n, violations)
	}
	second, _, err := Planner("kigali", 1)
	if err != nil {
		t.Fatal(err)
	}
	first.PlanMsPerRound, second.PlanMsPerRound = 0, 0
	if first != second {
		t.Errorf("two replays of seed 1 differ:\n%+v\n%+v", first, second)
	}
}
