// Package jobd wires the jobs daemon: it answers clients on every entry VM,
// passes their requests to the owner of the pool, and owns the partitions that
// the group gives to this process.
package jobd
