// Package hedge repeats a call while it has not been answered.
//
// The attempts overlap: one that was sent before a connection went silent, or
// before a server came back, may never be answered, while one that is merely
// slow still counts.
package hedge
