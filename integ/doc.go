// Package integ holds the scripted scenarios: testscript files that run
// toucand, toucanctl and the fakes as separate processes and bring failures about.
package integ
