// Package stall bounds the time for which a transfer makes no progress, in
// place of the time that it takes, which depends on its size and the link.
//
// [WithTimeout] returns a context that ends when no bytes have arrived for a
// time. Whoever moves the bytes reports them by [Progress]. A [Meter] tells
// others when a large transfer has last moved, so that they don't start the
// same transfer again beside it.
package stall
