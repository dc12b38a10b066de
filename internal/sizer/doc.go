// Package sizer decides which VM serves which pool.
//
// It answers demand by turns: each pool asks for several times its mean for
// some seconds, more than its own VMs hold, and for little in between. VMs
// without tasks are lent to the pool that is short; VMs that nobody needs are
// parked in a pool whose VMs are off.
package sizer
