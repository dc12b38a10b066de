package bench

import "testing"

// Guards against entries that lose or revert accepted records or disagree on their outcome,
// under an outage, a partition, races and lost responses. The bounds on times are checked by
// the command only, because the machine that runs tests is shared.
func TestRolloutLosesNothing(t *testing.T) {
	r, err := Rollout(t.Context(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if r.Accepted != rolloutRounds || r.Reverts+r.Lost+r.Disagreements != 0 {
		t.Errorf("result = %+v, want %d accepted files and no file lost, reverts or disagreements", r, rolloutRounds)
	}
}
