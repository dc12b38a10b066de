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
	MaxBody int64 // bytes of a request's body; 0 sets no limit
}

// Route leads requests to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  Queue
}

// PoolConfig is the configuration of a pool.
type PoolConfig struct {
	ID         ident.PoolID
	PoweredOff bool // its VMs are off and cost nothing
}

// Wave asks that VMs have their upkeep by a deadline.
type Wave struct {
	ID        int64
	Machines  []MachineID
	TimeLimit time.Duration
	MaxDown   int // VMs that may be down for it at the same time
}

// MachineID names a VM that runs targets, one life after the other.
type MachineID string

// MachineState is what the platform says of a VM.
type MachineState string

// The states of a VM.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is a VM as the platform lists it.
type Machine struct {
	ID       MachineID
	Pool     ident.PoolID
	State    MachineState
	Zone     ident.ZoneID
	Rack     string
	Labels   []string
	Capacity Resources
	Target   TargetID // its present life
}
