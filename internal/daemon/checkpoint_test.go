package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

type fixedState struct{ s *fold.State }

func (f *fixedState) Snapshot() *fold.State { return f.s }

func stateWithPlanner(t *testing.T, id ident.EntryID) *fold.State {
	t.Helper()
	s, v := fold.Empty().Apply(fold.TakePlanner{Header: fold.Header{ID: "term"}, Term: 1, Holder: id})
	if v.Result != fold.Accepted {
		t.Fatalf("TakePlanner: %s", v.Reason)
	}
	return s
}

// Guards against a log that is trimmed before a checkpoint is written, and against entries that write checkpoints
// without being the planner.
func TestCheckpointInterval(t *testing.T) {
	c := clock.NewManual(time.Unix(1, 0))
	state := &fixedState{s: stateWithPlanner(t, "entry-b")}
	writes, fail := 0, false
	cp := &checkpointer{
		self: "entry-a", retention: 24 * time.Hour, state: state, clock: c, logger: hclog.NewNullLogger(),
		write: func(context.Context, string, time.Time) error {
			if fail {
				return errors.New("the platform is unreachable")
			}
			writes++
			return nil
		},
	}
	expect := func(when string, advance time.Duration, want int) {
		t.Helper()
		c.Advance(advance)
		cp.writeIfDue(context.Background())
		if got := writes; got != want {
			t.Errorf("%s: checkpoints = %d, want %d", when, got, want)
		}
	}
	expect("not the planner", 0, 0)
	state.s = stateWithPlanner(t, "entry-a")
	expect("new planner", 0, 1)
	expect("before a quarter of the retention", 5*time.Hour, 1)
	fail = true
	expect("platform unreachable", time.Hour, 1)
	fail = false
	expect("platform reachable again", checkpointCheckInterval, 2)
}
