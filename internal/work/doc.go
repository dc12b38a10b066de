// Package work holds the vocabulary of jobs that the state machine, the
// decisions and the drivers share: ids, amounts, what clients submit, and what
// targets report. It has no behavior beyond checks and arithmetic.
package work
