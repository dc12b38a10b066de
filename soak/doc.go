// Package soak is a test that runs daemons of toucanjobd as separate processes
// against a local fake of the platform. It injects faults from outside of the
// daemons: signals, a relay between each daemon and the store, and crashes of
// targets. It checks what clients and targets observe.
//
//	go test ./soak                         one seed, as in CI
//	go test ./soak -seeds 50 -timeout 2h   fifty seeds, starting with that of -first
//	go test ./soak -run TestTenants -seeds 50 -timeout 2h   with tenants, keys and caps that change
//	go test ./soak -run TestSpace -seeds 50 -timeout 2h     with owners that have little space for jobs
//	go test ./soak -seeds 2 -daemons 150   as many daemons as a machine of 20 GB bears
package soak
