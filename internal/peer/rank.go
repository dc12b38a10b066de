package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Rank orders members for a role by rendezvous hashing: the first one holds the
// role, the next one takes over from it. Adding or removing a member moves only the roles that it holds.
func Rank(role string, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(weight(role, b.ID), weight(role, a.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}

func weight(role string, id ident.EntryID) uint64 {
	return xxhash.Sum64String(role + "\x00" + string(id))
}
