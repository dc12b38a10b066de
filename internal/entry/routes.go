package entry

import (
	"sort"
	"strings"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Snapshots returns the current fleet state.
type Snapshots interface{ Snapshot() *fold.State }

// routeTable is the routing table of one configuration.
type routeTable struct {
	file   *fleet.File
	routes []prefixRoute // longest prefix first
}

type prefixRoute struct {
	prefix string
	pool   ident.PoolID
}

// route returns the pool with the longest matching path prefix. The table is
// built once for each configuration, so most requests only load a pointer.
func (h *Handler) route(path string) (ident.PoolID, bool) {
	file := h.State.Snapshot().File
	t := h.routeTable.Load()
	if t == nil || t.file != file {
		t = newRouteTable(file)
		h.routeTable.Store(t)
	}
	for i := range t.routes {
		if strings.HasPrefix(path, t.routes[i].prefix) {
			return t.routes[i].pool, true
		}
	}
	return "", false
}

func newRouteTable(file *fleet.File) *routeTable {
	t := &routeTable{file: file}
	for i := range file.Pools {
		for _, prefix := range file.Pools[i].Routes {
			t.routes = append(t.routes, prefixRoute{prefix: prefix, pool: file.Pools[i].ID})
		}
	}
	sort.SliceStable(t.routes, func(i, j int) bool { return len(t.routes[i].prefix) > len(t.routes[j].prefix) })
	return t
}
