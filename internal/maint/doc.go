// Package maint decides which VMs are taken down next for planned maintenance.
//
// The operators ask for maintenance in waves; a wave names VMs and a time limit,
// and may include half of all VMs while pools peak one after the other. VMs that
// serve no pool come first. VMs that a pool needs wait as long as the time limit
// allows.
package maint
