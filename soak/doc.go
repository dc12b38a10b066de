// Package soak runs the real daemons as separate processes against the
// local fake of the platform and injects faults from outside of them: signals,
// a relay between each daemon and the store, and crashes of targets. It checks
// what clients and targets see.
//
//	go test ./soak                         the short run of CI
//	go test ./soak -seeds 50 -timeout 2h   fifty seeds, from -first on
package soak
