package broker

import "time"

// updateAllRegistered checks whether every entry of the zone is registered. When that becomes true, slots that no
// registered entry holds may be in use by requests of dead entries or of entries of other zones.
func (c *Core) updateAllRegistered(now time.Time) {
	all := len(c.members) > 0
	for id := range c.members {
		h := c.holders[id]
		all = all && h != nil && h.registered
	}
	if all && c.reservationDue {
		c.reserveUnaccounted(now)
	}
	if all {
		for _, h := range c.holders {
			h.heldAtRegistration = nil
		}
		for _, t := range c.targets {
			t.withinShareAt = time.Time{}
		}
	}
	c.allRegistered = all
}

// awaitsShareReport reports whether a status report of t could show that the entries that are not registered use no
// more than their share of its slots.
func (c *Core) awaitsShareReport(now time.Time, t *target) bool {
	return !c.allRegistered && t.Slots > 0 && t.withinShareAt.IsZero() && c.registeredSince(now.Add(-shrinkTime)) > 0
}

// handleShareReport handles a status report while some entries of the zone are not registered. From shrinkTime on those
// entries begin requests only within their share of the slots. So they stay within it from the time at which the target
// runs no more requests than that share. The requests of registered entries count against the share too, because the
// report does not tell whose they are.
func (c *Core) handleShareReport(t *target, asked time.Time, running int) {
	if !c.awaitsShareReport(asked, t) {
		return
	}
	share := int(t.Slots) * c.registeredSince(asked.Add(-shrinkTime)) / max(1, len(c.members))
	if running <= int(t.Slots)-share {
		t.withinShareAt = asked
	}
}

// reserveUnaccounted reserves all slots that no registered entry holds, and asks the entries of other zones to
// register with what they hold.
func (c *Core) reserveUnaccounted(now time.Time) {
	c.reservationDue = false
	for _, t := range c.targets {
		known := 0
		for _, h := range c.holders {
			known += max(h.heldAtRegistration[t.ID], h.permitsOn(t))
		}
		t.unknownUse = 0
		c.reserveUnknown(t, int(t.Slots)-known, now)
	}
	c.remoteDeadline, c.remoteKnownAt = now.Add(reserveLease), time.Time{}
	for _, id := range c.remote {
		c.inviteRegistration(now, id, Demand{}, false)
	}
	c.updateRemoteKnown(now)
}

// updateRemoteKnown sets remoteKnownAt once every entry of another zone has registered or remoteDeadline has passed.
func (c *Core) updateRemoteKnown(now time.Time) {
	if !c.remoteKnownAt.IsZero() {
		return
	}
	if now.Before(c.remoteDeadline) {
		for _, id := range c.remote {
			if h := c.holders[id]; h == nil || !h.registered {
				return
			}
		}
	}
	c.remoteKnownAt = now
}
