package ctrl

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/maint"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// ready is an order for a VM that has been found empty.
type ready struct {
	kind    jobs.CordonReason
	machine work.MachineID
	target  work.TargetID
	room    work.Millicores
	from    ident.PoolID
	to      ident.PoolID
	wave    int64
	reason  string
}

type cordonSet map[ident.PoolID]map[work.TargetID]jobs.CordonReason

func (c cordonSet) add(pool ident.PoolID, id work.TargetID, why jobs.CordonReason) {
	if c[pool] == nil {
		c[pool] = map[work.TargetID]jobs.CordonReason{}
	}
	c[pool][id] = why
}

// targetsByMachine relates VMs to what their present pools report of them. A VM that was moved is named by its
// former pool as well, until the registration of its former life is gone.
func targetsByMachine(machines map[work.MachineID]work.Machine, pools []sizer.Pool) map[work.MachineID]*sizer.Target {
	out := map[work.MachineID]*sizer.Target{}
	for i := range pools {
		for k := range pools[i].Targets {
			t := &pools[i].Targets[k]
			m := machines[t.Machine]
			if m.Pool == pools[i].ID && (m.Target == "" || t.ID == "" || m.Target == t.ID) {
				out[t.Machine] = t
			}
		}
	}
	return out
}

// planWaves chooses the VMs to cordon for upkeep and returns those that are empty.
func (s *Controller) planWaves(now time.Time, machines map[work.MachineID]work.Machine, pools []sizer.Pool, next cordonSet) []ready {
	byMachine := targetsByMachine(machines, pools)
	sizes := sizer.Sizes(pools)
	parked := map[ident.PoolID]bool{}
	for _, p := range pools {
		parked[p.ID] = p.PoweredOff
	}
	var out []ready
	for _, w := range s.Pools.Waves() {
		st := s.store.wave(now, w.ID)
		if st.Completed {
			continue
		}
		wave := maint.Wave{Wave: w, Down: s.down(w.ID, w.Machines, machines), TimeLeft: w.TimeLimit - s.store.since(now, w.ID)}
		for _, id := range w.Machines {
			m, listed := machines[id]
			if !listed || m.State != work.MachineUp || st.has(id) || !s.free(now, id) {
				continue
			}
			x := maint.Machine{ID: id, Pool: m.Pool, PoweredOff: parked[m.Pool], Spare: sizes[m.Pool].Spare()}
			if t := byMachine[id]; t != nil {
				x.Runs, x.ServiceTasks = t.Runs, t.ServiceTasks
				x.Cordoned = s.cordons[m.Pool][t.ID] == jobs.CordonMaintenance
			} else if !x.PoweredOff {
				continue // not reported: whether it is empty isn't known
			}
			wave.Remaining = append(wave.Remaining, x)
		}
		for _, x := range maint.ChooseNext(wave, s.MaintenanceTime) {
			m := machines[x.ID]
			r := ready{kind: jobs.CordonMaintenance, machine: x.ID, from: m.Pool, wave: w.ID, reason: "wave"}
			if !x.PoweredOff {
				t := byMachine[x.ID]
				next.add(m.Pool, t.ID, jobs.CordonMaintenance)
				if !t.Cordoned || t.Runs > 0 {
					continue
				}
				r.target, r.room = t.ID, t.Capacity.CPU
			}
			out = append(out, r)
		}
	}
	return out
}

// down counts the VMs of a wave that are down, or may be.
func (s *Controller) down(wave int64, ids []work.MachineID, machines map[work.MachineID]work.Machine) int {
	n := 0
	for _, id := range ids {
		o := s.orders[id]
		if machines[id].State == work.MachineMaintenance || (o != nil && o.kind == jobs.CordonMaintenance && o.wave == wave && (o.done || o.unsure)) {
			n++
		}
	}
	return n
}

// planMoves chooses the VMs that change their pool.
func (s *Controller) planMoves(now time.Time, machines map[work.MachineID]work.Machine, pools []sizer.Pool, next cordonSet) []ready {
	byMachine := targetsByMachine(machines, pools)
	for i := range pools {
		p := &pools[i]
		for k := range p.Targets {
			t := &p.Targets[k]
			_, upkeepNext := next[p.ID][t.ID]
			t.Excluded = upkeepNext || byMachine[t.Machine] != t || machines[t.Machine].State != work.MachineUp || s.orders[t.Machine] != nil
			t.Pinned = s.pinned(now, t.Machine)
		}
		for _, o := range s.orders {
			if o.kind == jobs.CordonMove && o.to == p.ID && o.done {
				p.Incoming += o.room
			}
		}
	}
	s.reserve = sizer.Reserve(pools)
	s.logSizes(now, pools)
	var out []ready
	for _, m := range sizer.PlanMoves(pools) {
		t := byMachine[m.Machine]
		r := ready{kind: jobs.CordonMove, machine: m.Machine, target: m.Target, room: t.Capacity.CPU, from: m.From, to: m.To, reason: m.Reason}
		if m.Target != "" {
			next.add(m.From, m.Target, jobs.CordonMove)
			if !t.Cordoned || t.Runs > 0 {
				continue
			}
		}
		out = append(out, r)
	}
	return out
}

// logSizes tells once in a while how large the pools are and should be.
func (s *Controller) logSizes(now time.Time, pools []sizer.Pool) {
	if now.Sub(s.logged) < sizesPeriod {
		return
	}
	s.logged = now
	sizes := sizer.Sizes(pools)
	for i := range pools {
		p := &pools[i]
		z := sizes[p.ID]
		s.Logger.Info("pool size", "pool", p.ID, "have", z.Have, "need", z.Need, "idle", z.Idle, "incoming_cpu", p.Incoming, "running_cpu", p.Running.CPU,
			"runnable_cpu", p.Runnable.CPU, "lasting_cpu", p.Service.CPU, "arrival_cpu", p.ArrivalRate)
	}
}

// sizesPeriod bounds the lines about sizes.
const sizesPeriod = time.Second

// publish tells operators how far the waves are.
func (s *Controller) publish(ctx context.Context, machines map[work.MachineID]work.Machine) error {
	now := s.Clock.Now()
	for _, w := range s.Pools.Waves() {
		st := s.store.wave(now, w.ID)
		if st.Published && (st.Completed || !s.complete(st, w, machines)) {
			if st.Dirty {
				if err := s.store.saveWave(ctx, w.ID); err != nil {
					return err
				}
			}
			continue
		}
		done := s.complete(st, w, machines)
		if err := s.store.saveWave(ctx, w.ID); err != nil {
			return err
		}
		record, err := s.EncodeStatus(w.ID, done)
		if err != nil {
			return err
		}
		if err := s.store.append(ctx, s.StatusPartition, []plog.Record{record}); err != nil {
			return err
		}
		st.Published, st.Completed, st.Dirty = true, done, true
		s.Logger.Info("wave", "wave", w.ID, "machines", len(w.Machines), "begun", len(st.Begun), "completed", done)
	}
	return nil
}

// complete reports whether all VMs of a wave that still exist have begun their upkeep.
func (s *Controller) complete(st *waveState, w work.Wave, machines map[work.MachineID]work.Machine) bool {
	for _, id := range w.Machines {
		if _, listed := machines[id]; listed && !st.has(id) {
			return false
		}
	}
	return len(machines) > 0
}
