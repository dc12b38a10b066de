// Package crowd holds the tests of toucanjobd and toucand against many connections of clients that don't behave: bodies,
// headers and frames that stop short of their end, and responses that nobody reads.
//
// Each test starts the daemon as a process of its own, and the platform as a fake in the test process. It checks that the
// daemon lives, that its resident memory and open descriptors stay under bounds that follow from its settings, and that it
// answers an ordinary request. No test asserts a time or a share of served requests. The tests run in sequence, and only if
// CROWD_TESTS is set, since go test would run them beside those of other packages.
package crowd
