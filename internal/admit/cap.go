package admit

import "time"

// CapTimes is for how long tasks need the whole of their tenant's cap, by resource.
type CapTimes struct{ CPU, Memory, GPU time.Duration }

// Plus returns the sums by resource.
func (t CapTimes) Plus(u CapTimes) CapTimes {
	return CapTimes{t.CPU + u.CPU, t.Memory + u.Memory, t.GPU + u.GPU}
}

func (t CapTimes) longest() time.Duration { return max(t.CPU, t.Memory, t.GPU) }

// DecideByCap refuses a job that is otherwise admitted if it would complete too late behind the backlog of its own tenant,
// by the tenant's cap alone.
func DecideByCap(backlog, own CapTimes, d Demand, admitted Decision) Decision {
	if d.Service || d.Scheduled {
		return admitted
	}
	wait := backlog.longest()
	if excess := d.Elapsed + max(wait+d.LongestChain, backlog.Plus(own).longest()) - maxLateness*d.Objective; excess > 0 {
		return refuse("behind the backlog of its tenant's cap, the job would complete too late", LimitCap, wait, excess)
	}
	admitted.Wait = max(admitted.Wait, wait)
	return admitted
}
