package ident

// VMID names a VM of toucand's platform.
type VMID string

// PoolID names a pool.
type PoolID string

// ZoneID names an availability zone.
type ZoneID string

// RackID names a rack within a zone.
type RackID string

// RegionID names a region, a group of availability zones.
type RegionID string

// EntryID names an entry VM, that is, one toucand process.
type EntryID string

// RequestID identifies one request of a client across all processes.
type RequestID string

// KeyID is an idempotency key as sent by a client.
type KeyID string

// RecordID identifies one record of the log. Readers ignore a record whose id they have seen recently.
type RecordID string

// WaveID names a maintenance wave.
type WaveID string

// Offset is a position in a log stream; the first record has offset 1.
type Offset int64

// Version counts the accepted configurations; 0 is the empty configuration.
type Version int64

// Epoch counts the assignments and reboots of one VM.
type Epoch int64

// Term counts the holders of a role, such as planner or broker; a later holder has a higher term.
type Term int64

// Slots is a number of requests that a target runs at once.
type Slots int

// Connections is a number of TCP connections.
type Connections int

// Processors is a number of processor cores.
type Processors int

// Accelerators is a number of accelerator devices.
type Accelerators int

// Bytes is an amount of memory or payload in bytes.
type Bytes int64

// Binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)
