package keys

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// membership is the set of processes that are not known to be gone, sorted by id. It includes processes that cannot be
// reached at present: they remain the home of their keys.
type membership []process

func newMembership(v *peer.View) membership {
	var out membership
	for _, m := range v.Members {
		if m.State != peer.Gone {
			out = append(out, process{ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone})
		}
	}
	slices.SortFunc(out, func(a, b process) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (m membership) digest() uint64 {
	var b strings.Builder
	for _, p := range m {
		fmt.Fprintf(&b, "%q %d %q\n", p.ID, p.Incarnation, p.Zone)
	}
	return xxhash.Sum64String(b.String())
}

func (m membership) has(p process) bool { return slices.Contains(m, p) }

// subsetOf reports whether every process of m is in o.
func (m membership) subsetOf(o membership) bool {
	for _, p := range m {
		if !o.has(p) {
			return false
		}
	}
	return true
}

func (m membership) severalZones() bool {
	var first ident.ZoneID
	for _, p := range m {
		if first == "" {
			first = p.Zone
		}
		if p.Zone != "" && p.Zone != first {
			return true
		}
	}
	return false
}

// ranked returns the processes in order of preference as the home of a key.
func (m membership) ranked(key ident.KeyID) []process {
	members := make([]peer.Member, len(m))
	for i, p := range m {
		members[i] = peer.Member{ID: p.ID, Incarnation: p.Incarnation, Zone: p.Zone}
	}
	out := make([]process, 0, len(m))
	for _, r := range peer.Rank("key "+string(key), members) {
		out = append(out, process{ID: r.ID, Incarnation: r.Incarnation, Zone: r.Zone})
	}
	return out
}

func (m membership) home(key ident.KeyID) process {
	if len(m) == 0 {
		return process{}
	}
	return m.ranked(key)[0]
}

// alwaysHome reports whether p was the home of a key in each membership of a history that is not empty.
func alwaysHome(history [][]process, p process, key ident.KeyID) bool {
	for _, m := range history {
		if membership(m).home(key) != p {
			return false
		}
	}
	return len(history) > 0
}
