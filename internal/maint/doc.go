// Package maint decides which VMs of a wave are taken down for their upkeep
// next.
//
// It answers waves over half of the VMs while pools peak in turn: VMs that
// serve nobody come first, and those that a pool needs wait while there is time.
package maint
