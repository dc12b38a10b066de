// Package fakes provides in-memory fakes of the systems that toucanhatch works
// with, and injects faults into them.
//
// [Log] is a fake of the keyed log of package plog. [Platform] serves the
// platform's log service and its live list of VMs over HTTP, and [Target]
// responds to requests as a target does, and [Adviser] as the advice service. [Relay] forwards TCP connections and can
// close them or drop their data. Tests, benchmarks and the commands named dev use
// the fakes in their own process; the integration tests run Platform, Target and
// Relay as programs, through [PlatformMain], [TargetMain] and [RelayMain].
package fakes
