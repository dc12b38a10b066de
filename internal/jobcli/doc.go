// Package jobcli is the command line of toucanjobd. It reads the settings,
// connects the jobs daemon (package jobd) with the platform (package platform),
// and runs the daemon until a signal stops it.
//
// The command dev runs two daemons on a local fake of the platform.
package jobcli
