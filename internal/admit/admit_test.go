package admit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A job is refused as soon as the backlog shows that it would be of no use to its client, counted from its first
// submission. Guards also against refusals by the capacity of the moment while it isn't known how much will come: after an
// outage of the log, clients were refused although the VMs of all other pools were idle.
func TestRefusesWhatWouldBeTooLate(t *testing.T) {
	job := Demand{CPUTime: 10 * time.Second, LongestChain: time.Second, Objective: 2 * time.Second} // of use for 6 s
	for name, test := range map[string]struct {
		load    Load
		elapsed time.Duration
		want    bool
	}{
		"4 s of backlog":                             {Load{Backlog: 40 * time.Second, Capacity: 10}, 0, true},
		"6 s of backlog":                             {Load{Backlog: 60 * time.Second, Capacity: 10}, 0, false},
		"6 s of backlog, as much in reserve":         {Load{Backlog: 60 * time.Second, Capacity: 10, Reserve: 10}, 0, true},
		"6 s of backlog, capacity to come unknown":   {Load{Backlog: 60 * time.Second, Capacity: 10, CapacityUnknown: true}, 0, true},
		"4 s of backlog, submitted 2 s ago at first": {Load{Backlog: 40 * time.Second, Capacity: 10}, 2 * time.Second, false},
	} {
		job.Elapsed = test.elapsed
		got := Decide(test.load, job)
		if got.Admit != test.want {
			t.Errorf("%s: admitted %v, want %v", name, got.Admit, test.want)
		}
		if !got.Admit && (got.RetryAfter < minRetry || got.RetryAfter > maxRetry) {
			t.Errorf("%s: retry after %v, want %v to %v", name, got.RetryAfter, minRetry, maxRetry)
		}
	}
}

// Guards against jobs that run at once and are refused since scheduled, service or large ones, or those of one tenant, have taken all
// places, and against a number of jobs without bound.
func TestResidentJobsLeavePlaces(t *testing.T) {
	for name, test := range map[string]struct {
		load   Load
		demand Demand
		want   Limit
	}{
		"scheduled, places left":          {Load{Jobs: maxResident, Resident: maxResident - 1}, Demand{Scheduled: true, Resident: true}, ""},
		"scheduled, only the reserve":     {Load{Jobs: maxResident, Resident: maxResident}, Demand{Scheduled: true, Resident: true}, LimitJobs},
		"at once, only the reserve":       {Load{Jobs: maxResident, Resident: maxResident}, Demand{}, ""},
		"at once, no place":               {Load{Jobs: maxJobs, Resident: maxResident}, Demand{}, LimitJobs},
		"of a tenant with a half":         {Load{Jobs: maxTenantJobs, OfTenant: maxTenantJobs}, Demand{}, LimitJobs},
		"of another tenant":               {Load{Jobs: maxTenantJobs}, Demand{}, ""},
		"at once, places, but no memory":  {Load{NoSpace: true}, Demand{}, LimitSpace},
		"scheduled, places, but no space": {Load{NoSpace: true}, Demand{Scheduled: true, Resident: true}, LimitSpace},
	} {
		if got := Decide(test.load, test.demand); got.Limit != test.want || got.Admit != (test.want == "") {
			t.Errorf("%s: admitted %v, limit %q; want limit %q", name, got.Admit, got.Limit, test.want)
		}
	}
}

// Guards against jobs that are refused for the backlog of other tenants, and against shares that are counted beyond the tenant's
// own work. A refused client is told when the backlog that its job was refused for has drained.
func TestTenantsShare(t *testing.T) {
	job := Demand{CPUTime: 10 * time.Second, LongestChain: time.Second, Objective: 2 * time.Second} // of use for 6 s
	for name, test := range map[string]struct {
		load  Load
		limit Limit // empty if the job is admitted
		retry time.Duration
	}{
		"the pool's backlog alone":        {Load{Backlog: 600 * time.Second, Capacity: 100}, LimitPool, time.Second},
		"share without backlog":           {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{Share: 0.1}}, "", 0},
		"share with 4 s of backlog":       {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{Backlog: 40 * time.Second, Ahead: 40 * time.Second, Share: 0.1}}, "", 0},
		"share with 8 s of backlog":       {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{Backlog: 80 * time.Second, Ahead: 80 * time.Second, Share: 0.1}}, LimitShare, 3 * time.Second},
		"share with 8 s behind the job":   {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{Backlog: 80 * time.Second, Share: 0.1}}, "", 0},
		"a pool with room for the tenant": {Load{Backlog: 80 * time.Second, Capacity: 100, Tenant: &TenantLoad{Backlog: 80 * time.Second, Ahead: 80 * time.Second, Share: 0.1}}, "", 0},
		"weight 0":                        {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{}}, LimitPool, time.Second},
		"a tiny share":                    {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{Backlog: time.Second, Ahead: time.Second, Share: 1e-18}}, LimitShare, maxRetry},
		"the only job in a tiny share":    {Load{Backlog: 600 * time.Second, Capacity: 100, Tenant: &TenantLoad{Share: 1e-18}}, "", 0},
	} {
		got := Decide(test.load, job)
		if got.Limit != test.limit || got.Admit != (test.limit == "") || got.RetryAfter != test.retry {
			t.Errorf("%s: admitted %v, limit %q, retry after %v; want limit %q, retry after %v", name, got.Admit, got.Limit, got.RetryAfter, test.limit, test.retry)
		}
	}
}

// Guards against other decisions than before where a deployment has no tenants: on random loads, a job is admitted or refused
// by the pool's backlog alone.
func TestWithoutTenantsPoolDecides(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	seconds := func(most float64) time.Duration { return time.Duration(most * rng.Float64() * float64(time.Second)) }
	for range 2000 {
		l := Load{Backlog: seconds(400), Capacity: float64(rng.IntN(60)), Reserve: float64(rng.IntN(20)), Jobs: rng.IntN(maxJobs + 100), CapacityUnknown: rng.IntN(5) == 0}
		d := Demand{CPUTime: seconds(60), LongestChain: seconds(2), Objective: seconds(4), Elapsed: seconds(3), Service: rng.IntN(10) == 0, Scheduled: rng.IntN(10) == 0}
		cores := l.Capacity + l.Reserve
		want := Decision{Admit: true}
		switch {
		case l.Jobs >= maxJobs:
			want = Decision{RetryAfter: maxRetry}
		case d.Service || d.Scheduled || l.CapacityUnknown || cores <= 0:
		default:
			want.Wait = time.Duration(float64(l.Backlog) / cores)
			excess := d.Elapsed + want.Wait + max(d.LongestChain, time.Duration(float64(d.CPUTime)/cores)) - maxLateness*d.Objective
			if excess > 0 {
				want.Admit, want.RetryAfter = false, min(max(excess, minRetry), maxRetry)
			}
		}
		got := Decide(l, d)
		got.Reason, got.Limit = "", ""
		if got != want {
			t.Fatalf("load %+v, demand %+v: decision %+v, want %+v", l, d, got, want)
		}
	}
}
