// Package space bounds the memory that the durable state of a partition takes.
//
// What a partition stores is read by each owner that it will have, so that its
// bound follows from the smallest VM that may own it and not from the process
// that accepts a job. A quarter of the bound is kept for small jobs that run at
// once, so that neither large jobs nor jobs that wait for their time keep these out.
package space
