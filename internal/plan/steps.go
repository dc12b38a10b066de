package plan

import (
	"cmp"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/fold"
)

// settleDrained takes the next step of VMs that were drained for a purpose and
// collects the others.
func (v *view) settleDrained() {
	for _, m := range v.vms {
		if m.Phase != fold.Drained {
			continue
		}
		switch {
		case v.leaving(m):
			v.actions = append(v.actions, Return{v.step(m)})
		case m.down && m.goesBefore(v.now.Add(v.opt.RefillAfter)):
			// A restart might not end before the deadline, and only a drained VM can be returned.
		case m.down:
			v.reboot(m)
		case m.wave != nil && !v.now.After(v.latestReboot(m.wave)):
			v.reboot(m)
		default:
			m.free = true
			v.free = append(v.free, m)
		}
	}
}

func (v *view) reboot(m *machine) {
	r := Reboot{VMStep: v.step(m)}
	if m.wave != nil {
		r.Wave = m.wave.ID
	}
	v.actions = append(v.actions, r)
}

// releaseDrained puts drained VMs that nobody needs back into service.
func (v *view) releaseDrained() {
	for _, m := range v.free {
		if m.taken {
			continue
		}
		to := m.pool
		if v.pol.shared && !v.pol.lazy && v.spare != nil && m.pool.surplus() > 0 {
			to = v.spare
		}
		v.assign(m, to)
	}
}

// drainFailed starts the restart of VMs that have failed for longer than the hold.
// They no longer count as serving, so no budget is touched.
func (v *view) drainFailed() {
	for _, m := range v.vms {
		if m.active() && m.failed && !m.taken {
			v.drain(m, "failed")
		}
	}
}

// drainReturns starts the returns that are near, replacement first. Shortly before
// the deadline it goes on without replacement and without headroom.
func (v *view) drainReturns() {
	var leaving []*machine
	for _, m := range v.vms {
		if m.active() && v.leaving(m) && !m.taken {
			leaving = append(leaving, m)
		}
	}
	slices.SortStableFunc(leaving, func(a, b *machine) int {
		return cmp.Or(a.leave.Compare(b.leave), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range leaving {
		urgent := v.urgentReturn(m)
		replaced := m.pool.spare || m.pool.kept >= m.pool.Owed && m.pool.planned == 0
		if (replaced || urgent) && m.pool.canDrain(m, urgent) {
			v.drain(m, "return")
		}
	}
}

// urgentReturn reports whether the VM's return no longer waits for headroom.
func (v *view) urgentReturn(m *machine) bool {
	return !m.leave.IsZero() && v.now.After(m.leave.Add(-v.opt.UrgentLead))
}

// drainSurplus sends VMs above what their pool is owed towards the spare pool.
func (v *view) drainSurplus() {
	for _, m := range v.vms {
		q := m.pool
		if q.spare || m.taken || m.Phase != fold.Serving || m.down || m.wave != nil || v.leaving(m) {
			continue
		}
		if q.due+q.active == 0 && q.planned == 0 && q.surplus() > 0 && q.canDrain(m, false) {
			q.idle++
			v.drain(m, "above what the pool is owed")
		}
	}
}
