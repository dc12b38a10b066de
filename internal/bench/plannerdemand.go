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

// demandOf derives what the calendar of a region demands of the reserve. Outages of reserve
// VMs are left out. With rackLosses each pool with a VM in a lost rack needs one VM until the rack is
// back; a policy need not hold a reserve for that, but uses the reserve VMs that it has.
func demandOf(r *region, rackLosses bool) *plan.Demand {
	demand := &plan.Demand{}
	returnDeadlines := map[ident.VMID]time.Time{}
	pools := map[ident.VMID]ident.PoolID{}
	lastingOutages := map[ident.PoolID][]outage{}
	for i := range r.file.VMs {
		pools[r.file.VMs[i].ID] = r.file.VMs[i].Pool
	}
	for _, ret := range r.file.Returns {
		for _, id := range ret.VMs {
			returnDeadlines[id] = ret.Deadline
			demand.Needs = append(demand.Needs, plan.Need{Pool: pools[id], From: ret.Deadline, Permanent: true})
		}
	}
	for i := range r.file.VMs {
		vm := &r.file.VMs[i]
		for _, o := range r.outagesOf(vm) {
			deadline, returned := returnDeadlines[vm.ID]
			if o.kind == outageLasting && (!returned || o.from.Before(deadline)) && (rackLosses || !o.rack) {
				lastingOutages[vm.Pool] = append(lastingOutages[vm.Pool], o)
			}
		}
	}
	for _, p := range r.file.Pools[1:] {
		slack := p.Owed - p.MinServing - 1
		demand.Needs = append(demand.Needs, outageNeeds(p.ID, lastingOutages[p.ID], slack)...)
		if slack == 0 {
			for i := range r.file.Waves {
				demand.Reboots = append(demand.Reboots, r.rebootWindows(p.ID, &r.file.Waves[i], returnDeadlines)...)
			}
		}
	}
	return demand
}

// outageNeeds returns the needs of a pool that keeps its headroom while slack of its VMs are
// out of service: one for each outage that begins while at least slack others last.
func outageNeeds(p ident.PoolID, outages []outage, slack int) []plan.Need {
	var needs []plan.Need
	for _, o := range outages {
		end, others := o.to, 0
		for _, other := range outages {
			if other.from.Before(o.from) && other.to.After(o.from) {
				others++
				if other.to.Before(end) {
					end = other.to
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

// rebootWindows returns the reboots of a pool in a wave. It leaves out VMs that are returned before the
// wave closes and VMs that may be rebooted in it because they failed.
func (r *region) rebootWindows(p ident.PoolID, w *fleet.Wave, returnDeadlines map[ident.VMID]time.Time) []plan.RebootWindow {
	n := 0
	for i := range r.file.VMs {
		vm := &r.file.VMs[i]
		deadline, returned := returnDeadlines[vm.ID]
		if vm.Pool != p || !slices.Contains(w.Zones, vm.Zone) || returned && deadline.Before(w.Closes) {
			continue
		}
		failed := slices.ContainsFunc(r.outagesOf(vm), func(o outage) bool {
			needsReboot := o.kind == outageLasting || o.kind == outageFailure
			return needsReboot && o.from.Before(w.Closes) && o.from.After(w.Opens.Add(-longestOutage))
		})
		if !failed {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return []plan.RebootWindow{{Pool: p, Opens: w.Opens, Closes: w.Closes.Add(-waveMargin), VMs: n, Cycle: replayTick + rebootLength}}
}

// reserveLowerBound returns the smallest reserve with which the region has enough VMs for every pool's
// budget and headroom, regardless of the pools that they are in, also while reserve VMs are out of
// service. With a smaller one no plan restores the headroom within maxHeadroomGap.
func reserveLowerBound(r *region, demand *plan.Demand) int {
	n := demand.ReserveLowerBound()
	for r.reserveTooSmall(n) {
		n++
	}
	return n
}

// reserveTooSmall reports whether at some time without a lost rack fewer VMs are up than the pools need.
func (r *region) reserveTooSmall(reserve int) bool {
	need := 0
	for _, p := range r.file.Pools[1:] {
		need += p.MinServing + 1
	}
	f := r.fileWithReserve(sharedReserve(r, reserve))
	var outages []outage
	for i := range f.VMs {
		for _, o := range r.outagesOf(&f.VMs[i]) {
			o.from = o.from.Add(maxHeadroomGap)
			if o.kind == outageLasting && !o.rack && o.from.Before(o.to) {
				outages = append(outages, o)
			}
		}
	}
	for _, o := range outages {
		up := len(f.VMs) - r.returnedBy(o.from)
		for _, other := range outages {
			if !other.from.After(o.from) && other.to.After(o.from) {
				up--
			}
		}
		rackLost := slices.ContainsFunc(r.rackLosses, func(l rackLoss) bool {
			return !l.from.After(o.from) && l.from.Add(rackLossLength).After(o.from)
		})
		if !rackLost && up < need {
			return true
		}
	}
	return false
}

// returnedBy returns the number of VMs whose return is due by the given time.
func (r *region) returnedBy(at time.Time) int {
	n := 0
	for _, ret := range r.file.Returns {
		if !ret.Deadline.After(at) {
			n += len(ret.VMs)
		}
	}
	return n
}
