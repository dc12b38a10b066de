// Package fleet defines the file that operators publish: pools, VMs, returns
// and maintenance waves, in TOML.
//
// [Parse] reports every error in a file at once, each with its line. A [File]
// that Parse returns without an error does not contradict itself. Whether the
// fleet can meet its demands in time is for the planner to determine.
package fleet
