// Package ctrl implements the fleet controller, which moves VMs between the pools
// and takes them down for maintenance.
//
// One process runs it at a time: the owner of the first partition of the jobs
// topic, whose epoch is the fencing token of its commands. In each round the
// controller lists the VMs, collects a report from each pool, decides, and sends
// commands to the platform's machine service.
//
// A VM is first cordoned; the command follows once its pool has reported, with the
// cordon in force, that no task runs on it. Before a command is sent, an intent is
// stored durably. A next controller leaves the VM alone until the lease that
// begins with the intent has passed.
package ctrl
