// Package sizer decides which VM serves which pool.
//
// Pools peak at different times: for some seconds a pool needs several times its
// mean, which is more than its own VMs can do, and little in between. VMs without
// tasks therefore move to the pool that has too few. VMs that no pool needs move
// to a pool whose VMs are powered off.
package sizer
