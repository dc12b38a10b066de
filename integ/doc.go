// Package integ holds the integration tests of toucand. Each is a testscript
// file in testdata that runs toucand, toucanctl and the fakes as separate
// processes, injects faults, and checks what callers and operators see.
//
// The scripts also use the programs call, load, raw and trytoucanctl, and the
// script commands of TestScenarios. The test program runs itself as each of the
// programs.
package integ
