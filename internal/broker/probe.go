package broker

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	statusPause  = 50 * time.Millisecond  // between two reports of one target
	probeTimeout = 500 * time.Millisecond // a probe without an answer is repeated after this time
	quietTime    = 200 * time.Millisecond
	quietPause   = time.Second
	drainRepeat  = time.Second // between two reports that a VM is free of work
)

// probe asks for the reports that end reservations and readmit targets.
func (c *Core) probe(now time.Time) {
	quiet := false
	for _, t := range c.targets {
		quiet = quiet || now.Before(t.quiet)
	}
	for _, t := range c.targets {
		if t.health.ejected && (!t.health.probing || now.After(t.health.nextProbe.Add(probeTimeout))) && !now.Before(t.health.nextProbe) {
			t.health.probing = true
			t.health.nextProbe = now
			c.out = append(c.out, ProbeHealth{VM: t.ID, Address: t.Address})
		}
		if c.reportable(now, t) == 0 {
			t.quiet = time.Time{}
			if c.awaitsShrink(now, t) {
				c.probeStatus(now, t)
			}
			continue
		}
		if !quiet && t.open(now) && len(t.permits) > 0 && now.After(t.nextQuiet) {
			// A report counts all requests, so the residual shows only when no others run.
			quiet = true
			t.quiet, t.nextQuiet = now.Add(quietTime), now.Add(quietTime+quietPause)
		}
		c.probeStatus(now, t)
	}
}

// reportable counts the reserved slots that a report taken now can free.
func (c *Core) reportable(now time.Time, t *target) int {
	if t.Slots == 0 {
		return 0
	}
	n := 0
	if !c.foreignKnown.IsZero() && !now.Before(t.residualFrom) {
		n = t.unknown
	}
	for _, p := range t.permits {
		if !p.lostUntil.IsZero() && !now.Before(p.lostFrom) {
			n++
		}
	}
	return n
}

func (c *Core) probeStatus(now time.Time, t *target) {
	if (t.probing && now.Before(t.lastProbe.Add(probeTimeout))) || now.Before(t.lastProbe.Add(statusPause)) {
		return
	}
	t.probing, t.lastProbe = true, now
	c.out = append(c.out, ProbeStatus{VM: t.ID, Address: t.Address})
}

// HandleStatus handles a target's report of its running requests, which was asked for at the time asked. A
// negative number means that the target did not answer.
func (c *Core) HandleStatus(now, asked time.Time, vm ident.VMID, running int) {
	t := c.targets[vm]
	if t == nil {
		return
	}
	t.probing = false
	if running >= 0 {
		c.limitResidual(t, asked, running)
		c.noteShrunk(t, asked, running)
	}
	c.step(now)
}

// limitResidual frees reserved slots beyond the number of requests that the target runs. The report does not tell whose
// they are, so the limit holds for each entry and for the unknown ones apart: an entry that registers again frees
// its own reservations, and the requests that run may be another's.
func (c *Core) limitResidual(t *target, asked time.Time, running int) {
	kept := map[*holder]int{}
	for _, p := range t.permits {
		if p.lostUntil.IsZero() || asked.Before(p.lostFrom) {
			continue
		}
		if kept[p.holder]++; kept[p.holder] > running {
			c.drop(p)
		}
	}
	if !c.foreignKnown.IsZero() && !asked.Before(later(c.foreignKnown, t.residualFrom)) {
		t.unknown = min(t.unknown, running)
	}
}

// reportDrained reports draining VMs of which no permit is out and on which no dead entry's work can run. Every entry
// of the zone must have read the drain record, so that no other broker grants the VM later.
func (c *Core) reportDrained(now time.Time) {
	if !c.full {
		return
	}
	for _, t := range c.targets {
		if !t.Draining || len(t.permits) > 0 || t.unknown > 0 || now.Before(t.lastDrained.Add(drainRepeat)) || !c.haveRead(t.drainOffset) {
			continue
		}
		t.lastDrained = now
		c.out = append(c.out, VMDrained{VM: t.ID, Epoch: t.Epoch})
	}
}

func (c *Core) haveRead(offset ident.Offset) bool {
	for id := range c.members {
		if h := c.holders[id]; h == nil || h.fleet < offset {
			return false
		}
	}
	return true
}
