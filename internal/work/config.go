package work

import (
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Config is the operators' configuration of queues and pools.
type Config struct {
	Version int64
	Routes  []Route
	Pools   []PoolConfig
	// Tenants is nil if the configuration has none. Otherwise all queues that are not public need the key of a tenant.
	Tenants []Tenant
	MaxBody int64 // bytes of a request's body; 0 sets no limit
}

// Route maps requests for a host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  Queue
}

// PoolConfig is the operators' configuration of a pool.
type PoolConfig struct {
	ID         ident.PoolID
	PoweredOff bool // the pool's VMs are powered off and cost nothing
}

// Wave is a request to take a set of VMs down for maintenance within a time limit.
type Wave struct {
	ID        int64
	VMs       []VMID
	TimeLimit time.Duration // counted from when the wave is first known
	MaxDown   int           // VMs that may be down for the wave at the same time
}

// VMID identifies a VM of toucanjobd's platform. A VM runs one target at a time, a new one after each restart.
type VMID string

// VMState is the state of a VM as the platform reports it.
type VMState string

// The states of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "upkeep"
	VMDown        VMState = "down"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID       VMID
	Pool     ident.PoolID
	State    VMState
	Zone     ident.ZoneID
	Rack     string
	Labels   []string
	Capacity Resources
	Target   TargetID // the target that it runs at present
}
