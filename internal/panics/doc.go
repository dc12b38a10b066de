// Package panics keeps a panic in one part of a process from ending the whole
// process.
//
// A part that has panicked may leave its state inconsistent. Whoever runs a part
// with [Catch] or [RestartOnPanic] has to make it start again from stored state.
package panics
