package bench

import "testing"

// Guards against a planner that breaks a budget, misses a deadline or plans
// records that the fold refuses, and against a replay that differs between runs of one seed.
func TestPlannerReplayKeepsBudgetsAndIsDeterministic(t *testing.T) {
	first, faults, err := Planner("kigali", 1)
	if err != nil {
		t.Fatal(err)
	}
	if n := first.BudgetViolations + first.LateReturns + first.WaveRebootsMissed + first.UnacceptedRecords; n != 0 {
		t.Errorf("%d faults, want 0: %q", n, faults)
	}
	second, _, err := Planner("kigali", 1)
	if err != nil {
		t.Fatal(err)
	}
	first.PlanMsPerRound, second.PlanMsPerRound = 0, 0
	if first != second {
		t.Errorf("two runs of seed 1 differ:\n%+v\n%+v", first, second)
	}
}
