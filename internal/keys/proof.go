package keys

import (
	"slices"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// This file decides for which keys this process can prove that it knows every claim and that no other process serves
// them. A member has handed over once this process has received all its records under the present membership. A
// membership is settled once each member knows every claim of its keys and a standby has a copy of each. The proofs rest
// on two facts:
//   - A change of a key takes effect only once its home and a standby in another zone have stored it under the same
//     membership.
//   - A member that has handed over under a membership acts under no other one.
//
// So once the standby of a previous home has handed over, that home can no longer serve, and this process has received
// every claim from the standby.
//
// A process can prove this for a key if
//  1. the process has been the key's home without interruption since it could last prove this for all its keys, or
//  2. a member that has been the key's home in the same way has handed over to the process, or
//  3. the processes that are lost or have not handed over cannot include both the home and the standby of the
//     key, and none that is alive can still be its home, or
//  4. all members have handed over, and the window has passed since the last loss and since the start of the process.
//
// A member in state peer.Silent never counts as lost. So in a network partition a key is served only on the side that
// has its home and a standby; elsewhere it is refused.

// canProve reports whether this process can prove that it knows every claim of a key whose home it is.
func (t *table) canProve(key ident.KeyID) bool {
	if t.allProved || alwaysHome(t.history, t.self, key) {
		return true
	}
	for _, p := range t.members {
		if in := t.incoming[p.ID]; in != nil && in.synced && alwaysHome(in.History, p, key) {
			return true
		}
	}
	return t.provedBySettled(key)
}

// provedBySettled reports whether the third proof holds for a key.
func (t *table) provedBySettled(key ident.KeyID) bool {
	memberships := t.settledMemberships()
	if len(memberships) == 0 || !t.oneCopyRemains(memberships) {
		return false
	}
	for _, settled := range memberships {
		for _, p := range t.members {
			if t.handedOver(p) {
				continue
			}
			// A member that joined later may have taken the key from its home if it ranks higher.
			if higher := append(slices.Clone(settled), p); settled.home(key) == p || (!settled.has(p) && higher.home(key) == p) {
				return false
			}
		}
	}
	return true
}

// settledMemberships returns the settled memberships that are known to this process and to the members that have handed
// over.
func (t *table) settledMemberships() []membership {
	var out []membership
	if t.settled != nil {
		out = append(out, t.settled)
	}
	for _, in := range t.incoming {
		if in.synced && len(in.Settled) > 0 {
			out = append(out, in.Settled)
		}
	}
	return out
}

// handedOver reports whether p has handed over to this process, or is this process.
func (t *table) handedOver(p process) bool {
	return p == t.self || (t.incoming[p.ID] != nil && t.incoming[p.ID].synced)
}

// oneCopyRemains reports whether the processes that are lost or have not handed over cannot include both the home and the
// standby of any key.
func (t *table) oneCopyRemains(memberships []membership) bool {
	var missing []process
	for _, p := range t.members {
		if !t.handedOver(p) {
			missing = append(missing, p)
		}
	}
	for p := range t.lost {
		missing = append(missing, p)
	}
	if len(missing) <= 1 {
		return true
	}
	for _, settled := range memberships {
		if !settled.severalZones() {
			return false
		}
	}
	for _, p := range missing {
		if p.Zone != missing[0].Zone || p.Zone == "" {
			return false
		}
	}
	return true
}

// updateProofs sets allProved, and settles the membership once every member is ready.
func (t *table) updateProofs() {
	if !t.allProved && t.canProveAll() {
		t.allProved = true
		t.history = [][]process{t.members}
	}
	if !t.ready() || slices.Equal(t.settled, t.members) && len(t.lost) == 0 {
		return
	}
	for _, in := range t.incoming {
		if !in.synced || !in.Ready {
			return
		}
	}
	t.settled = t.members
	t.lost = map[process]lostProcess{}
}

// ready reports whether this process knows every claim of its keys and a standby has a copy of each.
func (t *table) ready() bool { return t.allProved && len(t.backlog) == 0 }

// canProveAll reports whether one of the proofs 1, 3 and 4 holds for all keys whose home this process is.
func (t *table) canProveAll() bool {
	continued := len(t.history) > 0
	for _, m := range t.history {
		continued = continued && membership(m).subsetOf(t.members)
	}
	if continued {
		return true // members were only added since, so this process is not the home of any key that it was not before
	}
	for _, p := range t.members {
		if !t.handedOver(p) {
			return false
		}
	}
	if settled := t.settledMemberships(); len(settled) > 0 && t.oneCopyRemains(settled) {
		return true
	}
	return len(t.lost) == 0 && t.now.Sub(t.started) >= t.window
}
