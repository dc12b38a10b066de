package broker

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	statusInterval      = 50 * time.Millisecond  // between two status probes of one target
	probeTimeout        = 500 * time.Millisecond // a probe without a result is repeated after this time
	pauseDuration       = 200 * time.Millisecond // how long no request is started on a target; see sendProbes
	pauseInterval       = time.Second            // between two such pauses of one target
	drainReportInterval = time.Second            // between two reports that a VM is free of work
)

// sendProbes asks for the health and status reports that readmit targets and end reservations.
func (c *Core) sendProbes(now time.Time) {
	paused := false
	for _, t := range c.targets {
		paused = paused || now.Before(t.pausedUntil)
	}
	for _, t := range c.targets {
		if t.health.ejected && (!t.health.probePending || now.After(t.health.nextProbe.Add(probeTimeout))) && !now.Before(t.health.nextProbe) {
			t.health.probePending = true
			t.health.nextProbe = now
			c.effects = append(c.effects, ProbeHealth{VM: t.ID, Address: t.Address})
		}
		if c.reportableSlots(now, t) == 0 {
			t.pausedUntil = time.Time{}
			if c.awaitsShareReport(now, t) {
				c.probeStatus(now, t)
			}
			continue
		}
		if !paused && t.acceptsRequests(now) && len(t.permits) > 0 && now.After(t.nextPause) {
			// A report counts all requests, so it shows those in reserved slots only while no others run. One target
			// at a time is paused for that.
			paused = true
			t.pausedUntil, t.nextPause = now.Add(pauseDuration), now.Add(pauseDuration+pauseInterval)
		}
		c.probeStatus(now, t)
	}
}

// reportableSlots counts the reserved slots that a status report taken now can free.
func (c *Core) reportableSlots(now time.Time, t *target) int {
	if t.Slots == 0 {
		return 0
	}
	n := 0
	if !c.remoteKnownAt.IsZero() && !now.Before(t.unknownFrom) {
		n = t.unknownUse
	}
	for _, p := range t.permits {
		if !p.reservedUntil.IsZero() && !now.Before(p.unusableFrom) {
			n++
		}
	}
	return n
}

func (c *Core) probeStatus(now time.Time, t *target) {
	if (t.statusPending && now.Before(t.lastStatusProbe.Add(probeTimeout))) || now.Before(t.lastStatusProbe.Add(statusInterval)) {
		return
	}
	t.statusPending, t.lastStatusProbe = true, now
	c.effects = append(c.effects, ProbeStatus{VM: t.ID, Address: t.Address})
}

// HandleStatus handles the result of a ProbeStatus that was sent at the time asked: the number of requests that the
// target runs, or a negative number if it did not answer.
func (c *Core) HandleStatus(now, asked time.Time, vm ident.VMID, running int) {
	t := c.targets[vm]
	if t == nil {
		return
	}
	t.statusPending = false
	if running >= 0 {
		c.limitReserved(t, asked, running)
		c.handleShareReport(t, asked, running)
	}
	c.step(now)
}

// limitReserved frees reserved slots beyond the number of requests that the target runs. The report does not tell
// which entries the requests come from, so the limit applies to each entry and to the unknown use separately: an
// entry that registers again frees its own reservations, and the running requests may be another entry's.
func (c *Core) limitReserved(t *target, asked time.Time, running int) {
	kept := map[*holder]int{}
	for _, p := range t.permits {
		if p.reservedUntil.IsZero() || asked.Before(p.unusableFrom) {
			continue
		}
		if kept[p.holder]++; kept[p.holder] > running {
			c.removePermit(p)
		}
	}
	if !c.remoteKnownAt.IsZero() && !asked.Before(latest(c.remoteKnownAt, t.unknownFrom)) {
		t.unknownUse = min(t.unknownUse, running)
	}
}

// reportDrained reports draining VMs for which no permit is granted and on which no request of a dead entry can run.
// Every entry of the zone must have read the drain record, so that no other broker grants a slot on the VM later.
func (c *Core) reportDrained(now time.Time) {
	if !c.allRegistered {
		return
	}
	for _, t := range c.targets {
		if !t.Draining || len(t.permits) > 0 || t.unknownUse > 0 || now.Before(t.lastDrainReport.Add(drainReportInterval)) || !c.allHaveRead(t.drainOffset) {
			continue
		}
		t.lastDrainReport = now
		c.effects = append(c.effects, VMDrained{VM: t.ID, Epoch: t.Epoch})
	}
}

// allHaveRead reports whether the snapshots of all entries of the zone include the fleet record at the offset.
func (c *Core) allHaveRead(offset ident.Offset) bool {
	for id := range c.members {
		if h := c.holders[id]; h == nil || h.fleetOffset < offset {
			return false
		}
	}
	return true
}
