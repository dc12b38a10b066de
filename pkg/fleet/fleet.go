package fleet

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// File is one published configuration, applied as a whole.
type File struct {
	Name      string        `cbor:"name"`
	Base      ident.Version `cbor:"base_version"` // version that this file is based on
	SparePool ident.PoolID  `cbor:"spare_pool"`
	Pools     []Pool        `cbor:"pools"`
	VMs       []VM          `cbor:"vms"`
	Returns   []Return      `cbor:"returns"`
	Waves     []Wave        `cbor:"waves"`
}

// Pool describes the capacity that one service needs.
type Pool struct {
	ID         ident.PoolID `cbor:"id"`
	Routes     []string     `cbor:"routes"`      // prefixes of URL paths that are routed to this pool
	Owed       int          `cbor:"owed_vms"`    // number of VMs that the pool should have
	MinServing int          `cbor:"min_serving"` // availability budget: VMs that must be serving at all times
	Objective  Objective    `cbor:"objective"`
}

// Objective is the service level that the burn report measures against.
type Objective struct {
	Availability float64       `cbor:"availability"` // fraction of requests that complete, 0 to 1
	Latency      time.Duration `cbor:"latency"`      // a slower response counts as bad; 0 means no bound
}

// VM describes one VM of the fleet: its location, its first pool and its capacity.
type VM struct {
	ID           ident.VMID         `cbor:"id"`
	Zone         ident.ZoneID       `cbor:"zone"`
	Rack         ident.RackID       `cbor:"rack"`
	Address      string             `cbor:"address"` // IP address and port
	Pool         ident.PoolID       `cbor:"pool"`    // pool that the VM joins when it is first published
	Processors   ident.Processors   `cbor:"processors"`
	Memory       ident.Bytes        `cbor:"memory"`
	Accelerators ident.Accelerators `cbor:"accelerators"`
	Slots        ident.Slots        `cbor:"slots"`
	Connections  ident.Connections  `cbor:"connections"`
}

// Return lists VMs that must be drained and handed back to the platform by a deadline.
type Return struct {
	VMs      []ident.VMID `cbor:"vms"`
	Deadline time.Time    `cbor:"deadline"`
}

// Wave is a maintenance window in which every VM of some zones or racks is rebooted once.
type Wave struct {
	ID     ident.WaveID   `cbor:"id"`
	Opens  time.Time      `cbor:"opens"`
	Closes time.Time      `cbor:"closes"`
	Zones  []ident.ZoneID `cbor:"zones"`
	Racks  []ident.RackID `cbor:"racks"`
	Length time.Duration  `cbor:"length"` // time that one VM is out of service
}
