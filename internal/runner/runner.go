package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const (
	// candidateDelay is how long a candidate waits for each candidate of a higher rank; it is longer than an append takes.
	candidateDelay = 5 * time.Second
	// planInterval is the time between two plans when no record arrives, because plans also depend on the time.
	planInterval  = 5 * time.Second
	appendTimeout = 10 * time.Second
)

// StateSource provides snapshots of the state that is derived from the log.
type StateSource interface {
	Snapshot() *fold.State
	// Changed returns a snapshot, and a channel that is closed when there is a newer one.
	Changed() (*fold.State, <-chan struct{})
}

// Log appends records to the log and returns whether they took effect.
type Log interface {
	Append(ctx context.Context, r fold.Record) (fold.Outcome, error)
}

// Platform executes the steps that a VM can't execute itself.
type Platform interface {
	Reboot(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error
	Return(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error
	List(ctx context.Context) ([]plat.ListedVM, error)
}

// Runner plans for the fleet while its entry holds the planner role. Set its fields before Run.
type Runner struct {
	Self         ident.EntryID
	State        StateSource
	Log          Log
	Platform     Platform
	Ready        func() bool                                 // whether State and View are up to date; nil means always
	View         func() *peer.View                           // entries that may hold the role
	Observations func() map[ident.VMID]plan.Observation      // observed conditions of VMs
	Healthy      func(ctx context.Context, vm *fold.VM) bool // whether a VM responds
	Options      plan.Options                                // its Observations are replaced by what the function Observations returns
	Clock        clock.Clock
	Logger       hclog.Logger

	term        ident.Term // taken by this process; 0 if none
	vacantSince time.Time  // since when no entry in the view holds the role; zero if one does
	reboots     map[ident.VMID]rebootRequest
	returns     map[ident.VMID]ident.Epoch // epochs of the requests that the platform accepted
}

// Run plans until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := r.State.Changed()
		r.RunOnce(ctx)
		wake := make(chan struct{})
		t := r.Clock.AfterFunc(planInterval, func() { close(wake) })
		select {
		case <-changed:
		case <-wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

// RunOnce acts once on the newest snapshot: the holder of the role executes a plan, a candidate may take the role.
func (r *Runner) RunOnce(ctx context.Context) {
	if r.Ready != nil && !r.Ready() {
		return
	}
	if !r.holdsRole() {
		r.tryTakeRole(ctx)
		return
	}
	r.executePlan(ctx)
	if r.holdsRole() {
		r.handlePlatformSteps(ctx)
	}
}

// holdsRole reports whether the newest snapshot shows the term that this process
// took. After a restart under the same ID the process has taken none.
func (r *Runner) holdsRole() bool {
	p := r.State.Snapshot().Planner
	return r.term != 0 && p.Term == r.term && p.Holder == r.Self
}

// tryTakeRole takes the planner role if it is vacant and the delay for each candidate of a higher rank has passed.
func (r *Runner) tryTakeRole(ctx context.Context) {
	s, view, now := r.State.Snapshot(), r.View(), r.Clock.Now()
	if holder, ok := view.Members[s.Planner.Holder]; ok && holder.State == peer.Up && s.Planner.Holder != r.Self {
		r.vacantSince = time.Time{}
		return
	}
	if r.vacantSince.IsZero() {
		r.vacantSince = now
	}
	var up []peer.Member
	for _, m := range view.Members {
		if m.State == peer.Up {
			up = append(up, m)
		}
	}
	rank := slices.IndexFunc(peer.Rank("planner", up), func(m peer.Member) bool { return m.ID == r.Self })
	if rank < 0 || now.Sub(r.vacantSince) < time.Duration(rank)*candidateDelay {
		return
	}
	term := s.Planner.Term + 1
	outcome, err := r.append(ctx, func(h fold.Header) fold.Record {
		return fold.TakePlanner{Header: h, Term: term, Holder: r.Self}
	}, fmt.Sprintf("term/%d", term))
	r.vacantSince = now // after a conflict or an error the delay starts again
	if err != nil || outcome.Result != fold.Accepted {
		r.Logger.Info("failed to take the planner role; will try again if it stays vacant", "term", term, "reason", outcome.Reason, "error", err)
		return
	}
	r.term = term
	r.reboots, r.returns = map[ident.VMID]rebootRequest{}, map[ident.VMID]ident.Epoch{}
	r.Logger.Info("took the planner role", "term", term)
}

// executePlan appends the steps of a plan to the log. It stops at the first one that does
// not take effect, because the rest was planned from an outdated state.
func (r *Runner) executePlan(ctx context.Context) {
	opt := r.Options
	opt.Observations = r.Observations()
	for _, a := range plan.Plan(r.State.Snapshot(), r.Clock.Now(), opt) {
		if !r.holdsRole() {
			return
		}
		step := a.Step()
		outcome, err := r.append(ctx, func(h fold.Header) fold.Record { return plan.Record(a, h) },
			fmt.Sprintf("%T/%s/%d", a, step.VM, step.Epoch))
		if err != nil {
			r.Logger.Info("it is not known whether a planned step took effect; dropping the rest of the plan", "vm", step.VM, "error", err)
			return
		}
		if outcome.Result != fold.Accepted {
			r.Logger.Info("a planned step did not take effect; dropping the rest of the plan", "vm", step.VM, "reason", outcome.Reason)
			return
		}
	}
}

func (r *Runner) append(ctx context.Context, record func(fold.Header) fold.Record, id string) (fold.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	now := r.Clock.Now()
	return r.Log.Append(ctx, record(fold.Header{
		ID:     ident.RecordID(fmt.Sprintf("%s/%s/%d", id, r.Self, now.UnixNano())),
		Writer: string(r.Self), Time: now, ConfigRead: r.State.Snapshot().ConfigOffset,
	}))
}
