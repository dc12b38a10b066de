// Package jobcli is the command line of toucanjobd: it reads the settings, puts
// the daemon and the platform's adapter together, and runs them.
package jobcli
