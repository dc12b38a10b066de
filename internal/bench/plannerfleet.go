package bench

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// plannerPeriod is the length of a replay, in which every VM is maintained once.
const plannerPeriod = 5 * 7 * 24 * time.Hour

// plannerStart is the moment at which every replay begins.
var plannerStart = time.Date(2027, time.March, 1, 0, 0, 0, 0, time.UTC)

// fleetSize is one of the sizes in section 3 of the design page.
type fleetSize struct {
	name        string
	zones       []int // availability zones of each region
	pools       int   // over all regions
	poolVMs     [2]int
	vms         int           // VMs owed over all regions; 0 leaves it to poolVMs
	failures    float64       // VM failures a day for each VM
	restarts    float64       // short outages a day for each VM that end by themselves
	rackLosses  int           // racks lost in the period, in each region
	waveLength  time.Duration // from opening to closing
	returns     int           // orders to return VMs to the platform, in each region
	returnedVMs int           // VMs of one order
}

// Failures and restarts of the design size, for each VM and day. Of the 2,200 VMs that are
// restarted or replaced a day, 229 are maintained and 110 fail; the others restart by themselves.
const (
	failuresPerVMDay = 110.0 / 8000
	restartsPerVMDay = (2200.0 - 110 - 229) / 8000
)

var fleetSizes = map[string]fleetSize{
	"kigali": {
		name: "kigali", zones: []int{3}, pools: 5, poolVMs: [2]int{8, 12}, failures: failuresPerVMDay, restarts: restartsPerVMDay,
		rackLosses: 1, waveLength: 8 * time.Hour, returns: 1, returnedVMs: 2,
	},
	"quito": {
		name: "quito", zones: []int{4}, pools: 5, poolVMs: [2]int{8, 12}, failures: failuresPerVMDay, restarts: restartsPerVMDay,
		rackLosses: 1, waveLength: 8 * time.Hour, returns: 1, returnedVMs: 2,
	},
	"design": {
		name: "design", zones: []int{4, 3, 3, 3, 3}, pools: 246, poolVMs: [2]int{26, 39}, vms: 8000, failures: failuresPerVMDay,
		restarts: restartsPerVMDay, rackLosses: 1, waveLength: 24 * time.Hour, returns: 2, returnedVMs: 4,
	},
}

// Shares and times in the generated calendars.
const (
	vmsPerRack      = 4
	budgetShare     = 0.97 // min_serving as a share of owed_vms, rounded down
	lastingShare    = 0.1  // share of failures that a restart does not end
	listLagShare    = 0.1  // share of short outages in which the VM serves, but the platform's live list lacks it
	rebootLength    = 20 * time.Minute
	rackLossLength  = 4 * time.Hour
	longestOutage   = 24 * time.Hour
	shortestOutage  = 2 * time.Hour
	longestRestart  = 5 * time.Minute
	listLag         = 20 * time.Minute
	wavesFirstDay   = 2
	wavesLastDay    = 33
	returnsFirstDay = 5
	returnsDays     = 25
)

// outageKind is the way in which an outage ends.
type outageKind string

const (
	outageRestart outageKind = "restart" // ends by itself
	outageFailure outageKind = "failure" // ends by a reboot
	outageLasting outageKind = "lasting" // ends at a fixed time, even if the VM is rebooted
	outageListLag outageKind = "listlag" // the VM serves, but the live list lacks it
)

// outage is a time in which a VM does not serve, or seems not to serve.
type outage struct {
	vm       ident.VMID
	kind     outageKind
	from, to time.Time
	rack     bool // all VMs of the rack have this outage
}

// region is the generated fleet and calendar of one region.
type region struct {
	size       fleetSize
	seed       uint64
	index      int
	file       fleet.File // without reserve VMs
	rackLosses []rackLoss
}

// rackLoss is the loss of a rack for rackLossLength.
type rackLoss struct {
	zone ident.ZoneID
	rack ident.RackID
	from time.Time
}

// generateRegions draws the fleet and the calendar of every region from a seed.
func generateRegions(size fleetSize, seed uint64) []*region {
	rng := rand.New(rand.NewPCG(seed, 0))
	owed := poolSizes(size, rng)
	var regions []*region
	for i, zones := range size.zones {
		r := &region{size: size, seed: seed, index: i}
		var regionOwed []int
		for p := i; p < len(owed); p += len(size.zones) {
			regionOwed = append(regionOwed, owed[p])
		}
		r.generateVMs(regionOwed, zones)
		r.generateWaves(zones)
		r.generateReturns(rng)
		r.generateRackLosses(rng)
		regions = append(regions, r)
	}
	return regions
}

// poolSizes draws the number of VMs owed to each pool and adjusts them to the total of the size.
func poolSizes(size fleetSize, rng *rand.Rand) []int {
	owed := make([]int, size.pools)
	sum := 0
	for i := range owed {
		owed[i] = size.poolVMs[0] + rng.IntN(size.poolVMs[1]-size.poolVMs[0]+1)
		sum += owed[i]
	}
	for i := 0; size.vms > 0 && sum != size.vms; i = (i + 1) % len(owed) {
		step := 1
		if sum > size.vms {
			step = -1
		}
		owed[i] += step
		sum += step
	}
	return owed
}

// name returns a name that starts with the names of the fleet size and the region.
func (r *region) name(format string, args ...any) string {
	return fmt.Sprintf("%s-%d-", r.size.name, r.index) + fmt.Sprintf(format, args...)
}

func (r *region) zone(z int) ident.ZoneID { return ident.ZoneID(r.name("%c", 'a'+z)) }

func (r *region) pool(p int) ident.PoolID { return ident.PoolID(r.name("pool-%02d", p)) }

// generateVMs spreads the VMs of each pool over the zones, and within a zone over racks, so
// that no rack holds two VMs of a pool.
func (r *region) generateVMs(owed []int, zones int) {
	r.file = fleet.File{Name: r.size.name, SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}}
	racks := make([][]map[int]bool, zones) // pools in each rack of each zone
	for p, n := range owed {
		r.file.Pools = append(r.file.Pools, fleet.Pool{ID: r.pool(p), Owed: n, MinServing: int(budgetShare * float64(n))})
	}
	for i := 0; ; i++ {
		added := false
		for p, n := range owed {
			if i >= n {
				continue
			}
			added = true
			z := (i + p) % zones
			k := slices.IndexFunc(racks[z], func(pools map[int]bool) bool { return len(pools) < vmsPerRack && !pools[p] })
			if k < 0 {
				k = len(racks[z])
				racks[z] = append(racks[z], map[int]bool{})
			}
			racks[z][k][p] = true
			r.addVM(ident.VMID(r.name("%02d-%02d", p, i)), r.pool(p), z, k, "r")
		}
		if !added {
			return
		}
	}
}

func (r *region) addVM(id ident.VMID, p ident.PoolID, z, rack int, rackPrefix string) {
	n := len(r.file.VMs)
	r.file.VMs = append(r.file.VMs, fleet.VM{
		ID: id, Zone: r.zone(z), Rack: ident.RackID(fmt.Sprintf("%s-%s%03d", r.zone(z), rackPrefix, rack)),
		Address: fmt.Sprintf("10.%d.%d.%d:80", r.index, n>>8, n&0xff), Pool: p, Slots: 8, Connections: 64,
	})
}

// generateWaves adds one maintenance wave for each zone, spread evenly over the period.
func (r *region) generateWaves(zones int) {
	interval := time.Duration(wavesLastDay-wavesFirstDay) * 24 * time.Hour / time.Duration(zones)
	for z := range zones {
		opens := plannerStart.Add(wavesFirstDay*24*time.Hour + time.Duration(z)*interval)
		r.file.Waves = append(r.file.Waves, fleet.Wave{
			ID: ident.WaveID(r.name("wave-%c", 'a'+z)), Opens: opens, Closes: opens.Add(r.size.waveLength),
			Zones: []ident.ZoneID{r.zone(z)}, Length: rebootLength,
		})
	}
}

// generateReturns draws return orders, each for VMs of one pool.
func (r *region) generateReturns(rng *rand.Rand) {
	for range r.size.returns {
		p := r.pool(rng.IntN(len(r.file.Pools) - 1))
		at := plannerStart.Add(time.Duration(returnsFirstDay*24+rng.IntN(returnsDays*24)) * time.Hour)
		ret := fleet.Return{Deadline: at}
		for _, i := range rng.Perm(len(r.file.VMs)) {
			if vm := &r.file.VMs[i]; vm.Pool == p && len(ret.VMs) < r.size.returnedVMs {
				ret.VMs = append(ret.VMs, vm.ID)
			}
		}
		r.file.Returns = append(r.file.Returns, ret)
	}
}

// generateRackLosses draws the racks that are lost and the times.
func (r *region) generateRackLosses(rng *rand.Rand) {
	for range r.size.rackLosses {
		vm := &r.file.VMs[rng.IntN(len(r.file.VMs))]
		at := plannerStart.Add(time.Duration(rng.Int64N(int64(plannerPeriod - longestOutage))))
		r.rackLosses = append(r.rackLosses, rackLoss{zone: vm.Zone, rack: vm.Rack, from: at})
	}
}

// fileWithReserve returns the file with reserve VMs added, n[p] to the pool with index p in the file.
// They are spread over the zones, in racks without other VMs.
func (r *region) fileWithReserve(n []int) *fleet.File {
	c := *r
	c.file.VMs = append([]fleet.VM(nil), r.file.VMs...)
	zones := r.size.zones[r.index]
	count := 0
	for p, k := range n {
		for range k {
			id := ident.VMID(r.name("reserve-%03d", count))
			c.addVM(id, r.file.Pools[p].ID, count%zones, count/zones/vmsPerRack, "s")
			count++
		}
	}
	return &c.file
}

// outagesOf draws the outages of one VM. They depend on the seed and the VM's ID only, so that
// every policy meets the same outages.
func (r *region) outagesOf(vm *fleet.VM) []outage {
	h := fnv.New64a()
	h.Write([]byte(vm.ID))
	rng := rand.New(rand.NewPCG(r.seed, h.Sum64()))
	var outages []outage
	for _, l := range r.rackLosses {
		if l.zone == vm.Zone && l.rack == vm.Rack {
			outages = append(outages, outage{vm: vm.ID, kind: outageLasting, from: l.from, to: l.from.Add(rackLossLength), rack: true})
		}
	}
	perDay := r.size.failures + r.size.restarts
	for at := plannerStart; ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / perDay * float64(24*time.Hour)))
		if !at.Before(plannerStart.Add(plannerPeriod)) {
			return outages
		}
		o := outage{vm: vm.ID, kind: outageRestart, from: at, to: at.Add(time.Duration(rng.Int64N(int64(longestRestart))))}
		failure, special := rng.Float64()*perDay < r.size.failures, rng.Float64()
		switch {
		case failure && special < lastingShare:
			o.kind = outageLasting
			o.to = at.Add(shortestOutage + time.Duration(rng.Int64N(int64(longestOutage-shortestOutage))))
		case failure:
			o.kind, o.to = outageFailure, plannerStart.Add(2*plannerPeriod)
		case special < listLagShare:
			o.kind, o.to = outageListLag, at.Add(listLag)
		}
		outages = append(outages, o)
	}
}
