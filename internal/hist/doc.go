// Package hist records latencies in histograms that several goroutines may use at the same time.
//
// A [Histogram] is split into shards, each with its own lock, so that recording rarely waits.
// Values are durations from 1 microsecond to 1 minute with an error below 10%. A [Set] holds a
// histogram for each key and exports the summaries as an expvar variable.
package hist
