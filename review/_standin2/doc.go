// Command _standin2 plays the cases of the second review against real daemons.
//
// It starts toucanjobd processes with the settings of a small deployment, and
// plays the platform around them on loopback addresses: the log, the VM service,
// the workers and the clients. Each case writes what was sent, answered and run
// to a record, and judges one rule by that.
package main
