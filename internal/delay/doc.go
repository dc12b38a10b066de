// Package delay tells a dependency that answers slowly from one that doesn't answer.
//
// A [Tracker] learns how long calls to a dependency take. A call is overdue once
// it has waited several times as long as the calls before it, within fixed
// bounds. With a fixed limit alone, every call to a dependency that answers a
// little later than that limit would count as lost.
package delay
