// Package agent carries out a pool's orders on its targets: it keeps the lease
// of each target, reads its list of runs, and sends starts, stops and paces.
//
// A lease is extended only by a request that follows an answered one, so that
// the time by which a silent target has surely stopped everything is known.
package agent
