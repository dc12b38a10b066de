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
	// turn is how long a candidate waits for each candidate that ranks before it; longer than an append takes.
	turn = 5 * time.Second
	// period is the time between two plans when no record arrives, because plans also depend on the time.
	period        = 5 * time.Second
	appendTimeout = 10 * time.Second
)

// StateSource hands out the snapshots of the log.
type StateSource interface {
	Snapshot() *fold.State
	Changed() (*fold.State, <-chan struct{})
}

// Log appends records.
type Log interface {
	Append(ctx context.Context, r fold.Record) (fold.Outcome, error)
}

// Platform carries out the steps that a VM cannot take itself.
type Platform interface {
	Reboot(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error
	Return(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error
	List(ctx context.Context) ([]plat.ListedVM, error)
}

// Runner is the planner of one entry. Set its fields before Run.
type Runner struct {
	Self     ident.EntryID
	State    StateSource
	Log      Log
	Platform Platform
	Ready    func() bool                                 // whether the log and the view are up to date; always when nil
	View     func() *peer.View                           // entries that may hold the duty
	Facts    func() map[ident.VMID]plan.Fact             // what was observed of the VMs
	Healthy  func(ctx context.Context, vm *fold.VM) bool // whether a VM answers
	Options  plan.Options                                // Facts are replaced by those of the function Facts
	Clock    clock.Clock
	Logger   hclog.Logger

	term    ident.Term // taken by this process; 0 when none
	vacant  time.Time  // since when no entry in the view holds the duty; zero when one does
	reboots map[ident.VMID]reboot
	returns map[ident.VMID]ident.Epoch // accepted by the platform
}

// Run plans until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := r.State.Changed()
		r.RunOnce(ctx)
		wake := make(chan struct{})
		t := r.Clock.AfterFunc(period, func() { close(wake) })
		select {
		case <-changed:
		case <-wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

// RunOnce acts once on the newest snapshot: as holder it carries out a plan, as candidate it may take the duty.
func (r *Runner) RunOnce(ctx context.Context) {
	if r.Ready != nil && !r.Ready() {
		return
	}
	if !r.holds() {
		r.stand(ctx)
		return
	}
	r.carryOut(ctx)
	if r.holds() {
		r.attend(ctx)
	}
}

// holds reports whether the newest snapshot shows the term that this process
// took. A process that was restarted under the same id took none.
func (r *Runner) holds() bool {
	p := r.State.Snapshot().Planner
	return r.term != 0 && p.Term == r.term && p.Holder == r.Self
}

// stand takes the duty when its holder is gone and every candidate of a higher rank has had its turn.
func (r *Runner) stand(ctx context.Context) {
	s, view, now := r.State.Snapshot(), r.View(), r.Clock.Now()
	if holder, ok := view.Members[s.Planner.Holder]; ok && holder.State == peer.Up && s.Planner.Holder != r.Self {
		r.vacant = time.Time{}
		return
	}
	if r.vacant.IsZero() {
		r.vacant = now
	}
	var up []peer.Member
	for _, m := range view.Members {
		if m.State == peer.Up {
			up = append(up, m)
		}
	}
	rank := slices.IndexFunc(peer.Rank("planner", up), func(m peer.Member) bool { return m.ID == r.Self })
	if rank < 0 || now.Sub(r.vacant) < time.Duration(rank)*turn {
		return
	}
	term := s.Planner.Term + 1
	v, err := r.append(ctx, func(h fold.Header) fold.Record {
		return fold.TakePlanner{Header: h, Term: term, Holder: r.Self}
	}, fmt.Sprintf("term/%d", term))
	r.vacant = now // after a conflict or an error the wait begins again
	if err != nil || v.Result != fold.Accepted {
		r.Logger.Info("the planner duty was not taken", "term", term, "reason", v.Reason, "error", err)
		return
	}
	r.term = term
	r.reboots, r.returns = map[ident.VMID]reboot{}, map[ident.VMID]ident.Epoch{}
	r.Logger.Info("took the planner duty", "term", term)
}

// carryOut appends a plan, up to the first record that does not take effect. The
// rest was decided on a state that is no longer the present one.
func (r *Runner) carryOut(ctx context.Context) {
	opt := r.Options
	opt.Facts = r.Facts()
	for _, a := range plan.Plan(r.State.Snapshot(), r.Clock.Now(), opt) {
		if !r.holds() {
			return
		}
		step := a.Step()
		v, err := r.append(ctx, func(h fold.Header) fold.Record { return plan.Record(a, h) },
			fmt.Sprintf("%T/%s/%d", a, step.VM, step.Epoch))
		if err != nil || v.Result != fold.Accepted {
			r.Logger.Info("a planned step did not take effect", "vm", step.VM, "reason", v.Reason, "error", err)
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
