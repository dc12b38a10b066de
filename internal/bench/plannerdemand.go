package bench

import (
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/plan"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// waveMargin is the planner's default margin before a wave closes.
const waveMargin = 10 * time.Minute

// loansOf derives what the calendar of a region demands of the reserve. Outages of
// reserve VMs are left out. With rackLosses the pools of a lost rack each need a VM
// until the rack is back; a policy need not hold a reserve for that, but lends what it has.
func demandOf(r *region, rackLosses bool) *plan.Loans {
	l := &plan.Loans{}
	gone := map[ident.VMID]time.Time{}
	pools := map[ident.VMID]ident.PoolID{}
	lasting := map[ident.PoolID][]outage{}
	for i := range r.file.VMs {
		pools[r.file.VMs[i].ID] = r.file.VMs[i].Pool
	}
	for _, ret := range r.file.Returns {
		for _, id := range ret.VMs {
			gone[id] = ret.Deadline
			l.Needs = append(l.Needs, plan.Need{Pool: pools[id], From: ret.Deadline, Forever: true})
		}
	}
	for i := range r.file.VMs {
		vm := &r.file.VMs[i]
		for _, o := range r.outagesOf(vm) {
			at, returned := gone[vm.ID]
			if o.kind == outageLasting && (!returned || o.from.Before(at)) && (rackLosses || !o.rack) {
				lasting[vm.Pool] = append(lasting[vm.Pool], o)
			}
		}
	}
	for _, p := range r.file.Pools[1:] {
		slack := p.Owed - p.MinServing - 1
		l.Needs = append(l.Needs, outageNeeds(p.ID, lasting[p.ID], slack)...)
		if slack == 0 {
			for i := range r.file.Waves {
				l.Visits = append(l.Visits, r.rebootWindows(p.ID, &r.file.Waves[i], gone)...)
			}
		}
	}
	return l
}

// outageNeeds returns the needs of a pool that can spare slack VMs with its
// headroom kept: one for each outage that comes on top of slack others.
func outageNeeds(p ident.PoolID, outages []outage, slack int) []plan.Need {
	var needs []plan.Need
	for _, o := range outages {
		end, others := o.to, 0
		for _, x := range outages {
			if x.from.Before(o.from) && x.to.After(o.from) {
				others++
				if x.to.Before(end) {
					end = x.to
				}
			}
		}
		if slack == 0 {
			end = o.to
		}
		if from := o.from.Add(maxHeadroomGap); others >= slack && from.Before(end) {
			needs = append(needs, plan.Need{Pool: p, From: from, To: end})
		}
	}
	return needs
}

// visit returns the reboots of a pool in a wave, without VMs that return before it
// closes or that may be restarted within it after a failure.
func (r *region) rebootWindows(p ident.PoolID, w *fleet.Wave, gone map[ident.VMID]time.Time) []plan.Visit {
	n := 0
	for i := range r.file.VMs {
		vm := &r.file.VMs[i]
		at, returned := gone[vm.ID]
		if vm.Pool != p || !slices.Contains(w.Zones, vm.Zone) || returned && at.Before(w.Closes) {
			continue
		}
		failed := slices.ContainsFunc(r.outagesOf(vm), func(o outage) bool {
			down := o.kind == outageLasting || o.kind == outageFailure
			return down && o.from.Before(w.Closes) && o.from.After(w.Opens.Add(-longestOutage))
		})
		if !failed {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return []plan.Visit{{Pool: p, Opens: w.Opens, Closes: w.Closes.Add(-waveMargin), VMs: n, Cycle: replayTick + rebootLength}}
}

// reserveLowerBound is the smallest reserve that leaves enough VMs for every pool's budget and headroom,
// wherever they are, also while reserve VMs are out of service themselves. Below
// it no plan restores the headroom within headroomLimit.
func reserveLowerBound(r *region, l *plan.Loans) int {
	n := l.ReserveLowerBound()
	for r.reserveTooSmall(n) {
		n++
	}
	return n
}

// shortOf reports whether at some moment without a lost rack fewer VMs are up than the pools need.
func (r *region) reserveTooSmall(reserve int) bool {
	need := 0
	for _, p := range r.file.Pools[1:] {
		need += p.MinServing + 1
	}
	f := r.fileWithReserve(sharedReserve(r, reserve))
	var out []outage
	for i := range f.VMs {
		for _, o := range r.outagesOf(&f.VMs[i]) {
			o.from = o.from.Add(maxHeadroomGap)
			if o.kind == outageLasting && !o.rack && o.from.Before(o.to) {
				out = append(out, o)
			}
		}
	}
	for _, o := range out {
		up := len(f.VMs) - r.returnedBy(o.from)
		for _, x := range out {
			if !x.from.After(o.from) && x.to.After(o.from) {
				up--
			}
		}
		lost := slices.ContainsFunc(r.rackLosses, func(l rackLoss) bool {
			return !l.from.After(o.from) && l.from.Add(rackLossLength).After(o.from)
		})
		if !lost && up < need {
			return true
		}
	}
	return false
}

// returnedBy counts the VMs whose return is due by a time.
func (r *region) returnedBy(at time.Time) int {
	n := 0
	for _, ret := range r.file.Returns {
		if !ret.Deadline.After(at) {
			n += len(ret.VMs)
		}
	}
	return n
}
