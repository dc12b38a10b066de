// Command standin plays the cases of the review that are scripts.
//
// It serves the platform's log, the list of machines and the workers on loopback addresses, starts the daemons of the
// deploy file as processes of their own, sends the requests of the clients, and checks one rule by what the clients, the
// workers and the platform see. It ends with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main
