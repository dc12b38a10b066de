package shard

import (
	"context"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/quota"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const (
	// capsLogPeriod is the shortest time between two log lines about changed allowances, and between two calls of RecordCaps.
	capsLogPeriod = time.Second
	// maxLoggedChanges bounds the changes that one of these lines names.
	maxLoggedChanges = 4
	// MaxCapUses bounds what one call of Shard.RecordCaps gets.
	MaxCapUses = 32
)

// capsLog collects the changes of allowances until they are logged.
type capsLog struct {
	at              time.Time
	raised, lowered int
	first           []quota.Applied
}

// capDigests holds the digests of the caps of a version of the configuration, by slot.
type capDigests struct {
	version int64
	slots   [quota.Slots]uint64
}

// of returns the digest of a slot.
func (d *capDigests) of(slot quota.Slot, version int64, tenants []work.Tenant) uint64 {
	if slot < 0 || slot >= quota.Slots {
		return 0
	}
	if version != d.version {
		*d = capDigests{version: version}
		for i := range tenants {
			t := &tenants[i]
			at := quota.SlotOf(t.ID)
			d.slots[at] = quota.CapsDigest(d.slots[at], t.ID, t.Cap)
		}
	}
	return d.slots[slot]
}

// Allocate passes a grant to the pools of the partition, and returns their report. An owner that a later one has replaced may
// answer: what it says is stored is so, and the allocator counts all that it has sent since.
func (s *Shard) Allocate(ctx context.Context, g quota.Grant) (quota.Report, error) {
	reply, result := make(chan error, 1), make(chan quota.Report, 1)
	err := s.call(ctx, reply, func(now time.Time) {
		for _, c := range s.allowances.Accept(&g) {
			s.noteAllowance(c)
			if PartitionOf(c.Pool, s.Partitions) == s.Partition {
				s.pool(c.Pool).SetLimits(s.allowances.Of(c.Pool))
			}
		}
		r := quota.Report{Slot: g.Slot, Round: g.Round, Stored: s.allowances.Stored(g.Slot), Full: g.Full}
		var tenants []work.Tenant
		if s.Tenants != nil {
			r.Version, tenants = s.Tenants()
			r.Caps = s.capDigests.of(g.Slot, r.Version, tenants)
		}
		for _, p := range s.pools {
			p.SetTenants(r.Version, tenants)
			r.Entries = append(r.Entries, p.CapEntries(now, &g)...)
		}
		s.logAllowances(now)
		result <- r
		reply <- nil
	})
	if err != nil {
		return quota.Report{}, err
	}
	return <-result, nil
}

// noteAllowance notes a changed allowance for the log.
func (s *Shard) noteAllowance(c quota.Applied) {
	if c.Before.Allowed.Fits(c.Limit.Allowed) {
		s.capsLog.raised++
	} else {
		s.capsLog.lowered++
	}
	if len(s.capsLog.first) < maxLoggedChanges {
		s.capsLog.first = append(s.capsLog.first, c)
	}
}

// logAllowances logs the changed allowances, at most once per capsLogPeriod.
func (s *Shard) logAllowances(now time.Time) {
	l := &s.capsLog
	if l.raised+l.lowered == 0 || now.Sub(l.at) < capsLogPeriod {
		return
	}
	for _, c := range l.first {
		s.Logger.Info("allowance changed", "tenant", c.Tenant, "pool", c.Pool, "cpu", c.Limit.Allowed.CPU, "cpu_before", c.Before.Allowed.CPU,
			"memory", c.Limit.Allowed.Memory, "memory_before", c.Before.Allowed.Memory, "gpu", c.Limit.Allowed.GPU, "gpu_before", c.Before.Allowed.GPU,
			"cap_cpu", c.Limit.Cap.CPU, "cap_memory", c.Limit.Cap.Memory, "version", c.Limit.Version)
	}
	if n := l.raised + l.lowered - len(l.first); n > 0 {
		s.Logger.Info("more allowances changed", "partition", s.Partition, "raised", l.raised, "lowered", l.lowered, "not_shown", n)
	}
	s.capsLog = capsLog{at: now}
}

// recordCaps passes on which tenants are nearest to what they may hold.
func (s *Shard) recordCaps(now time.Time) {
	s.logAllowances(now)
	if s.RecordCaps == nil || now.Sub(s.lastCapsRecord) < capsLogPeriod {
		return
	}
	s.lastCapsRecord = now
	var uses []jobs.CapUse
	for _, p := range s.pools {
		uses = append(uses, p.CapUses()...)
	}
	slices.SortFunc(uses, jobs.CompareCapUses)
	s.RecordCaps(uses[:min(len(uses), MaxCapUses)])
}

// appendAllowances adds the records of the changed allowances to a write.
func (s *Shard) appendAllowances(w *write, records []plog.Record) []plog.Record {
	caps, err := s.allowances.BeginWrite()
	if err != nil {
		s.Logger.Error("cannot encode allowances", "partition", s.Partition, "error", err)
		return records
	}
	if caps == nil {
		return records
	}
	w.caps = caps
	for _, r := range caps.Records {
		records = append(records, plog.Record(r))
	}
	return records
}

// allowancesStored notes that the allowances of a write are durable, unless the log has rejected a record of them. Then they
// are never reported as stored, so that the allocator goes on counting the earlier ones.
func (s *Shard) allowancesStored(w *write) {
	if w.caps == nil {
		return
	}
	for _, r := range w.caps.Records {
		if w.invalid[r.Key] {
			return
		}
	}
	s.allowances.MarkDurable(w.caps)
}

// readAllowance reports whether the record is one of allowances, and restores it if it can be decoded.
func (s *Shard) readAllowance(r plog.Record) bool {
	if !quota.IsRecord(r.Key) {
		return false
	}
	if err := s.allowances.Restore(quota.Record(r)); err != nil {
		s.Logger.Error("cannot decode allowances", "partition", s.Partition, "key", r.Key, "error", err)
	}
	return true
}
