// Package ctrl moves VMs between the pools and takes them down for upkeep.
//
// One process does this at a time: the owner of the first partition, whose
// epoch is the token of its orders. Each round it reads the list of VMs and a
// report of each pool, decides, and orders. A VM is cordoned first and ordered
// only when its pool has reported it empty under the cordon. Each order's
// intent is durable before the order, so that a successor leaves the VM alone
// until the lease on it has passed.
package ctrl
