package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Check returns every contradiction within f, and between f and the file base
// that it replaces; a nil base stands for none. The result depends on the
// arguments alone, so that every reader of the log reaches the same one.
func Check(f, base *File) []Diagnostic {
	c := &checker{
		f: f, pools: map[ident.PoolID]int{}, vms: make(map[ident.VMID]int, len(f.VMs)),
		zones: map[ident.ZoneID]bool{}, racks: map[ident.RackID]bool{},
	}
	c.checkPools()
	c.checkRoutes()
	c.checkVMs()
	c.checkOwed()
	c.checkReturns()
	c.checkWaves()
	if base != nil {
		c.checkBase(base)
	}
	return c.faults
}

type checker struct {
	f      *File
	faults faults
	pools  map[ident.PoolID]int
	vms    map[ident.VMID]int
	zones  map[ident.ZoneID]bool
	racks  map[ident.RackID]bool
}

func (c *checker) checkPools() {
	for i := range c.f.Pools {
		p, at := &c.f.Pools[i], place("pool", i)
		if _, dup := c.pools[p.ID]; dup {
			c.faults.add(at, "pool %q is defined twice", p.ID)
		}
		c.pools[p.ID] = i
		if p.Owed < 0 || p.MinServing < 0 {
			c.faults.add(at, "pool %q: owed_vms and min_serving must not be negative", p.ID)
		}
		if p.MinServing > p.Owed {
			c.faults.add(at+".min_serving", "pool %q: min_serving %d exceeds owed_vms %d", p.ID, p.MinServing, p.Owed)
		}
		if p.ID == c.f.SparePool && (p.MinServing > 0 || len(p.Routes) > 0) {
			c.faults.add(at, "pool %q is the spare pool, which serves no callers: it has no routes and no min_serving", p.ID)
		}
	}
	if _, ok := c.pools[c.f.SparePool]; !ok {
		c.faults.add("spare_pool", "spare_pool %q is not defined as a pool", c.f.SparePool)
	}
}

type routeOf struct {
	prefix string
	pool   ident.PoolID
	at     string
}

// checkRoutes sorts the prefixes, so that a prefix comes right before those that it covers.
func (c *checker) checkRoutes() {
	var routes []routeOf
	for i := range c.f.Pools {
		p := &c.f.Pools[i]
		for j, r := range p.Routes {
			at := join(place("pool", i), place("routes", j))
			if !strings.HasPrefix(r, "/") {
				c.faults.add(at, "pool %q: route %q does not begin with /", p.ID, r)
			}
			routes = append(routes, routeOf{prefix: r, pool: p.ID, at: at})
		}
	}
	slices.SortStableFunc(routes, func(a, b routeOf) int { return cmp.Compare(a.prefix, b.prefix) })
	var cover []routeOf // prefixes that cover the present one, shortest first
	for _, r := range routes {
		for len(cover) > 0 && !strings.HasPrefix(r.prefix, cover[len(cover)-1].prefix) {
			cover = cover[:len(cover)-1]
		}
		for _, o := range cover {
			if o.pool != r.pool || o.prefix == r.prefix {
				c.faults.add(r.at, "pool %q: route %q overlaps route %q of pool %q", r.pool, r.prefix, o.prefix, o.pool)
				break
			}
		}
		cover = append(cover, r)
	}
}

func (c *checker) checkVMs() {
	addresses := make(map[string]ident.VMID, len(c.f.VMs))
	for i := range c.f.VMs {
		v, at := &c.f.VMs[i], place("vm", i)
		first, dup := c.vms[v.ID]
		switch {
		case dup && c.f.VMs[first].Pool != v.Pool:
			c.faults.add(at, "vm %q is in two pools, %q and %q", v.ID, c.f.VMs[first].Pool, v.Pool)
		case dup:
			c.faults.add(at, "vm %q is defined twice", v.ID)
		default:
			c.vms[v.ID] = i
		}
		if _, ok := c.pools[v.Pool]; !ok {
			c.faults.add(at+".pool", "vm %q: pool %q is not defined", v.ID, v.Pool)
		}
		if other, taken := addresses[v.Address]; taken && v.Address != "" && !dup {
			c.faults.add(at+".address", "vm %q has the address %s of vm %q", v.ID, v.Address, other)
		}
		addresses[v.Address] = v.ID
		c.racks[v.Rack] = true
		c.zones[v.Zone] = true
		c.checkValues(v, at)
	}
}

func (c *checker) checkValues(v *VM, at string) {
	if v.Address != "" {
		if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 {
			c.faults.add(at+".address", "vm %q: address %q is not an IP address and port, such as 10.0.0.5:8080", v.ID, v.Address)
		}
	}
	if v.Slots < 0 || v.Slots > maxSlots {
		c.faults.add(at+".slots", "vm %q: slots %d are not between 1 and %d", v.ID, v.Slots, maxSlots)
	}
	if v.Connections < 0 || v.Connections > maxConnections {
		c.faults.add(at+".connections", "vm %q: connections %d are not between 1 and %d", v.ID, v.Connections, maxConnections)
	}
	if v.Connections > 0 && int(v.Connections) < int(v.Slots) {
		c.faults.add(at+".connections", "vm %q: %d connections cannot carry %d slots", v.ID, v.Connections, v.Slots)
	}
}

// checkOwed compares what the pools are owed with the number of VMs.
func (c *checker) checkOwed() {
	sum, over := 0, false
	for i := range c.f.Pools {
		sum += c.f.Pools[i].Owed
		if sum > len(c.vms) && !over {
			over = true
			c.faults.add(place("pool", i)+".owed_vms", "pool %q: the pools up to this one are owed %d VMs, but the file has %d",
				c.f.Pools[i].ID, sum, len(c.vms))
		}
	}
}

func (c *checker) checkReturns() {
	seen := map[ident.VMID]bool{}
	for i, r := range c.f.Returns {
		at := place("return", i)
		if len(r.VMs) == 0 {
			c.faults.add(at, "return names no VMs")
		}
		for j, id := range r.VMs {
			if _, ok := c.vms[id]; !ok {
				c.faults.add(join(at, place("vms", j)), "return: vm %q is not defined", id)
			}
			if seen[id] {
				c.faults.add(join(at, place("vms", j)), "return: vm %q is returned twice", id)
			}
			seen[id] = true
		}
	}
}

func (c *checker) checkWaves() {
	seen := map[ident.WaveID]bool{}
	for i := range c.f.Waves {
		w, at := &c.f.Waves[i], place("wave", i)
		if seen[w.ID] {
			c.faults.add(at, "wave %q is defined twice", w.ID)
		}
		seen[w.ID] = true
		if !w.Closes.After(w.Opens) {
			c.faults.add(at+".closes", "wave %q closes before it opens", w.ID)
		} else if w.Closes.Sub(w.Opens) < w.Length {
			c.faults.add(at+".length", "wave %q: one VM takes %v, but the window lasts %v", w.ID, w.Length, w.Closes.Sub(w.Opens))
		}
		if len(w.Zones)+len(w.Racks) == 0 {
			c.faults.add(at, "wave %q names no zones and no racks", w.ID)
		}
		for j, z := range w.Zones {
			if !c.zones[z] {
				c.faults.add(join(at, place("zones", j)), "wave %q: no VM is in zone %q", w.ID, z)
			}
		}
		for j, r := range w.Racks {
			if !c.racks[r] {
				c.faults.add(join(at, place("racks", j)), "wave %q: no VM is in rack %q", w.ID, r)
			}
		}
	}
}

// checkBase finds changes that no published file may make.
func (c *checker) checkBase(base *File) {
	if base.Name != "" && c.f.Name != base.Name {
		c.faults.add("name", "the file is for fleet %q, but the one in force is for fleet %q", c.f.Name, base.Name)
	}
	if base.SparePool != "" && c.f.SparePool != base.SparePool {
		c.faults.add("spare_pool", "spare_pool cannot change from %q to %q", base.SparePool, c.f.SparePool)
	}
	leaving := map[ident.VMID]bool{}
	for _, r := range base.Returns {
		for _, id := range r.VMs {
			leaving[id] = true
		}
	}
	for i := range base.VMs {
		old := &base.VMs[i]
		j, ok := c.vms[old.ID]
		if !ok && !leaving[old.ID] {
			c.faults.add("", "vm %q is not in the file, but no return has named it; publish a return first", old.ID)
		}
		if ok && (c.f.VMs[j].Zone != old.Zone || c.f.VMs[j].Rack != old.Rack) {
			c.faults.add(place("vm", j), "vm %q cannot move from rack %q of zone %q; publish it under a new id", old.ID, old.Rack, old.Zone)
		}
	}
}
