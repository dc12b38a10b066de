// Package plog defines toucanhatch's interface to the platform's log.
//
// The log has topics of keyed records, which are divided into partitions. Each
// partition can have a writer with an epoch, and writers with a lower epoch are
// fenced. Processes can join a group, to whose members the log assigns the
// partitions of some topics. Package platform implements the interface. An
// [Appender] repeats an append until the log has answered it.
package plog
