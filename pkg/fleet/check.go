package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Check returns every contradiction within f, and between f and base, the file
// that it replaces; base is nil when there is none. The result depends only on
// the arguments, so that every reader of the log computes the same one.
func Check(f, base *File) []Diagnostic {
	c := &checker{
		f: f, pools: map[ident.PoolID]int{}, vms: make(map[ident.VMID]int, len(f.VMs)),
		zones: map[ident.ZoneID]bool{}, racks: map[ident.RackID]bool{},
	}
	c.checkPools()
	c.checkRoutes()
	c.checkVMs()
	c.checkOwedSum()
	c.checkReturns()
	c.checkWaves()
	if base != nil {
		c.checkAgainstBase(base)
	}
	return c.diags
}

// checker collects the diagnostics of one file, and indexes its ids: pools and vms
// map each id to its position in the file.
type checker struct {
	f     *File
	diags diagnostics
	pools map[ident.PoolID]int
	vms   map[ident.VMID]int
	zones map[ident.ZoneID]bool
	racks map[ident.RackID]bool
}

func (c *checker) checkPools() {
	for i := range c.f.Pools {
		p, path := &c.f.Pools[i], elementPath("pool", i)
		if _, dup := c.pools[p.ID]; dup {
			c.diags.add(path, "pool %q is defined twice", p.ID)
		}
		c.pools[p.ID] = i
		if p.Owed < 0 || p.MinServing < 0 {
			c.diags.add(path, "pool %q: owed_vms and min_serving must not be negative", p.ID)
		}
		if p.MinServing > p.Owed {
			c.diags.add(path+".min_serving", "pool %q: min_serving %d exceeds owed_vms %d", p.ID, p.MinServing, p.Owed)
		}
		if p.ID == c.f.SparePool && (p.MinServing > 0 || len(p.Routes) > 0) {
			c.diags.add(path, "pool %q is the spare pool, which serves no callers: it has no routes and no min_serving", p.ID)
		}
	}
	if _, ok := c.pools[c.f.SparePool]; !ok {
		c.diags.add("spare_pool", "spare_pool %q is not defined as a pool", c.f.SparePool)
	}
}

// poolRoute is one route of one pool, with its place in the file.
type poolRoute struct {
	prefix string
	pool   ident.PoolID
	path   string
}

// checkRoutes reports routes that overlap a route of another pool, and routes that are listed
// twice. It sorts the prefixes, so that each comes before the prefixes that it covers.
func (c *checker) checkRoutes() {
	var routes []poolRoute
	for i := range c.f.Pools {
		p := &c.f.Pools[i]
		for j, r := range p.Routes {
			path := joinPath(elementPath("pool", i), elementPath("routes", j))
			if !strings.HasPrefix(r, "/") {
				c.diags.add(path, "pool %q: route %q does not begin with /", p.ID, r)
			}
			routes = append(routes, poolRoute{prefix: r, pool: p.ID, path: path})
		}
	}
	slices.SortStableFunc(routes, func(a, b poolRoute) int { return cmp.Compare(a.prefix, b.prefix) })
	var covering []poolRoute // prefixes that cover the current one, shortest first
	for _, r := range routes {
		for len(covering) > 0 && !strings.HasPrefix(r.prefix, covering[len(covering)-1].prefix) {
			covering = covering[:len(covering)-1]
		}
		for _, o := range covering {
			if o.pool != r.pool || o.prefix == r.prefix {
				c.diags.add(r.path, "pool %q: route %q overlaps route %q of pool %q", r.pool, r.prefix, o.prefix, o.pool)
				break
			}
		}
		covering = append(covering, r)
	}
}

func (c *checker) checkVMs() {
	addresses := make(map[string]ident.VMID, len(c.f.VMs))
	for i := range c.f.VMs {
		v, path := &c.f.VMs[i], elementPath("vm", i)
		first, dup := c.vms[v.ID]
		switch {
		case dup && c.f.VMs[first].Pool != v.Pool:
			c.diags.add(path, "vm %q is in two pools, %q and %q", v.ID, c.f.VMs[first].Pool, v.Pool)
		case dup:
			c.diags.add(path, "vm %q is defined twice", v.ID)
		default:
			c.vms[v.ID] = i
		}
		if _, ok := c.pools[v.Pool]; !ok {
			c.diags.add(path+".pool", "vm %q: pool %q is not defined", v.ID, v.Pool)
		}
		if other, taken := addresses[v.Address]; taken && v.Address != "" && !dup {
			c.diags.add(path+".address", "vm %q has the address %s of vm %q", v.ID, v.Address, other)
		}
		addresses[v.Address] = v.ID
		c.racks[v.Rack] = true
		c.zones[v.Zone] = true
		c.checkVMValues(v, path)
	}
}

func (c *checker) checkVMValues(v *VM, path string) {
	if v.Address != "" {
		if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 {
			c.diags.add(path+".address", "vm %q: address %q is not an IP address and port, such as 10.0.0.5:8080", v.ID, v.Address)
		}
	}
	if v.Slots < 0 || v.Slots > maxSlots {
		c.diags.add(path+".slots", "vm %q: slots %d are not between 1 and %d", v.ID, v.Slots, maxSlots)
	}
	if v.Connections < 0 || v.Connections > maxConnections {
		c.diags.add(path+".connections", "vm %q: connections %d are not between 1 and %d", v.ID, v.Connections, maxConnections)
	}
	if v.Connections > 0 && int(v.Connections) < int(v.Slots) {
		c.diags.add(path+".connections", "vm %q: %d connections cannot carry %d slots", v.ID, v.Connections, v.Slots)
	}
}

// checkOwedSum compares the sum of what the pools are owed with the number of VMs.
func (c *checker) checkOwedSum() {
	sum, reported := 0, false
	for i := range c.f.Pools {
		sum += c.f.Pools[i].Owed
		if sum > len(c.vms) && !reported {
			reported = true
			c.diags.add(elementPath("pool", i)+".owed_vms", "pool %q: the pools up to this one are owed %d VMs, but the file has %d",
				c.f.Pools[i].ID, sum, len(c.vms))
		}
	}
}

func (c *checker) checkReturns() {
	seen := map[ident.VMID]bool{}
	for i, r := range c.f.Returns {
		path := elementPath("return", i)
		if len(r.VMs) == 0 {
			c.diags.add(path, "return names no VMs")
		}
		for j, id := range r.VMs {
			if _, ok := c.vms[id]; !ok {
				c.diags.add(joinPath(path, elementPath("vms", j)), "return: vm %q is not defined", id)
			}
			if seen[id] {
				c.diags.add(joinPath(path, elementPath("vms", j)), "return: vm %q is returned twice", id)
			}
			seen[id] = true
		}
	}
}

func (c *checker) checkWaves() {
	seen := map[ident.WaveID]bool{}
	for i := range c.f.Waves {
		w, path := &c.f.Waves[i], elementPath("wave", i)
		if seen[w.ID] {
			c.diags.add(path, "wave %q is defined twice", w.ID)
		}
		seen[w.ID] = true
		if !w.Closes.After(w.Opens) {
			c.diags.add(path+".closes", "wave %q closes before it opens", w.ID)
		} else if w.Closes.Sub(w.Opens) < w.Length {
			c.diags.add(path+".length", "wave %q: one VM takes %v, but the window lasts %v", w.ID, w.Length, w.Closes.Sub(w.Opens))
		}
		if len(w.Zones)+len(w.Racks) == 0 {
			c.diags.add(path, "wave %q names no zones and no racks", w.ID)
		}
		for j, z := range w.Zones {
			if !c.zones[z] {
				c.diags.add(joinPath(path, elementPath("zones", j)), "wave %q: no VM is in zone %q", w.ID, z)
			}
		}
		for j, r := range w.Racks {
			if !c.racks[r] {
				c.diags.add(joinPath(path, elementPath("racks", j)), "wave %q: no VM is in rack %q", w.ID, r)
			}
		}
	}
}

// checkAgainstBase reports changes to the base file that no published file may make.
func (c *checker) checkAgainstBase(base *File) {
	if base.Name != "" && c.f.Name != base.Name {
		c.diags.add("name", "the file is for fleet %q, but the one in force is for fleet %q", c.f.Name, base.Name)
	}
	if base.SparePool != "" && c.f.SparePool != base.SparePool {
		c.diags.add("spare_pool", "spare_pool cannot change from %q to %q", base.SparePool, c.f.SparePool)
	}
	returning := map[ident.VMID]bool{}
	for _, r := range base.Returns {
		for _, id := range r.VMs {
			returning[id] = true
		}
	}
	for i := range base.VMs {
		old := &base.VMs[i]
		j, ok := c.vms[old.ID]
		if !ok && !returning[old.ID] {
			c.diags.add("", "vm %q is not in the file, but no return has named it; publish a return first", old.ID)
		}
		if ok && (c.f.VMs[j].Zone != old.Zone || c.f.VMs[j].Rack != old.Rack) {
			c.diags.add(elementPath("vm", j), "vm %q cannot move from rack %q of zone %q; publish it under a new id", old.ID, old.Rack, old.Zone)
		}
	}
}
