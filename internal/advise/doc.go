// Package advise passes the calls of one process to the advice service.
//
// The service handles the calls of a process one after the other, each for a
// time that the configuration names, and rejects further calls while many wait.
// It doesn't notice that a caller has left. A call that is given up before its
// turn, and made anew, is therefore handled twice; with a fixed time limit, a
// burst of calls can keep the service busy with calls that nobody waits for.
//
// A [Queue] holds the calls of all partitions of a process and passes on as many
// as the service needs to be busy, in the order in which they were made. The
// time limit of a call follows from the calls that the service may be handling
// before it, and grows while calls run out of time. After a rejection or a
// failure no call is passed on for a while.
package advise
