// Package route finds the queue of a request by its host and path.
//
// A [Table] is built from one version of the operators' configuration. Hosts
// are compared without case and port, and the longest matching path prefix wins.
package route
