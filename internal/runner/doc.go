// Package runner executes the plans of package plan.
//
// One entry at a time holds the planner role. A [Runner] takes the role by
// appending a record with the next term to the log, and acts only while the
// newest snapshot shows the term that it took itself. A record that a previous
// holder appends later has no effect, because its term is no longer in force.
//
// Each candidate for a vacant role waits for a time that depends on its rank, so
// that the candidates don't all append at once at the end of an outage. The
// runner keeps no state that the next holder needs: the next holder repeats the
// requests to the platform, which is safe for the same epoch.
package runner
