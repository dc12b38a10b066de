package broker

import (
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// targetIndex groups the targets of a snapshot in one zone by pool, so that one pass serves all cores of an entry.
type targetIndex struct {
	state  *fold.State
	byPool map[ident.PoolID][]Target
}

// targets returns the targets of a pool in this entry's zone; the caller must not change the list.
func (s *Service) targets(state *fold.State, pool ident.PoolID) []Target {
	index := s.index.Load()
	if index == nil || index.state != state {
		index = &targetIndex{state: state, byPool: map[ident.PoolID][]Target{}}
		for vm := range state.VMs {
			if vm.Zone != s.Zone {
				continue
			}
			index.byPool[vm.Pool] = append(index.byPool[vm.Pool], Target{
				ID: vm.ID, Address: vm.Address, Epoch: vm.Epoch, Slots: vm.Slots,
				Serving: vm.Phase == fold.Serving, Draining: vm.Phase == fold.Draining,
			})
		}
		s.index.Store(index)
	}
	return index.byPool[pool]
}
