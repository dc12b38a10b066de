// Package usage returns the processor time and memory that this process uses.
//
// A value that the system does not provide is zero.
package usage
