// Package permit limits how long a process acts on a confirmation that it is
// still in charge, for example that it still owns a partition.
//
// A permit is made from such a confirmation and travels in the context of a
// call. The adapter that sends the call checks it again right before the bytes
// are written: between the decision and that moment the process may have waited
// for other calls, or may have been suspended.
package permit
