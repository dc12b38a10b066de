// Command standin3 plays the scripted cases 11 to 15 of the review. It serves the
// platform's log, its VM service and the workers on loopback addresses, starts
// the daemons as separate processes, plays the part of the clients, and checks
// one rule by what clients and workers have seen.
//
// The log is the project's own stand-in (platform/local). The workers are those
// of this package: they keep fences, leases, attempts and ends as the
// platform's pages say.
package main
