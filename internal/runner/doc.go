// Package runner executes the plans of package plan.
//
// One entry at a time holds the planner role. A [Runner] takes the role by
// appending a record with the next term to the log, and acts only while the
// newest snapshot shows the term that it took itself. A record that a former
// holder appends later is void because of its term.
//
// The candidates for a vacant role wait for different times by rank, so that they
// don't all append at once at the end of an outage. The runner keeps no state
// that its successor needs: the successor repeats the requests to the platform,
// which is safe for the same epoch.
package runner
